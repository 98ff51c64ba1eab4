// Package programrows finds all rows that the store has of a program: its
// records, its budget and its turns.
package programrows

import (
	"context"
	"time"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/bookkeeper"
	"github.com/sassafrasspur/sassafrasspur/internal/escrow"
	"github.com/sassafrasspur/sassafrasspur/internal/ledger"
	"github.com/sassafrasspur/sassafrasspur/internal/rows"
	"github.com/sassafrasspur/sassafrasspur/internal/timer"
)

// Programrows finds rows in a store.
type Programrows struct {
	store  rows.Store
	timers *timer.Service
}

// New returns a finder on a store.
func New(store rows.Store, timers *timer.Service) *Programrows {
	return &Programrows{store: store, timers: timers}
}

// LastUse returns when something of the program was recorded, or a part of its
// budget was taken, last; the zero time if nothing is stored of it.
func (f *Programrows) LastUse(ctx context.Context, p ident.ProgramID) (time.Time, error) {
	recorded, err := bookkeeper.LastUse(ctx, f.store, p, f.timers.Now())
	if err != nil {
		return time.Time{}, err
	}
	taken, err := escrow.LastUse(ctx, f.store, p)
	if recorded.After(taken) {
		taken = recorded
	}
	return taken, err
}

// Stored returns all rows of a program.
func (f *Programrows) Stored(ctx context.Context, p ident.ProgramID) ([]rows.ID, error) {
	recorded, err := bookkeeper.Stored(ctx, f.store, p)
	if err != nil {
		return nil, err
	}
	budget, err := escrow.Stored(ctx, f.store, p)
	if err != nil {
		return nil, err
	}
	turns, err := ledger.Stored(ctx, f.store, p)
	return append(append(recorded, budget...), turns...), err
}
