// Package sweeper removes the rows of programs after their retention period,
// because rows of the platform's store never expire.
//
// Each VM lists the programs that it wrote rows of, in a separate part of the
// store for each listing period. The first of the serving VMs reads the lists of
// past periods, and removes the rows of the listed programs that were not used
// since. Two VMs that sweep concurrently do the same work twice.
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
	// listTable has a row for each used program, in the part PERIOD/VM.
	listTable rows.Table = "used_programs"
	// listingPeriod is the period covered by one part of the list.
	listingPeriod = 5 * time.Minute
	// DefaultRetention is the retention period of a program's rows after its last use.
	// Routes retain turns for a minute, and the clocks of VMs may differ by seconds.
	DefaultRetention = 15 * time.Minute
	// listingInterval is the interval between writes of the list. If a VM is killed,
	// the programs that it used during the last interval are not swept.
	listingInterval = 5 * time.Second
	// sweepInterval is the interval between sweeps.
	sweepInterval = time.Minute
	// maxTransactionEntries bounds the entries of a transaction. The store accepts
	// 100.
	maxTransactionEntries = 90
)

// Store is a row store that can list the parts of a table.
type Store interface {
	rows.Store
	Parts(ctx context.Context, t rows.Table) ([]rows.Partition, error)
}

// Rows finds the rows of programs.
type Rows interface {
	// LastUse returns the time of a program's last use, the zero time if the
	// program has no rows.
	LastUse(ctx context.Context, p ident.ProgramID) (time.Time, error)
	// RowIDs returns the IDs of all rows of a program.
	RowIDs(ctx context.Context, p ident.ProgramID) ([]rows.ID, error)
}

// Sweeper lists the programs that a VM uses and removes expired rows.
type Sweeper struct {
	store     Store
	programs  Rows
	timers    *timer.Service
	vm        ident.VMID
	isLeader  func() bool
	report    func(error)
	retention time.Duration

	mu       sync.Mutex
	unlisted map[ident.ProgramID]bool // used programs not yet in the list
}

// Option configures a Sweeper.
type Option func(*Sweeper)

// WithRetention sets the retention period of rows after the last use of their
// program.
func WithRetention(retention time.Duration) Option {
	return func(s *Sweeper) { s.retention = retention }
}

// New returns the sweeper of a VM. Until the context ends, it writes its list,
// and sweeps while isLeader reports true. Errors are passed to report, and failed
// operations are retried.
func New(ctx context.Context, store Store, programs Rows, timers *timer.Service, vm ident.VMID, isLeader func() bool, report func(error), options ...Option) *Sweeper {
	s := &Sweeper{
		store: store, programs: programs, timers: timers, vm: vm, isLeader: isLeader, report: report,
		retention: DefaultRetention, unlisted: map[ident.ProgramID]bool{},
	}
	for _, option := range options {
		option(s)
	}
	s.runEvery(ctx, listingInterval, s.WriteList)
	s.runEvery(ctx, sweepInterval, func(ctx context.Context) {
		if s.isLeader() {
			s.Sweep(ctx)
		}
	})
	return s
}

func (s *Sweeper) runEvery(ctx context.Context, interval time.Duration, do func(context.Context)) {
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

// MarkUsed records that rows of a program are written.
func (s *Sweeper) MarkUsed(p ident.ProgramID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unlisted[p] = true
}

// WriteList writes the programs used since the previous call to the list.
func (s *Sweeper) WriteList(ctx context.Context) {
	s.mu.Lock()
	used := s.unlisted
	s.unlisted = map[ident.ProgramID]bool{}
	s.mu.Unlock()
	var puts []rows.Put
	part := rows.Partition(strconv.FormatInt(s.timers.Now().UnixNano()/int64(listingPeriod), 10) + "/" + string(s.vm))
	for p := range used {
		puts = append(puts, rows.Put{ID: rows.ID{Table: listTable, Part: part, Key: rows.Key(p)}})
	}
	for chunk := range slices.Chunk(puts, maxTransactionEntries) {
		if _, err := s.store.Commit(ctx, rows.Transaction{Puts: chunk}); err != nil {
			s.report(errors.Annotatef(err, "list %d used programs; retrying at the next interval", len(chunk)))
			s.mu.Lock()
			for _, p := range chunk {
				s.unlisted[ident.ProgramID(p.Key)] = true
			}
			s.mu.Unlock()
		}
	}
}

// Sweep removes the expired rows of programs listed in past periods.
func (s *Sweeper) Sweep(ctx context.Context) {
	parts, err := s.store.Parts(ctx, listTable)
	if err != nil {
		s.report(errors.Annotate(err, "list the parts of the list of used programs"))
		return
	}
	cutoff := s.timers.Now().Add(-s.retention)
	for _, part := range parts {
		period, _, _ := strings.Cut(string(part), "/")
		n, err := strconv.ParseInt(period, 10, 64)
		if err != nil {
			s.report(errors.Annotatef(err, "parse the period of part %q of the list of used programs", part))
			continue
		}
		if time.Unix(0, (n+1)*int64(listingPeriod)).Before(cutoff) {
			if err := s.sweepPart(ctx, part, cutoff); err != nil {
				s.report(errors.Annotatef(err, "sweep the programs of part %s", part))
			}
		}
	}
}

// sweepPart removes the rows of the expired programs in one part of the list, and
// then their entries. A program that was used since is listed again.
func (s *Sweeper) sweepPart(ctx context.Context, part rows.Partition, cutoff time.Time) error {
	page, err := s.store.Read(ctx, rows.Range{Table: listTable, Part: part})
	if err != nil {
		return err
	}
	for _, row := range page.Rows {
		p := ident.ProgramID(row.Key)
		lastUse, err := s.programs.LastUse(ctx, p)
		if err != nil {
			return err
		}
		if lastUse.Before(cutoff) {
			if err := s.removeRows(ctx, p); err != nil {
				return err
			}
		} else {
			s.MarkUsed(p)
		}
		if _, err := s.store.Commit(ctx, rows.Transaction{Removes: []rows.ID{row.ID}}); err != nil {
			return err
		}
	}
	return nil
}

// removeRows removes the rows of a program. It removes the budget rows last, so
// that the sweep after an interrupted one finds the program again.
func (s *Sweeper) removeRows(ctx context.Context, p ident.ProgramID) error {
	ids, err := s.programs.RowIDs(ctx, p)
	if err != nil {
		return err
	}
	slices.SortStableFunc(ids, func(a, b rows.ID) int { return -cmp.Compare(a.Table, b.Table) })
	for chunk := range slices.Chunk(ids, maxTransactionEntries) {
		if _, err := s.store.Commit(ctx, rows.Transaction{Removes: chunk}); err != nil {
			return err
		}
	}
	return nil
}
