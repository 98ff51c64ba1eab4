package escrow

import (
	"context"

	"github.com/juju/errors"

	"github.com/sassafrasspur/sassafrasspur/internal/backoff"
	"github.com/sassafrasspur/sassafrasspur/internal/failure"
	"github.com/sassafrasspur/sassafrasspur/internal/rows"
)

// grow takes enough of a program's budget out of the store for a turn and adds it
// to a part. If nothing is known of the budget it first assumes that the program
// is new; a conflict then tells what was taken so far, and only a budget that
// seems to be spent makes it read all rows.
func (e *Escrow) grow(ctx context.Context, r Request, p part, a account) (part, account, error) {
	pauses := backoff.New(e.timers)
	for {
		if a.spent()+r.Largest-p.left > r.Budget {
			if a.whole || r.Largest > r.Budget {
				return p, a, refusal(r, p, a)
			}
			read, err := e.readAccount(ctx, r, p)
			if err == nil {
				a = read
				continue
			}
			if !pauses.Wait(ctx) {
				return p, a, unavailable(err)
			}
			continue
		}
		grown, err := e.commitPart(ctx, r, p, &a)
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

// refusal says that a budget is spent, or that it can't be known yet because
// other VMs hold parts of it that they will settle.
func refusal(r Request, p part, a account) *failure.Error {
	if a.held > 0 && a.spent()-a.held+r.Largest-p.left <= r.Budget {
		return failure.Refusal(failure.Overloaded, heldDelay,
			"%d of %d tokens of program %s are held for its turns at other VMs; repeat the request", a.held, r.Budget, r.Program)
	}
	return failure.Refusal(failure.BudgetExhausted, 0,
		"program %s has spent or reserved %d of %d tokens and the turn needs up to %d; end the program or give it a larger budget",
		r.Program, a.spent(), r.Budget, r.Largest)
}

func (e *Escrow) readAccount(ctx context.Context, r Request, p part) (account, error) {
	page, err := e.store.Read(ctx, rows.Range{Table: budgetsTable, Part: rows.Part(r.Program)})
	if err != nil {
		return account{}, err
	}
	return newAccount(page, partID(r.Program, p.id), e.timers.Now())
}

// commitPart tries to make a part larger. If the budget row has another version
// it updates the account and returns the part as it is. The part's own row tells
// whether an earlier try was applied whose answer was lost: no other VM writes
// it.
func (e *Escrow) commitPart(ctx context.Context, r Request, p part, a *account) (part, error) {
	more := max(r.Largest-p.left, min(partTurns*r.Largest, (r.Budget-a.spent())/partShare))
	budget, err := put(budgetID(r.Program), budgetRow{Taken: a.taken + more, At: e.timers.Now().Unix()})
	if err != nil {
		return p, err
	}
	row, err := put(partID(r.Program, p.id), partRow{Amount: p.amount + more, At: e.timers.Now().Unix()})
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
		p.account = account{taken: a.taken + more, refunded: a.refunded, version: o.Version}
		return p, nil
	case rows.Conflict:
		own, ok := rows.Find(o.Rows, row.ID)
		if ok && own.Version != p.version {
			var stored partRow
			err := decode(own, &stored)
			p.amount, p.version, p.account = stored.Amount, own.Version, account{}
			return p, err
		}
		a.whole = false
		if current, ok := rows.Find(o.Rows, budget.ID); ok {
			return p, a.setBudget(current)
		}
		*a = account{}
		return p, nil
	}
	return p, errors.Errorf("unexpected outcome %T of a transaction", outcome)
}
