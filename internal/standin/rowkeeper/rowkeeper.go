// Package rowkeeper is an in-memory stand-in for the platform's store of rows,
// into which faults can be injected.
package rowkeeper

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
// the transaction when Settle is called, if its conditions still hold then.
type ApplyLate struct{}

func (Refuse) fault()     {}
func (LoseAnswer) fault() {}
func (ApplyLate) fault()  {}

// Rowkeeper is an in-memory store of rows. It is safe for concurrent use.
type Rowkeeper struct {
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

// Option configures a Rowkeeper.
type Option func(*Rowkeeper)

// WithTimers sets the timer service that provides the store's clock.
func WithTimers(timers *timer.Service) Option {
	return func(k *Rowkeeper) { k.timers = timers }
}

// New returns an empty store.
func New(options ...Option) *Rowkeeper {
	k := &Rowkeeper{
		rows: map[rows.ID]rows.Row{}, removed: map[rows.ID]rows.Version{}, timers: timer.New(),
		faults: func(bool) Fault { return nil }, changed: make(chan struct{}),
	}
	for _, option := range options {
		option(k)
	}
	k.started = k.timers.Now()
	return k
}

// Inject sets the function that returns the fault of each call, or nil for none.
func (k *Rowkeeper) Inject(faults func(write bool) Fault) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.faults = faults
}

// Calls returns the number of transactions and of reads so far.
func (k *Rowkeeper) Calls() (commits, reads int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.commits, k.reads
}

// Size returns the number of rows.
func (k *Rowkeeper) Size() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.rows)
}

// Parts returns the parts of a table that have rows.
func (k *Rowkeeper) Parts(_ context.Context, t rows.Table) ([]rows.Partition, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.reads++
	if fault := k.faults(false); fault != nil {
		return nil, faultError(fault)
	}
	var parts []rows.Partition
	for id := range k.rows {
		if id.Table == t && !slices.Contains(parts, id.Part) {
			parts = append(parts, id.Part)
		}
	}
	slices.Sort(parts)
	return parts, nil
}

// Settle applies the transactions that ApplyLate held back.
func (k *Rowkeeper) Settle() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, t := range k.heldBack {
		k.apply(t)
	}
	k.heldBack = nil
}

// Compact discards the history of changes so far; the rows remain.
func (k *Rowkeeper) Compact() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.compacted = k.version
	k.removed = map[rows.ID]rows.Version{}
}

// Commit applies a transaction if all its conditions hold.
func (k *Rowkeeper) Commit(_ context.Context, t rows.Transaction) (rows.Outcome, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.commits++
	switch k.faults(true).(type) {
	case Refuse:
		return nil, rows.ErrUnavailable
	case LoseAnswer:
		k.apply(t)
		return nil, rows.ErrOutcomeUnknown
	case ApplyLate:
		k.heldBack = append(k.heldBack, t)
		return nil, rows.ErrOutcomeUnknown
	}
	return k.apply(t), nil
}

func (k *Rowkeeper) apply(t rows.Transaction) rows.Outcome {
	allHold := true
	var current []rows.Row
	for _, c := range t.Conditions {
		row, ok := k.rows[c.ID]
		if ok {
			current = append(current, row)
		}
		allHold = allHold && row.Version == c.Version
	}
	if !allHold {
		return rows.Conflict{Rows: current}
	}
	k.version++
	for _, p := range t.Puts {
		k.rows[p.ID] = rows.Row{ID: p.ID, Value: slices.Clone(p.Value), Version: k.version}
		delete(k.removed, p.ID)
	}
	for _, id := range t.Removes {
		delete(k.rows, id)
		k.removed[id] = k.version
	}
	close(k.changed)
	k.changed = make(chan struct{})
	return rows.Committed{Version: k.version}
}

// Read returns the rows of a range in order of their keys.
func (k *Rowkeeper) Read(_ context.Context, r rows.Range) (rows.Page, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.reads++
	if fault := k.faults(false); fault != nil {
		return rows.Page{}, faultError(fault)
	}
	page := k.page()
	for id, row := range k.rows {
		if id.Table == r.Table && id.Part == r.Part && id.Key >= r.From && (r.To == "" || id.Key < r.To) {
			page.Rows = append(page.Rows, row)
		}
	}
	slices.SortFunc(page.Rows, func(a, b rows.Row) int { return cmp.Compare(a.Key, b.Key) })
	return page, nil
}

func faultError(f Fault) error {
	if _, ok := f.(Refuse); ok {
		return rows.ErrUnavailable
	}
	return rows.ErrOutcomeUnknown
}

func (k *Rowkeeper) page() rows.Page {
	return rows.Page{Version: k.version, Clock: rows.Clock(k.timers.Now().Sub(k.started))}
}

// Changes returns the rows of a table that changed after a version. If there are
// none, it waits for a change for at most wait.
func (k *Rowkeeper) Changes(ctx context.Context, t rows.Table, after rows.Version, wait time.Duration) (rows.Page, error) {
	deadlineTimer := time.NewTimer(wait)
	defer deadlineTimer.Stop()
	for {
		page, changed, err := k.changes(t, after)
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

func (k *Rowkeeper) changes(t rows.Table, after rows.Version) (rows.Page, <-chan struct{}, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.reads++
	if fault := k.faults(false); fault != nil {
		return rows.Page{}, nil, faultError(fault)
	}
	if after < k.compacted {
		return rows.Page{}, nil, rows.ErrCompacted
	}
	page := k.page()
	for id, row := range k.rows {
		if id.Table == t && row.Version > after {
			page.Rows = append(page.Rows, row)
		}
	}
	for id, version := range k.removed {
		if id.Table == t && version > after {
			page.Removed = append(page.Removed, id)
		}
	}
	slices.SortFunc(page.Rows, func(a, b rows.Row) int { return cmp.Compare(a.Version, b.Version) })
	return page, k.changed, nil
}
