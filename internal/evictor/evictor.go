// Package evictor decides which requests are dropped when the memory for requests is
// used up. It is pure.
package evictor

import (
	"cmp"
	"slices"
	"time"

	"github.com/sassafrasspur/sassafrasspur/unit"
)

// Claim is the memory of one request.
type Claim struct {
	ID int64
	// Held is the memory that was granted.
	Held unit.Bytes
	// Started is when the request began, Progressed when its last bytes moved.
	Started    time.Time
	Progressed time.Time
	Stage      Stage
	// Dropped is set if the claim was chosen before and holds its memory until its
	// request has ended.
	Dropped bool
}

// Stage is what a request does. The interface is sealed: its variants are the types of
// this package.
type Stage interface{ stage() }

type (
	// Receiving is a request that has not arrived completely. It has not run.
	Receiving struct{}
	// Running is a request that may have been passed on. It is not dropped.
	Running struct{}
	// Sending is a large answer that is written to its caller. It is dropped only if the
	// caller does not read it.
	Sending struct{}
)

func (Receiving) stage() {}
func (Running) stage()   {}
func (Sending) stage()   {}

// Decision is the answer to a request for more memory. The interface is sealed.
type Decision interface{ decision() }

type (
	// Grant admits the additional bytes.
	Grant struct{}
	// Drop asks to drop the claims with these ids and to decide again once they have
	// returned their memory. It is empty if earlier dropped claims will make enough room.
	Drop struct{ IDs []int64 }
	// Refuse refuses the additional bytes.
	Refuse struct{}
)

func (Grant) decision()  {}
func (Drop) decision()   {}
func (Refuse) decision() {}

// Evictor has the limits.
type Evictor struct {
	// Total is the memory for all requests. Small requests may use all of it, large ones
	// leave Reserved free.
	Total    unit.Bytes
	Reserved unit.Bytes
	// Small is the largest memory of a small request.
	Small unit.Bytes
	// StallAfter is the time without progress after which a request counts as stalled.
	StallAfter time.Duration
}

// Decide decides on the additional memory of one of the claims. used is the memory of
// all claims together.
//
// Large requests that stalled are dropped first, the longest without progress before the
// others, then large requests that are newer than the one that grows, the newest first.
// For a small request all large ones that are still received may be dropped, and small
// ones that stalled.
func (e *Evictor) Decide(now time.Time, grows Claim, more, used unit.Bytes, claims []Claim) Decision {
	limit := e.Total
	if e.isLarge(grows, more) {
		limit -= e.Reserved
	}
	needed := used + more - limit
	if needed <= 0 {
		return Grant{}
	}
	var victims []Claim
	for _, c := range claims {
		switch {
		case c.Dropped:
			needed -= c.Held
		case c.ID != grows.ID && e.mayDrop(now, c, grows, more):
			victims = append(victims, c)
		}
	}
	slices.SortFunc(victims, func(a, b Claim) int { return e.compare(now, a, b) })
	var ids []int64
	for _, v := range victims {
		if needed <= 0 {
			break
		}
		ids = append(ids, v.ID)
		needed -= v.Held
	}
	if needed > 0 {
		return Refuse{}
	}
	return Drop{IDs: ids}
}

func (e *Evictor) isLarge(c Claim, more unit.Bytes) bool { return c.Held+more > e.Small }

func (e *Evictor) isStalled(now time.Time, c Claim) bool {
	return now.Sub(c.Progressed) >= e.StallAfter
}

// mayDrop reports whether a claim may be dropped in favour of the one that grows.
func (e *Evictor) mayDrop(now time.Time, c, grows Claim, more unit.Bytes) bool {
	switch c.Stage.(type) {
	case Running:
		return false
	case Sending:
		return e.isStalled(now, c)
	}
	growsLarge := e.isLarge(grows, more)
	if !e.isLarge(c, 0) {
		return !growsLarge && e.isStalled(now, c)
	}
	return !growsLarge || e.isStalled(now, c) || c.Started.After(grows.Started)
}

// compare orders claims by which of them is dropped first.
func (e *Evictor) compare(now time.Time, a, b Claim) int {
	rank := func(c Claim) int {
		switch {
		case !e.isLarge(c, 0):
			return 2
		case e.isStalled(now, c):
			return 0
		}
		return 1
	}
	if order := cmp.Compare(rank(a), rank(b)); order != 0 {
		return order
	}
	if rank(a) == 1 {
		return b.Started.Compare(a.Started)
	}
	return a.Progressed.Compare(b.Progressed)
}
