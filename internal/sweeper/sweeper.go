// Package sweeper removes the rows of programs that ended long ago; rows of the
// platform's store never expire by themselves.
//
// Each VM lists the programs that it wrote rows of, in one part of the store for
// each span of time. One VM, the first of those that serve, reads
// the lists whose span is over, and removes the rows of the programs on them
// that were not used since. Two VMs that sweep at once do the same work twice.
package sweeper

import (
	"cmp"
	"context"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/rows"
	"github.com/sassafrasspur/sassafrasspur/internal/timer"
)

const (
	// listTable has a row for each program in the part SPAN/VM.
	listTable rows.Table = "used_programs"
	// span is the time for which one part of the list stands.
	span = 5 * time.Minute
	// DefaultKeep is the time for which the rows of a program are kept after
	// its last use. Routes keep turns for a minute, and clocks of VMs may differ
	// by seconds.
	DefaultKeep = 15 * time.Minute
	// noteInterval spaces the writes of the list. The programs of the last
	// interval are not swept if their VM is killed.
	noteInterval = 5 * time.Second
	// sweepInterval spaces the looks for spans that are over.
	sweepInterval = time.Minute
	// entriesLimit bounds the entries of one transaction, which holds 100.
	entriesLimit = 90
)

// Store reads and writes rows, and lists the parts of a table.
type Store interface {
	rows.Store
	Parts(ctx context.Context, t rows.Table) ([]rows.Part, error)
}

// Rows finds the rows of programs.
type Rows interface {
	// LastUse returns when a program was used last, the zero time if nothing is
	// stored of it.
	LastUse(ctx context.Context, p ident.ProgramID) (time.Time, error)
	// Stored returns all rows of a program.
	Stored(ctx context.Context, p ident.ProgramID) ([]rows.ID, error)
}

// Sweeper lists programs and removes their rows.
type Sweeper struct {
	store   Store
	stored  Rows
	timers  *timer.Service
	vm      ident.VMID
	isFirst func() bool
	report  func(error)
	keep    time.Duration

	mu   sync.Mutex
	used map[ident.ProgramID]bool
}

// Option changes how New builds a Sweeper.
type Option func(*Sweeper)

// WithKeep sets how long rows are kept after the last use of their program.
func WithKeep(keep time.Duration) Option {
	return func(s *Sweeper) { s.keep = keep }
}

// New returns the sweeper of a VM. It writes its list, and sweeps while isFirst
// reports true, until the context ends. Errors are given to report; what failed
// is tried again.
func New(ctx context.Context, store Store, stored Rows, timers *timer.Service, vm ident.VMID, isFirst func() bool, report func(error), options ...Option) *Sweeper {
	s := &Sweeper{
		store: store, stored: stored, timers: timers, vm: vm, isFirst: isFirst, report: report,
		keep: DefaultKeep, used: map[ident.ProgramID]bool{},
	}
	for _, option := range options {
		option(s)
	}
	s.every(ctx, noteInterval, s.Note)
	s.every(ctx, sweepInterval, func(ctx context.Context) {
		if s.isFirst() {
			s.Sweep(ctx)
		}
	})
	return s
}

func (s *Sweeper) every(ctx context.Context, interval time.Duration, do func(context.Context)) {
	go func() {
		for {
			wait := s.timers.After(interval)
			select {
			case <-wait.C:
				do(ctx)
			case <-ctx.Done():
				wait.Cancel()
				return
			}
		}
	}()
}

// Use notes that a program has rows from now on.
func (s *Sweeper) Use(p ident.ProgramID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.used[p] = true
}

// Note writes the programs that were used since the last time to the list.
func (s *Sweeper) Note(ctx context.Context) {
	s.mu.Lock()
	used := s.used
	s.used = map[ident.ProgramID]bool{}
	s.mu.Unlock()
	var puts []rows.Put
	part := rows.Part(strconv.FormatInt(s.timers.Now().UnixNano()/int64(span), 10) + "/" + string(s.vm))
	for p := range used {
		puts = append(puts, rows.Put{ID: rows.ID{Table: listTable, Part: part, Key: rows.Key(p)}})
	}
	for chunk := range slices.Chunk(puts, entriesLimit) {
		if _, err := s.store.Commit(ctx, rows.Transaction{Puts: chunk}); err != nil {
			s.report(errors.Annotatef(err, "%d programs are listed later", len(chunk)))
			s.mu.Lock()
			for _, p := range chunk {
				s.used[ident.ProgramID(p.Key)] = true
			}
			s.mu.Unlock()
		}
	}
}

// Sweep removes the rows of programs whose span is over.
func (s *Sweeper) Sweep(ctx context.Context) {
	parts, err := s.store.Parts(ctx, listTable)
	if err != nil {
		s.report(errors.Annotate(err, "list the spans of programs"))
		return
	}
	oldest := s.timers.Now().Add(-s.keep)
	for _, part := range parts {
		number, _, _ := strings.Cut(string(part), "/")
		n, err := strconv.ParseInt(number, 10, 64)
		if err != nil {
			s.report(errors.Annotatef(err, "part %q of the list of programs", part))
			continue
		}
		if time.Unix(0, (n+1)*int64(span)).Before(oldest) {
			if err := s.sweepPart(ctx, part, oldest); err != nil {
				s.report(errors.Annotatef(err, "sweep the programs of %s", part))
			}
		}
	}
}

// sweepPart removes the rows of the programs on one part of the list, and their
// place on it. A program that is still in use is listed again.
func (s *Sweeper) sweepPart(ctx context.Context, part rows.Part, oldest time.Time) error {
	page, err := s.store.Read(ctx, rows.Range{Table: listTable, Part: part})
	if err != nil {
		return err
	}
	for _, row := range page.Rows {
		p := ident.ProgramID(row.Key)
		last, err := s.stored.LastUse(ctx, p)
		if err != nil {
			return err
		}
		if last.Before(oldest) {
			if err := s.remove(ctx, p); err != nil {
				return err
			}
		} else {
			s.Use(p)
		}
		if _, err := s.store.Commit(ctx, rows.Transaction{Removes: []rows.ID{row.ID}}); err != nil {
			return err
		}
	}
	return nil
}

// remove removes the rows of a program, those of the budget last, so that a
// sweep that breaks off finds the program again.
func (s *Sweeper) remove(ctx context.Context, p ident.ProgramID) error {
	stored, err := s.stored.Stored(ctx, p)
	if err != nil {
		return err
	}
	slices.SortStableFunc(stored, func(a, b rows.ID) int { return -cmp.Compare(a.Table, b.Table) })
	for chunk := range slices.Chunk(stored, entriesLimit) {
		if _, err := s.store.Commit(ctx, rows.Transaction{Removes: chunk}); err != nil {
			return err
		}
	}
	return nil
}
