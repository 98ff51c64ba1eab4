package escrow

import (
	"context"

	"github.com/google/uuid"
	"github.com/juju/errors"

	"github.com/sassafrasspur/sassafrasspur/internal/failure"
	"github.com/sassafrasspur/sassafrasspur/internal/rows"
)

// takePart takes a part of a program's budget out of the store. It first assumes
// that the program is new; a conflict then tells what was taken so far, and only
// a budget that seems to be spent makes it read all rows.
func (e *Escrow) takePart(ctx context.Context, r Request) (*part, error) {
	id := uuid.NewString()
	var a account
	for {
		if a.spent()+r.Largest > r.Budget {
			if a.whole || r.Largest > r.Budget {
				return nil, failure.Refusal(failure.BudgetExhausted, 0,
					"program %s has spent or reserved %d of %d tokens and the turn needs up to %d; end the program or give it a larger budget",
					r.Program, a.spent(), r.Budget, r.Largest)
			}
			read, err := e.readAccount(ctx, r)
			if err == nil {
				a = read
				continue
			}
			if !e.pause(ctx) {
				return nil, unavailable(err)
			}
			continue
		}
		p, err := e.commitPart(ctx, r, id, &a)
		if p != nil {
			return p, nil
		}
		if err != nil && !e.pause(ctx) {
			return nil, unavailable(err)
		}
		if ctx.Err() != nil {
			return nil, unavailable(ctx.Err())
		}
	}
}

func (e *Escrow) readAccount(ctx context.Context, r Request) (account, error) {
	page, err := e.store.Read(ctx, rows.Range{Table: budgetsTable, Part: rows.Part(r.Program)})
	if err != nil {
		return account{}, err
	}
	return newAccount(page)
}

// commitPart tries to take a part. If the budget row has another version it
// updates the account and returns nil. The part's own row tells whether an
// earlier try was applied whose answer was lost.
func (e *Escrow) commitPart(ctx context.Context, r Request, id string, a *account) (*part, error) {
	amount := max(r.Largest, min(partTurns*r.Largest, (r.Budget-a.spent())/partShare))
	budget, err := put(budgetID(r.Program), budgetRow{Taken: a.taken + amount})
	if err != nil {
		return nil, err
	}
	row, err := put(partID(r.Program, id), partRow{Amount: amount})
	if err != nil {
		return nil, err
	}
	outcome, err := e.store.Commit(ctx, rows.Transaction{
		Conditions: []rows.Condition{{ID: budget.ID, Version: a.version}, {ID: row.ID}},
		Puts:       []rows.Put{budget, row},
	})
	if err != nil {
		return nil, err
	}
	p := &part{id: id, program: r.Program, amount: amount, left: amount, touched: e.timers.Now()}
	switch o := outcome.(type) {
	case rows.Committed:
		p.version = o.Version
		return p, nil
	case rows.Conflict:
		if own, ok := rows.Find(o.Rows, row.ID); ok {
			var stored partRow
			if err := decode(own, &stored); err != nil {
				return nil, err
			}
			p.version, p.amount, p.left = own.Version, stored.Amount, stored.Amount
			return p, nil
		}
		a.whole = false
		if current, ok := rows.Find(o.Rows, budget.ID); ok {
			return nil, a.setBudget(current)
		}
		*a = account{}
		return nil, nil
	}
	return nil, errors.Errorf("unexpected outcome %T of a transaction", outcome)
}

// pause waits before the next try and reports whether there is time for one.
func (e *Escrow) pause(ctx context.Context) bool {
	wait := e.timers.After(retryPause)
	defer wait.Cancel()
	select {
	case <-wait.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}
