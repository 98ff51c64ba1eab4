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
func (e *Escrow) grow(ctx context.Context, r Request, p reservation, b balance) (reservation, balance, error) {
	pauses := backoff.New(e.timers)
	for {
		if b.spent()+r.MaxTokens-p.remaining > r.Budget {
			if b.complete || r.MaxTokens > r.Budget {
				return p, b, refusal(r, p, b)
			}
			read, err := e.readBalance(ctx, r, p)
			if err == nil {
				b = read
				continue
			}
			if !pauses.Wait(ctx) {
				return p, b, unavailable(err)
			}
			continue
		}
		grown, err := e.commitReservation(ctx, r, p, &b)
		if err != nil && !pauses.Wait(ctx) {
			return p, b, unavailable(err)
		}
		if grown.version > p.version && grown.amount > p.amount {
			return grown, b, nil
		}
		if ctx.Err() != nil {
			return p, b, unavailable(ctx.Err())
		}
	}
}

// refusal returns the error for an exhausted budget, or for one that other VMs
// have reserved and may still settle.
func refusal(r Request, p reservation, b balance) *failure.Error {
	if b.held > 0 && b.spent()-b.held+r.MaxTokens-p.remaining <= r.Budget {
		return failure.Refusal(failure.Overloaded, heldRetryDelay,
			"%d of %d tokens of program %s are held for its turns at other VMs; repeat the request", b.held, r.Budget, r.Program)
	}
	return failure.Refusal(failure.BudgetExhausted, 0,
		"program %s has spent or reserved %d of %d tokens and the turn needs up to %d; end the program or give it a larger budget",
		r.Program, b.spent(), r.Budget, r.MaxTokens)
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
func (e *Escrow) commitReservation(ctx context.Context, r Request, p reservation, b *balance) (reservation, error) {
	more := max(r.MaxTokens-p.remaining, min(maxGrowthTurns*r.MaxTokens, (r.Budget-b.spent())/growthDivisor))
	budget, err := put(budgetID(r.Program), budgetRow{Taken: b.taken + more, At: e.timers.Now().Unix()})
	if err != nil {
		return p, err
	}
	row, err := put(reservationID(r.Program, p.id), reservationRow{Amount: p.amount + more, At: e.timers.Now().Unix()})
	if err != nil {
		return p, err
	}
	outcome, err := e.store.Commit(ctx, rows.Transaction{
		Conditions: []rows.Condition{{ID: budget.ID, Version: b.version}, {ID: row.ID, Version: p.version}},
		Puts:       []rows.Put{budget, row},
	})
	if err != nil {
		return p, err
	}
	switch o := outcome.(type) {
	case rows.Committed:
		p.amount, p.version = p.amount+more, o.Version
		p.balance = balance{taken: b.taken + more, refunded: b.refunded, version: o.Version}
		return p, nil
	case rows.Conflict:
		own, ok := rows.Find(o.Rows, row.ID)
		if ok && own.Version != p.version {
			var stored reservationRow
			err := decode(own, &stored)
			p.amount, p.version, p.balance = stored.Amount, own.Version, balance{}
			return p, err
		}
		b.complete = false
		if current, ok := rows.Find(o.Rows, budget.ID); ok {
			return p, b.setBudget(current)
		}
		*b = balance{}
		return p, nil
	}
	return p, errors.Errorf("unexpected outcome %T of a transaction", outcome)
}
