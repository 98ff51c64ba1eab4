package escrow

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/rows"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

const (
	budgetsTable rows.Table = "budgets"
	// budgetKey is the row that every transaction on a program's budget
	// replaces or names.
	budgetKey rows.Key = "budget"
)

// partPrefix begins the keys of the parts of a budget.
const partPrefix = "part/"

// budgetRow is the sum of all parts that were taken from a budget.
type budgetRow struct {
	Taken unit.Tokens `json:"taken"`
	// At is the time of day at which a part was taken last, in Unix seconds.
	At int64 `json:"at"`
}

// partRow is a part of a budget that a VM took.
type partRow struct {
	Amount unit.Tokens `json:"amount"`
	// Used is what callers received, if the part is settled.
	Used    unit.Tokens `json:"used"`
	Settled bool        `json:"settled"`
	// At is the time of day at which the part last grew, in Unix seconds.
	At int64 `json:"at"`
}

func budgetID(p ident.ProgramID) rows.ID {
	return rows.ID{Table: budgetsTable, Part: rows.Part(p), Key: budgetKey}
}

func partID(p ident.ProgramID, part string) rows.ID {
	return rows.ID{Table: budgetsTable, Part: rows.Part(p), Key: rows.Key(partPrefix + part)}
}

func put(id rows.ID, value any) (rows.Put, error) {
	encoded, err := json.Marshal(value)
	return rows.Put{ID: id, Value: encoded}, errors.Annotatef(err, "encode row %s of program %s", id.Key, id.Part)
}

func decode(row rows.Row, into any) error {
	return errors.Annotatef(json.Unmarshal(row.Value, into), "row %s of program %s can't be read", row.Key, row.Part)
}

// LastUse returns when a part of a program's budget was taken last, the zero time
// if none was.
func LastUse(ctx context.Context, store rows.Store, p ident.ProgramID) (time.Time, error) {
	page, err := store.Read(ctx, rows.Range{Table: budgetsTable, Part: rows.Part(p), From: budgetKey, To: budgetKey + "\x00"})
	if err != nil {
		return time.Time{}, err
	}
	row, ok := rows.Find(page.Rows, budgetID(p))
	if !ok {
		return time.Time{}, nil
	}
	var budget budgetRow
	err = decode(row, &budget)
	return time.Unix(budget.At, 0), err
}

// Stored returns the rows of a program's budget.
func Stored(ctx context.Context, store rows.Store, p ident.ProgramID) ([]rows.ID, error) {
	page, err := store.Read(ctx, rows.Range{Table: budgetsTable, Part: rows.Part(p)})
	var ids []rows.ID
	for _, row := range page.Rows {
		ids = append(ids, row.ID)
	}
	return ids, err
}

// account is what a program's rows say of its budget.
type account struct {
	// taken is the sum of all parts, refunded what settled parts did not use.
	taken, refunded unit.Tokens
	// unsettled is the sum of the parts of other VMs without a settlement, held
	// that of those whose VMs may still settle them.
	unsettled, held unit.Tokens
	// version is that of the budget row, 0 if there is none.
	version rows.Version
	// whole is set if all rows were read at this version. Otherwise parts may
	// have been settled that refunded does not have.
	whole bool
}

// spent is what counts against the budget.
func (a account) spent() unit.Tokens { return a.taken - a.refunded }

// newAccount returns the account of all rows of a program as a VM sees it that
// has one of the parts.
func newAccount(page rows.Page, own rows.ID, now time.Time) (account, error) {
	a := account{whole: true}
	for _, row := range page.Rows {
		switch {
		case row.Key == budgetKey:
			if err := a.setBudget(row); err != nil {
				return a, err
			}
		case strings.HasPrefix(string(row.Key), partPrefix):
			var p partRow
			if err := decode(row, &p); err != nil {
				return a, err
			}
			switch {
			case p.Settled:
				a.refunded += p.Amount - p.Used
			case row.ID != own:
				a.unsettled += p.Amount
				if now.Sub(time.Unix(p.At, 0)) < heldLimit {
					a.held += p.Amount
				}
			}
		}
	}
	return a, nil
}

// setBudget takes a version of the budget row over.
func (a *account) setBudget(row rows.Row) error {
	var budget budgetRow
	err := decode(row, &budget)
	a.taken, a.version = budget.Taken, row.Version
	return err
}
