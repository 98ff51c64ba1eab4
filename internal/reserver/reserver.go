// Package reserver decides whether a program's budget covers a call.
//
// The worst case of a call is reserved before its dispatch. What is reserved
// and spent must stay below the allowance, a part of the budget that was
// durably taken ahead, so that the budget holds even if the owner crashes.
package reserver

import (
	"time"

	"github.com/sassafrasspur/sassafrasspur/internal/record"
)

// Account is the state of a budget.
type Account struct {
	Budget    record.Budget
	Allowance record.Allowance
	Spent     record.Allowance
	Reserved  record.Allowance
}

// Decision is a result of Decide. The interface is sealed.
type Decision interface{ sealed() }

// Reserve says that the allowance covers the call.
type Reserve struct{}

// Extend says that the allowance must first be raised durably.
type Extend struct{ Allowance record.Allowance }

// Exhausted says that the budget does not cover the call.
type Exhausted struct {
	// Limit names the limit that was met: calls, tokens or time.
	Limit string
	// Final is true if no call at all is covered any more.
	Final bool
}

func (Reserve) sealed()   {}
func (Extend) sealed()    {}
func (Exhausted) sealed() {}

// Reserver decides on budgets.
type Reserver struct {
	// Ahead is the number of calls like the present one for which an allowance
	// is taken ahead.
	Ahead int
}

// Decide says whether a call that needs at most need may start.
func (r Reserver) Decide(a Account, need record.Allowance, now time.Time) Decision {
	if !a.Budget.Expires.IsZero() && now.After(a.Budget.Expires) {
		return Exhausted{Limit: "time", Final: true}
	}
	calls := a.Spent.Calls + a.Reserved.Calls + need.Calls
	tokens := a.Spent.Tokens + a.Reserved.Tokens + need.Tokens
	if calls > a.Budget.Calls {
		return Exhausted{Limit: "calls", Final: a.Spent.Calls >= a.Budget.Calls}
	}
	if tokens > a.Budget.Tokens {
		return Exhausted{Limit: "tokens", Final: a.Spent.Tokens >= a.Budget.Tokens}
	}
	if calls <= a.Allowance.Calls && tokens <= a.Allowance.Tokens {
		return Reserve{}
	}
	return Extend{Allowance: r.Next(a, need)}
}

// Next returns the allowance that covers what is spent and reserved and Ahead
// more calls that need as much as need.
func (r Reserver) Next(a Account, need record.Allowance) record.Allowance {
	ahead := record.Allowance{Calls: need.Calls, Tokens: need.Tokens}
	for range max(r.Ahead-1, 0) {
		ahead.Calls += need.Calls
		ahead.Tokens += need.Tokens
	}
	return record.Allowance{
		Calls:  max(a.Allowance.Calls, min(a.Budget.Calls, a.Spent.Calls+a.Reserved.Calls+ahead.Calls)),
		Tokens: max(a.Allowance.Tokens, min(a.Budget.Tokens, a.Spent.Tokens+a.Reserved.Tokens+ahead.Tokens)),
	}
}
