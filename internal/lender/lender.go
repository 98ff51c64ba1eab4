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

// Position is the VM's position among the live entry VMs.
type Position struct {
	// Index is the VM's index in the order of VM ids, from 0.
	Index int
	// Count is the number of live VMs, or 0 if it is unknown. Then nothing is
	// lent.
	Count int
}

// Input is a team's request to use an upstream.
type Input struct {
	Upstream configuration.Upstream
	Team     ident.TeamID
	// Positions holds the VM's position in each membership on which a live VM
	// may act now. Only slots that all of them permit are lent, so that the VMs
	// together do not exceed the share while they learn of a change.
	Positions []Position
	// InFlight is the number of the team's calls that the VM has in flight
	// there.
	InFlight int
	// OwnerWaiting is true while the owner has calls waiting.
	OwnerWaiting bool
}

// Decision determines whether the team may start a call. The interface is sealed:
// its implementations are the types of this package.
type Decision interface{ sealedDecision() }

type (
	// UseOwn permits the call: the team owns the upstream.
	UseOwn struct{}
	// Borrow permits the call on a loan.
	Borrow struct{ Loan configuration.Loan }
	// Defer denies the call now; the loan may permit it later.
	Defer struct{}
	// Deny denies the call: the team has no loan, or this VM no slot of it.
	Deny struct{}
)

func (UseOwn) sealedDecision() {}
func (Borrow) sealedDecision() {}
func (Defer) sealedDecision()  {}
func (Deny) sealedDecision()   {}

// Lender decides by the terms of the loans.
type Lender struct{}

// New returns a lender.
func New() Lender { return Lender{} }

// Decide decides whether a team may start a call at an upstream.
func (Lender) Decide(in Input) Decision {
	if in.Team == in.Upstream.Team {
		return UseOwn{}
	}
	loan, ok := findLoan(in.Upstream, in.Team)
	if !ok {
		return Deny{}
	}
	allowed := LocalSlots(in.Upstream, loan, in.Positions)
	switch {
	case allowed == 0 && len(in.Positions) > 0:
		return Deny{}
	case in.InFlight >= allowed || in.OwnerWaiting:
		return Defer{}
	}
	return Borrow{Loan: loan}
}

// LocalSlots returns how many slots of a loan the VM may use, by the division
// described in the package comment.
func LocalSlots(u configuration.Upstream, loan configuration.Loan, positions []Position) int {
	if len(positions) == 0 {
		return 0
	}
	// Rounding to a millionth of a slot corrects floating-point errors: 0.29*100
	// is 28.999999999999996.
	lent := int(math.Floor(math.Round(float64(loan.Share)*float64(u.Slots)*1e6) / 1e6))
	lent = max(0, min(u.Slots, lent))
	slots := lent
	for _, position := range positions {
		if position.Count <= 0 {
			return 0
		}
		local, remainder := lent/position.Count, lent%position.Count
		offset := int(xxhash.Sum64String(string(u.ID)) % uint64(position.Count))
		if (position.Index+offset)%position.Count < remainder {
			local++
		}
		slots = min(slots, local)
	}
	return slots
}

// findLoan returns the loan of an upstream to a team, and false if there is none.
func findLoan(u configuration.Upstream, team ident.TeamID) (configuration.Loan, bool) {
	i := slices.IndexFunc(u.Loans, func(l configuration.Loan) bool { return l.Borrower == team })
	if i < 0 {
		return configuration.Loan{}, false
	}
	return u.Loans[i], true
}

// Call is a call that the VM has in flight at the upstream.
type Call struct {
	Grant      ident.Grant
	Team       ident.TeamID
	Repeatable bool
	Started    time.Time
	// Cancelled is true if the call was already cancelled.
	Cancelled bool
}

// ReclaimInput is the state of an upstream whose owner has calls waiting.
type ReclaimInput struct {
	Upstream configuration.Upstream
	Now      time.Time
	// Since is when the first of the owner's waiting calls arrived; Waiting is the
	// number of those calls.
	Since   time.Time
	Waiting int
	Calls   []Call
}

// ReclaimDecision determines what happens to the calls of borrowers. The interface
// is sealed: its implementations are the types of this package.
type ReclaimDecision interface{ sealedReclaimDecision() }

type (
	// Keep cancels no call. Next is when the next call becomes cancellable; zero
	// if there is none.
	Keep struct{ Next time.Time }
	// Cancel cancels calls, which are repeated at another upstream.
	Cancel struct{ Grants []ident.Grant }
)

func (Keep) sealedReclaimDecision()   {}
func (Cancel) sealedReclaimDecision() {}

// Reclaim decides which calls of borrowers to cancel once the owner has waited
// for the loan's reclaim time: at most as many as the owner has waiting, latest
// started first, because these lose the least work. A call that is not repeatable
// is never cancelled.
func (Lender) Reclaim(in ReclaimInput) ReclaimDecision {
	if in.Waiting == 0 {
		return Keep{}
	}
	needed := in.Waiting
	var cancellable []Call
	var next time.Time
	for _, call := range in.Calls {
		if call.Team == in.Upstream.Team {
			continue
		}
		if call.Cancelled {
			needed--
			continue
		}
		if !call.Repeatable {
			continue
		}
		// A loan that is no longer configured has a reclaim time of zero.
		loan, _ := findLoan(in.Upstream, call.Team)
		deadline := in.Since.Add(loan.Reclaim)
		if !in.Now.Before(deadline) {
			cancellable = append(cancellable, call)
		} else if next.IsZero() || deadline.Before(next) {
			next = deadline
		}
	}
	if needed <= 0 || len(cancellable) == 0 {
		return Keep{Next: next}
	}
	slices.SortFunc(cancellable, func(a, b Call) int {
		if order := b.Started.Compare(a.Started); order != 0 {
			return order
		}
		return cmp.Compare(b.Grant, a.Grant)
	})
	var grants []ident.Grant
	for _, call := range cancellable[:min(needed, len(cancellable))] {
		grants = append(grants, call.Grant)
	}
	return Cancel{Grants: grants}
}
