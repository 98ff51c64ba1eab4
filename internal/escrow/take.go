package escrow

import (
	"context"

	"github.com/juju/errors"

	"github.com/sassafrasspur/sassafrasspur/internal/backoff"
	"github.com/sassafrasspur/sassafrasspur/internal/failure"
	"github.com/sassafrasspur/sassafrasspur/internal/rows"
)

// grow reserves enough of a program's budget for a turn. If nothing is known of
// the budget, grow first assumes that the program is new, and a conflict returns
// the sum of all reservations. All rows are read only if the budget appears to be
// exhausted.
func (e *Escrow) grow(ctx context.Context, r Request, p reservation, a balance) (reservation, balance, error) {
	pauses := backoff.New(e.timers)
	for {
		if a.spent()+r.MaxTokens-p.remaining > r.Budget {
			if a.complete || r.MaxTokens > r.Budget {
				return p, a, refusal(r, p, a)
			}
			read, err := e.readBalance(ctx, r, p)
			if err == nil {
				a = read
				continue
			}
			if !pauses.Wait(ctx) {
				return p, a, unavailable(err)
			}
			continue
		}
		grown, err := e.commitReservation(ctx, r, p, &a)
		if err != nil && !pauses.Wait(ctx) {
			return p, a, unavailable(err)
		}
		if grown.version > p.version && grown.amount > p.amount {
			return grown, a, nil
		}
		if ctx.Err() != nil {
			return p, a, unavailable(ctx.Err())
		}
	}
}

// refusal returns the error for an exhausted budget, or for one that other VMs
// have reserved and may still settle.
func refusal(r Request, p reservation, a balance) *failure.Error {
	if a.held > 0 && a.spent()-a.held+r.MaxTokens-p.remaining <= r.Budget {
		return failure.Refusal(failure.Overloaded, heldRetryDelay,
			"%d of %d tokens of program %s are held for its turns at other VMs; repeat the request", a.held, r.Budget, r.Program)
	}
	return failure.Refusal(failure.BudgetExhausted, 0,
		"program %s has spent or reserved %d of %d tokens and the turn needs up to %d; end the program or give it a larger budget",
		r.Program, a.spent(), r.Budget, r.MaxTokens)
}

func (e *Escrow) readBalance(ctx context.Context, r Request, p reservation) (balance, error) {
	page, err := e.store.Read(ctx, rows.Range{Table: budgetsTable, Part: rows.Partition(r.Program)})
	if err != nil {
		return balance{}, err
	}
	return newBalance(page, reservationID(r.Program, p.id), e.timers.Now())
}

// commitReservation attempts to grow a reservation. If the budget row has another
// version, it updates the balance and returns the reservation unchanged. No other
// VM writes the row of the reservation, so a new version of it shows that an
// earlier attempt was applied although its response was lost.
func (e *Escrow) commitReservation(ctx context.Context, r Request, p reservation, a *balance) (reservation, error) {
	more := max(r.MaxTokens-p.remaining, min(maxGrowthTurns*r.MaxTokens, (r.Budget-a.spent())/growthDivisor))
	budget, err := put(budgetID(r.Program), budgetRow{Taken: a.taken + more, At: e.timers.Now().Unix()})
	if err != nil {
		return p, err
	}
	row, err := put(reservationID(r.Program, p.id), reservationRow{Amount: p.amount + more, At: e.timers.Now().Unix()})
	if err != nil {
		return p, err
	}
	outcome, err := e.store.Commit(ctx, rows.Transaction{
		Conditions: []rows.Condition{{ID: budget.ID, Version: a.version}, {ID: row.ID, Version: p.version}},
		Puts:       []rows.Put{budget, row},
	})
	if err != nil {
		return p, err
	}
	switch o := outcome.(type) {
	case rows.Committed:
		p.amount, p.version = p.amount+more, o.Version
		p.balance = balance{taken: a.taken + more, refunded: a.refunded, version: o.Version}
		return p, nil
	case rows.Conflict:
		own, ok := rows.Find(o.Rows, row.ID)
		if ok && own.Version != p.version {
			var stored reservationRow
			err := decode(own, &stored)
			p.amount, p.version, p.balance = stored.Amount, own.Version, balance{}
			return p, err
		}
		a.complete = false
		if current, ok := rows.Find(o.Rows, budget.ID); ok {
			return p, a.setBudget(current)
		}
		*a = balance{}
		return p, nil
	}
	return p, errors.Errorf("unexpected outcome %T of a transaction", outcome)
}
