package lender

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/configuration"
)

// Membership is the node's place among the live entry VMs.
type Membership struct {
	// Index is the node's position in the order of VM ids, from 0.
	Index int
	// Count is the number of live VMs; 0 if it is not known, in which case
	// nothing is lent.
	Count int
}

// Input is a request of a team to use an upstream.
type Input struct {
	Upstream configuration.Upstream
	Team     ident.TeamID
	// Views are the memberships that the node or another live node may act on
	// now. Only what all of them permit is lent, so that the sum over the nodes
	// keeps to the share while they learn of a change.
	Views []Membership
	// Held is the number of the team's calls that the node has there.
	Held int
	// OwnerWaiting is true while the owner has calls waiting.
	OwnerWaiting bool
}

// Decision says whether the team may start a call. The interface is sealed: the
// variants are the types of this package.
type Decision interface{ sealedDecision() }

type (
	// Own permits the use by the owner.
	Own struct{}
	// Borrow permits the use on a loan.
	Borrow struct{ Loan configuration.Loan }
	// Later denies the use now; the loan may permit it later.
	Later struct{}
	// Never denies the use: the team has no loan, or this node no part of it.
	Never struct{}
)

func (Own) sealedDecision()    {}
func (Borrow) sealedDecision() {}
func (Later) sealedDecision()  {}
func (Never) sealedDecision()  {}

// Lender applies the terms of loans.
type Lender struct{}

// New returns a lender.
func New() Lender { return Lender{} }

// Decide says whether a team may start a call at an upstream.
func (Lender) Decide(in Input) Decision {
	if in.Team == in.Upstream.Team {
		return Own{}
	}
	loan, ok := loanOf(in.Upstream, in.Team)
	if !ok {
		return Never{}
	}
	part := Part(in.Upstream, loan, in.Views)
	switch {
	case part == 0 && len(in.Views) > 0:
		return Never{}
	case in.Held >= part || in.OwnerWaiting:
		return Later{}
	}
	return Borrow{Loan: loan}
}

// Part returns the node's part of a loan in slots, by the rule of the package.
func Part(u configuration.Upstream, loan configuration.Loan, views []Membership) int {
	if len(views) == 0 {
		return 0
	}
	// The share is rounded to a millionth of a slot first: 0.29*100 is
	// 28.999999999999996 in floating point.
	whole := int(math.Floor(math.Round(float64(loan.Share)*float64(u.Slots)*1e6) / 1e6))
	whole = max(0, min(u.Slots, whole))
	part := whole
	for _, v := range views {
		if v.Count <= 0 {
			return 0
		}
		share, rest := whole/v.Count, whole%v.Count
		offset := int(xxhash.Sum64String(string(u.ID)) % uint64(v.Count))
		if (v.Index+offset)%v.Count < rest {
			share++
		}
		part = min(part, share)
	}
	return part
}

func loanOf(u configuration.Upstream, team ident.TeamID) (configuration.Loan, bool) {
	i := slices.IndexFunc(u.Loans, func(l configuration.Loan) bool { return l.Borrower == team })
	if i < 0 {
		return configuration.Loan{}, false
	}
	return u.Loans[i], true
}

// Held is a call in flight at the upstream.
type Held struct {
	Grant      ident.Grant
	Team       ident.TeamID
	Repeatable bool
	Started    time.Time
	// Cancelled is true if the call was told to stop before.
	Cancelled bool
}

// Claim is the owner's wait for its upstream.
type Claim struct {
	Upstream configuration.Upstream
	Now      time.Time
	// Since is when the first of the owner's waiting calls arrived; Waiting is
	// their number.
	Since   time.Time
	Waiting int
	Held    []Held
}

// Reclaim says what happens to borrowed calls. The interface is sealed: the
// variants are the types of this package.
type Reclaim interface{ sealedReclaim() }

type (
	// Keep cancels nothing. Next is when to ask again; zero if nothing that can
	// be cancelled is left.
	Keep struct{ Next time.Time }
	// Cancel stops calls, which are repeated elsewhere.
	Cancel struct{ Grants []ident.Grant }
)

func (Keep) sealedReclaim()   {}
func (Cancel) sealedReclaim() {}

// Reclaim says which borrowed calls to cancel once the owner has waited for the
// loan's reclaim time: no more than the owner has waiting, the youngest first
// because the least work is lost. A call that is not repeatable is never
// cancelled.
func (Lender) Reclaim(c Claim) Reclaim {
	if c.Waiting == 0 {
		return Keep{}
	}
	wanted := c.Waiting
	var due []Held
	var next time.Time
	for _, h := range c.Held {
		if h.Team == c.Upstream.Team {
			continue
		}
		if h.Cancelled {
			wanted--
			continue
		}
		if !h.Repeatable {
			continue
		}
		// A loan that was removed from the configuration ends at once.
		loan, _ := loanOf(c.Upstream, h.Team)
		deadline := c.Since.Add(loan.Reclaim)
		if !c.Now.Before(deadline) {
			due = append(due, h)
		} else if next.IsZero() || deadline.Before(next) {
			next = deadline
		}
	}
	if wanted <= 0 || len(due) == 0 {
		return Keep{Next: next}
	}
	slices.SortFunc(due, func(a, b Held) int {
		if order := b.Started.Compare(a.Started); order != 0 {
			return order
		}
		return cmp.Compare(b.Grant, a.Grant)
	})
	var grants []ident.Grant
	for _, h := range due[:min(wanted, len(due))] {
		grants = append(grants, h.Grant)
	}
	return Cancel{Grants: grants}
}
