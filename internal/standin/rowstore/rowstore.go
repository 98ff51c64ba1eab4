// Package rowstore is an in-memory stand-in for the platform's store of rows,
// into which faults can be injected.
package rowstore

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sassafrasspur/sassafrasspur/internal/rows"
	"github.com/sassafrasspur/sassafrasspur/internal/timer"
)

// Fault is a failure mode of a store call. The interface is sealed: its variants
// are the types of this package.
type Fault interface{ fault() }

// Refuse fails a call without executing it and reports the store as unavailable.
type Refuse struct{}

// LoseAnswer executes a call and leaves its outcome unknown to the caller.
type LoseAnswer struct{}

// ApplyLate leaves the outcome of a transaction unknown to the caller and applies
// the transaction when ApplyHeldBack is called, if its conditions still hold then.
type ApplyLate struct{}

func (Refuse) fault()     {}
func (LoseAnswer) fault() {}
func (ApplyLate) fault()  {}

// Rowstore is an in-memory store of rows. It is safe for concurrent use.
type Rowstore struct {
	mu      sync.Mutex
	version rows.Version
	rows    map[rows.ID]rows.Row
	removed map[rows.ID]rows.Version
	// compacted is the version up to which changes have been discarded.
	compacted rows.Version
	heldBack  []rows.Transaction
	faults    func(write bool) Fault
	timers    *timer.Service
	started   time.Time
	changed   chan struct{}
	commits   int
	reads     int
}

// Option configures a Rowstore.
type Option func(*Rowstore)

// WithTimers sets the timer service that provides the store's clock.
func WithTimers(timers *timer.Service) Option {
	return func(s *Rowstore) { s.timers = timers }
}

// New returns an empty store.
func New(options ...Option) *Rowstore {
	s := &Rowstore{
		rows: map[rows.ID]rows.Row{}, removed: map[rows.ID]rows.Version{}, timers: timer.New(),
		faults: func(bool) Fault { return nil }, changed: make(chan struct{}),
	}
	for _, option := range options {
		option(s)
	}
	s.started = s.timers.Now()
	return s
}

// Inject sets the function that returns the fault of each call, or nil for none.
func (s *Rowstore) Inject(faults func(write bool) Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// Calls returns the number of transactions and of reads so far.
func (s *Rowstore) Calls() (commits, reads int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.commits, s.reads
}

// Size returns the number of rows.
func (s *Rowstore) Size() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.rows)
}

// Parts returns the parts of a table that have rows.
func (s *Rowstore) Parts(_ context.Context, t rows.Table) ([]rows.Partition, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	if fault := s.faults(false); fault != nil {
		return nil, faultError(fault)
	}
	var parts []rows.Partition
	for id := range s.rows {
		if id.Table == t && !slices.Contains(parts, id.Part) {
			parts = append(parts, id.Part)
		}
	}
	slices.Sort(parts)
	return parts, nil
}

// ApplyHeldBack applies the transactions that ApplyLate held back.
func (s *Rowstore) ApplyHeldBack() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.heldBack {
		s.apply(t)
	}
	s.heldBack = nil
}

// Compact discards the history of changes so far; the rows remain.
func (s *Rowstore) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compacted = s.version
	s.removed = map[rows.ID]rows.Version{}
}

// Commit applies a transaction if all its conditions hold. It refuses one that exceeds the
// limits of the platform's store.
func (s *Rowstore) Commit(_ context.Context, t rows.Transaction) (rows.Outcome, error) {
	if err := checkLimits(t); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.commits++
	switch s.faults(true).(type) {
	case Refuse:
		return nil, rows.ErrUnavailable
	case LoseAnswer:
		s.apply(t)
		return nil, rows.ErrOutcomeUnknown
	case ApplyLate:
		s.heldBack = append(s.heldBack, t)
		return nil, rows.ErrOutcomeUnknown
	}
	return s.apply(t), nil
}

func (s *Rowstore) apply(t rows.Transaction) rows.Outcome {
	allHold := true
	var current []rows.Row
	for _, c := range t.Conditions {
		row, ok := s.rows[c.ID]
		if ok {
			current = append(current, row)
		}
		allHold = allHold && row.Version == c.Version
	}
	if !allHold {
		return rows.Conflict{Rows: current}
	}
	s.version++
	for _, p := range t.Puts {
		s.rows[p.ID] = rows.Row{ID: p.ID, Value: slices.Clone(p.Value), Version: s.version}
		delete(s.removed, p.ID)
	}
	for _, id := range t.Removes {
		delete(s.rows, id)
		s.removed[id] = s.version
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return rows.Committed{Version: s.version}
}

// Read returns the rows of a range in order of their keys.
func (s *Rowstore) Read(_ context.Context, r rows.Range) (rows.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	if fault := s.faults(false); fault != nil {
		return rows.Page{}, faultError(fault)
	}
	page := s.page()
	for id, row := range s.rows {
		if id.Table == r.Table && id.Part == r.Part && id.Key >= r.From && (r.To == "" || id.Key < r.To) {
			page.Rows = append(page.Rows, row)
		}
	}
	slices.SortFunc(page.Rows, func(a, b rows.Row) int { return cmp.Compare(a.Key, b.Key) })
	if r.OnePage {
		page.Rows, page.Truncated = firstPage(page.Rows)
	}
	return page, nil
}

func faultError(f Fault) error {
	if _, ok := f.(Refuse); ok {
		return rows.ErrUnavailable
	}
	return rows.ErrOutcomeUnknown
}

func (s *Rowstore) page() rows.Page {
	return rows.Page{Version: s.version, Clock: rows.Clock(s.timers.Now().Sub(s.started))}
}

// Changes returns the rows of a table that changed after a version. If there are
// none, it waits for a change for at most wait.
func (s *Rowstore) Changes(ctx context.Context, t rows.Table, after rows.Version, wait time.Duration) (rows.Page, error) {
	deadlineTimer := time.NewTimer(wait)
	defer deadlineTimer.Stop()
	for {
		page, changed, err := s.changes(t, after)
		if err != nil || len(page.Rows) > 0 || len(page.Removed) > 0 {
			return page, err
		}
		select {
		case <-changed:
		case <-deadlineTimer.C:
			return page, nil
		case <-ctx.Done():
			return rows.Page{}, rows.ErrOutcomeUnknown
		}
	}
}

func (s *Rowstore) changes(t rows.Table, after rows.Version) (rows.Page, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	if fault := s.faults(false); fault != nil {
		return rows.Page{}, nil, faultError(fault)
	}
	if after < s.compacted {
		return rows.Page{}, nil, rows.ErrCompacted
	}
	page := s.page()
	for id, row := range s.rows {
		if id.Table == t && row.Version > after {
			page.Rows = append(page.Rows, row)
		}
	}
	for id, version := range s.removed {
		if id.Table == t && version > after {
			page.Removed = append(page.Removed, id)
		}
	}
	slices.SortFunc(page.Rows, func(a, b rows.Row) int { return cmp.Compare(a.Version, b.Version) })
	return page, s.changed, nil
}
