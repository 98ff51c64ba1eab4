// Package versionobserver keeps the highest version of the platform's store that this VM
// has seen in an answer.
//
// The store may answer reads from a state that is some seconds old. An answer with a lower
// version than one that was seen before the read was sent comes from such a state.
package versionobserver

import (
	"context"
	"sync"
	"time"

	"github.com/sassafrasspur/sassafrasspur/internal/rows"
)

// Versionobserver keeps the highest version. It is safe for concurrent use.
type Versionobserver struct {
	mu      sync.Mutex
	highest rows.Version
	// written is true once the store has confirmed a write. Only then is highest known
	// to be a recent version: writes are never applied to an old state.
	written bool
}

// New returns an observer that has seen no answer.
func New() *Versionobserver { return &Versionobserver{} }

// Observe records the version of an answer, and whether the answer confirmed a write.
func (o *Versionobserver) Observe(version rows.Version, written bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.highest = max(o.highest, version)
	o.written = o.written || written
}

// Known returns the highest version, or 0 if the store has confirmed no write yet.
func (o *Versionobserver) Known() rows.Version {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.written {
		return 0
	}
	return o.highest
}

// Observed returns a store whose answers are observed.
func (o *Versionobserver) Observed(store rows.Store) rows.Store {
	return observedStore{store: store, observer: o}
}

type observedStore struct {
	store    rows.Store
	observer *Versionobserver
}

// Commit applies a transaction.
func (s observedStore) Commit(ctx context.Context, t rows.Transaction) (rows.Outcome, error) {
	result, err := s.store.Commit(ctx, t)
	if committed, ok := result.(rows.Committed); ok && err == nil {
		s.observer.Observe(committed.Version, true)
	}
	return result, err
}

// Read returns the rows of a range.
func (s observedStore) Read(ctx context.Context, r rows.Range) (rows.Page, error) {
	page, err := s.store.Read(ctx, r)
	if err == nil {
		s.observer.Observe(page.Version, false)
	}
	return page, err
}

// Changes returns the rows of a table that changed after a version.
func (s observedStore) Changes(ctx context.Context, t rows.Table, after rows.Version, wait time.Duration) (rows.Page, error) {
	page, err := s.store.Changes(ctx, t, after, wait)
	if err == nil {
		s.observer.Observe(page.Version, false)
	}
	return page, err
}
