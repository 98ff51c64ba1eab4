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
	// budgetKey is the key of the row that every growth of a reservation replaces.
	budgetKey rows.Key = "budget"
)

// reservationPrefix is the key prefix of the reservations of a budget.
const reservationPrefix = "part/"

// budgetRow stores the sum of all reservations of a budget.
type budgetRow struct {
	Taken unit.Tokens `json:"taken"`
	// At is the wall clock time of the last reservation, in Unix seconds.
	At int64 `json:"at"`
}

// reservationRow stores a reservation of a VM.
type reservationRow struct {
	Amount unit.Tokens `json:"amount"`
	// Used counts the tokens that callers received, once Settled is set.
	Used    unit.Tokens `json:"used"`
	Settled bool        `json:"settled"`
	// At is the wall clock time at which the reservation last grew, in Unix
	// seconds. It is zero in a settled row.
	At int64 `json:"at"`
}

func budgetID(p ident.ProgramID) rows.ID {
	return rows.ID{Table: budgetsTable, Part: rows.Partition(p), Key: budgetKey}
}

func reservationID(p ident.ProgramID, id string) rows.ID {
	return rows.ID{Table: budgetsTable, Part: rows.Partition(p), Key: rows.Key(reservationPrefix + id)}
}

func put(id rows.ID, value any) (rows.Put, error) {
	encoded, err := json.Marshal(value)
	return rows.Put{ID: id, Value: encoded}, errors.Annotatef(err, "encode row %s of program %s", id.Key, id.Part)
}

func decode(row rows.Row, into any) error {
	return errors.Annotatef(json.Unmarshal(row.Value, into), "decode row %s of program %s", row.Key, row.Part)
}

// LastUse returns the time of the last reservation from a program's budget, the
// zero time if there was none.
func LastUse(ctx context.Context, store rows.Store, p ident.ProgramID) (time.Time, error) {
	page, err := store.Read(ctx, rows.Range{Table: budgetsTable, Part: rows.Partition(p), From: budgetKey, To: budgetKey + "\x00"})
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

// RowIDs returns the IDs of all rows of a program's budget.
func RowIDs(ctx context.Context, store rows.Store, p ident.ProgramID) ([]rows.ID, error) {
	page, err := store.Read(ctx, rows.Range{Table: budgetsTable, Part: rows.Partition(p)})
	var ids []rows.ID
	for _, row := range page.Rows {
		ids = append(ids, row.ID)
	}
	return ids, err
}

// balance is the state of a program's budget according to its rows.
type balance struct {
	// taken is the sum of all reservations, refunded the sum of the unused tokens
	// of settled ones.
	taken, refunded unit.Tokens
	// unsettled is the sum of the unsettled reservations of other VMs, held the
	// sum of those that a running VM may still settle.
	unsettled, held unit.Tokens
	// version is the version of the budget row, 0 if there is none.
	version rows.Version
	// complete is set if all rows were read at this version. Otherwise refunded
	// may lack reservations that were settled since.
	complete bool
}

// spent returns the number of tokens that count against the budget.
func (b balance) spent() unit.Tokens { return b.taken - b.refunded }

// newBalance computes the balance from all rows of a program, for the VM whose
// reservation has the ID own.
func newBalance(page rows.Page, own rows.ID, now time.Time) (balance, error) {
	b := balance{complete: true}
	for _, row := range page.Rows {
		switch {
		case row.Key == budgetKey:
			if err := b.setBudget(row); err != nil {
				return b, err
			}
		case strings.HasPrefix(string(row.Key), reservationPrefix):
			var p reservationRow
			if err := decode(row, &p); err != nil {
				return b, err
			}
			switch {
			case p.Settled:
				b.refunded += p.Amount - p.Used
			case row.ID != own:
				b.unsettled += p.Amount
				if now.Sub(time.Unix(p.At, 0)) < holderTimeout {
					b.held += p.Amount
				}
			}
		}
	}
	return b, nil
}

// setBudget updates the balance from a version of the budget row.
func (b *balance) setBudget(row rows.Row) error {
	var budget budgetRow
	err := decode(row, &budget)
	b.taken, b.version = budget.Taken, row.Version
	return err
}
