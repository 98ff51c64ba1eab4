// Package rowfinder finds the rows of a program in the store: its records, its
// budget and its turns.
package rowfinder

import (
	"context"
	"time"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/committer"
	"github.com/sassafrasspur/sassafrasspur/internal/escrow"
	"github.com/sassafrasspur/sassafrasspur/internal/ledger"
	"github.com/sassafrasspur/sassafrasspur/internal/rows"
	"github.com/sassafrasspur/sassafrasspur/internal/timer"
)

// Rowfinder finds the rows of programs in a store.
type Rowfinder struct {
	store  rows.Store
	timers *timer.Service
}

// New returns a finder of the rows in store.
func New(store rows.Store, timers *timer.Service) *Rowfinder {
	return &Rowfinder{store: store, timers: timers}
}

// LastUse returns the time of the last record of a program or of the last
// reservation from its budget, whichever is later. It returns the zero time if the
// store has neither.
func (f *Rowfinder) LastUse(ctx context.Context, p ident.ProgramID) (time.Time, error) {
	recorded, err := committer.LastUse(ctx, f.store, p, f.timers.Now())
	if err != nil {
		return time.Time{}, err
	}
	reserved, err := escrow.LastUse(ctx, f.store, p)
	if recorded.After(reserved) {
		reserved = recorded
	}
	return reserved, err
}

// RowIDs returns the IDs of all rows of a program.
func (f *Rowfinder) RowIDs(ctx context.Context, p ident.ProgramID) ([]rows.ID, error) {
	recorded, err := committer.RowIDs(ctx, f.store, p)
	if err != nil {
		return nil, err
	}
	budget, err := escrow.RowIDs(ctx, f.store, p)
	if err != nil {
		return nil, err
	}
	turns, err := ledger.RowIDs(ctx, f.store, p)
	return append(append(recorded, budget...), turns...), err
}
