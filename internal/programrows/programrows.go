// Package programrows finds all rows that the store has of a program: its
// budget and its turns.
package programrows

import (
	"context"
	"time"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/escrow"
	"github.com/sassafrasspur/sassafrasspur/internal/ledger"
	"github.com/sassafrasspur/sassafrasspur/internal/rows"
)

// Programrows finds rows in a store.
type Programrows struct {
	store rows.Store
}

// New returns a finder on a store.
func New(store rows.Store) *Programrows { return &Programrows{store: store} }

// LastUse returns when a part of the program's budget was taken last, the zero
// time if none was.
func (f *Programrows) LastUse(ctx context.Context, p ident.ProgramID) (time.Time, error) {
	return escrow.LastUse(ctx, f.store, p)
}

// Stored returns all rows of a program.
func (f *Programrows) Stored(ctx context.Context, p ident.ProgramID) ([]rows.ID, error) {
	budget, err := escrow.Stored(ctx, f.store, p)
	if err != nil {
		return nil, err
	}
	turns, err := ledger.Stored(ctx, f.store, p)
	return append(budget, turns...), err
}
