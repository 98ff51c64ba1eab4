package ledger_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/failure"
	"github.com/sassafrasspur/sassafrasspur/internal/ledger"
	"github.com/sassafrasspur/sassafrasspur/internal/rows"
	"github.com/sassafrasspur/sassafrasspur/internal/standin/rowstore"
	"github.com/sassafrasspur/sassafrasspur/internal/timer"
	"github.com/sassafrasspur/sassafrasspur/internal/versionobserver"
)

var _ rows.Store = (*rowstore.Rowstore)(nil)

// cluster has two VMs that share a store, and the expected history of each
// stored turn.
type cluster struct {
	t         *rapid.T
	g         *WithT
	rowStore  *rowstore.Rowstore
	vms       []*ledger.Ledger
	next      int
	stored    []ident.RequestID
	histories map[ident.RequestID]string
}

// injectFaults makes up to two of the next calls of the store fail.
func (c *cluster) injectFaults() {
	left := rapid.IntRange(0, 2).Draw(c.t, "faulty calls")
	fault := rapid.SampledFrom([]rowstore.Fault{rowstore.Refuse{}, rowstore.LoseAnswer{}, rowstore.ApplyLate{}}).Draw(c.t, "fault")
	c.rowStore.Inject(func(bool) rowstore.Fault {
		if left == 0 {
			return nil
		}
		left--
		return fault
	})
}

func (c *cluster) runTurn() {
	c.next++
	t := ledger.Turn{
		Program: ident.ProgramID(rapid.SampledFrom([]string{"a", "b"}).Draw(c.t, "program")),
		Turn:    ident.RequestID(fmt.Sprint("turn-", c.next)),
	}
	if len(c.stored) > 0 && rapid.IntRange(0, 3).Draw(c.t, "continues") > 0 {
		t.Previous = rapid.SampledFrom(c.stored).Draw(c.t, "previous")
	}
	vm := c.vms[rapid.IntRange(0, len(c.vms)-1).Draw(c.t, "vm")]
	c.injectFaults()
	history, err := vm.History(context.Background(), t, nil)
	if err != nil {
		c.g.Expect(failure.Is(err, failure.PlatformUnavailable)).To(BeTrue(), "a stored turn must not be reported as missing: %v", err)
		return
	}
	c.g.Expect(string(history)).To(Equal(c.histories[t.Previous]))
	input := strings.Repeat("i", rapid.SampledFrom([]int{1, 500, 90_000, 700_000}).Draw(c.t, "input"))
	output := fmt.Sprintf("<out %s>", t.Turn)
	c.injectFaults()
	if vm.Store(context.Background(), t, []byte(input), []byte(output)) == nil {
		c.histories[t.Turn] = c.histories[t.Previous] + input + output
		c.stored = append(c.stored, t.Turn)
	}
}

// Guards against a history with missing or mixed turns, and against reporting a
// stored turn as missing. Calls of the store are refused, lose their response or
// are applied late, turns are longer than a row, and programs continue turns of
// other programs.
func TestHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := &cluster{t: t, g: NewWithT(t), rowStore: rowstore.New(), histories: map[ident.RequestID]string{}}
		for range 2 {
			c.vms = append(c.vms, ledger.New(c.rowStore, timer.New(), ledger.WithTimeouts(100*time.Millisecond, 100*time.Millisecond)))
		}
		t.Repeat(map[string]func(*rapid.T){
			"turn": func(*rapid.T) { c.runTurn() },
			"late": func(*rapid.T) { c.rowStore.ApplyHeldBack() },
		})
	})
}

// Guards against a not_found error for a turn that may exist.
func TestMissingTurn(t *testing.T) {
	g := NewWithT(t)
	rowStore := rowstore.New()
	l := ledger.New(rowStore, timer.New(), ledger.WithTimeouts(100*time.Millisecond, 100*time.Millisecond))
	next := ledger.Turn{Program: "a", Turn: "2", Previous: "1"}
	_, err := l.History(context.Background(), next, nil)
	g.Expect(failure.Is(err, failure.NotFound)).To(BeTrue())
	rowStore.Inject(func(bool) rowstore.Fault { return rowstore.Refuse{} })
	_, err = l.History(context.Background(), next, nil)
	g.Expect(failure.Is(err, failure.PlatformUnavailable)).To(BeTrue())
}

// oldStore answers reads from an old, empty state while isOld is true.
type oldStore struct {
	rows.Store
	isOld bool
}

func (s *oldStore) Read(ctx context.Context, r rows.Range) (rows.Page, error) {
	page, err := s.Store.Read(ctx, r)
	if s.isOld {
		page.Rows, page.Version = nil, page.Version-1
	}
	return page, err
}

// Guards against a not_found error for a turn that another VM has stored, because the store
// answers from an older state, or because the VM can't tell whether it does.
func TestTurnMissingInOldState(t *testing.T) {
	g := NewWithT(t)
	ctx := context.Background()
	store, versions := &oldStore{Store: rowstore.New()}, versionobserver.New()
	g.Expect(ledger.New(store, timer.New()).Store(ctx, ledger.Turn{Program: "a", Turn: "1"}, []byte("text"), nil)).To(Succeed())
	l := ledger.New(versions.Observed(store), timer.New(), ledger.WithTimeouts(100*time.Millisecond, 100*time.Millisecond), ledger.WithKnownVersion(versions.Known))
	read := func(previous ident.RequestID) error {
		_, err := l.History(ctx, ledger.Turn{Program: "b", Turn: "3", Previous: previous}, nil)
		return err
	}
	g.Expect(read("2")).To(MatchError(failure.PlatformUnavailable), "the VM has written nothing")
	g.Expect(l.Store(ctx, ledger.Turn{Program: "b", Turn: "0"}, nil, nil)).To(Succeed())
	g.Expect(read("2")).To(MatchError(failure.NotFound))
	store.isOld = true
	g.Expect(read("1")).To(MatchError(failure.PlatformUnavailable))
	store.isOld = false
	g.Expect(read("1")).To(Succeed())
}

// Guards against a VM that follows previous turns without end, and collects their texts
// until its memory is exhausted. Callers choose the IDs of turns, so that rows of two
// programs may name each other.
func TestTurnsThatFollowThemselves(t *testing.T) {
	g := NewWithT(t)
	store := rowstore.New()
	ctx := context.Background()
	writer := ledger.New(store, timer.New())
	for _, turn := range []ledger.Turn{
		{Program: "a", Turn: "1"}, {Program: "a", Turn: "2", Previous: "1"}, {Program: "b", Turn: "1", Previous: "2"}, {Program: "b", Turn: "2", Previous: "1"},
	} {
		g.Expect(writer.Store(ctx, turn, []byte("text"), nil)).To(Succeed())
	}
	for name, l := range map[string]*ledger.Ledger{"cache": writer, "store": ledger.New(store, timer.New())} {
		_, err := l.History(ctx, ledger.Turn{Program: "b", Turn: "3", Previous: "2"}, nil)
		g.Expect(failure.Is(err, failure.InvalidRequest)).To(BeTrue(), "%s: %v", name, err)
		g.Expect(failure.From(err).NotRun).To(BeTrue(), name)
		history, err := l.History(ctx, ledger.Turn{Program: "a", Turn: "3", Previous: "2"}, nil)
		g.Expect(err).NotTo(HaveOccurred(), name)
		g.Expect(string(history)).To(Equal("texttext"), name)
	}
}

// Guards against replacing a turn by another one with the same ID.
func TestSecondWriter(t *testing.T) {
	g := NewWithT(t)
	l := ledger.New(rowstore.New(), timer.New())
	turn := ledger.Turn{Program: "a", Turn: "1"}
	g.Expect(l.Store(context.Background(), turn, []byte("first"), nil)).To(Succeed())
	g.Expect(l.Store(context.Background(), turn, []byte("second"), nil)).NotTo(Succeed())
	history, err := l.History(context.Background(), ledger.Turn{Program: "a", Turn: "2", Previous: "1"}, nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(history)).To(Equal("first"))
}

// Guards against reading the store although this VM stored the previous turn,
// against continuing a turn whose rows may have been removed, and against a cache
// without a size limit.
func TestCachedTurns(t *testing.T) {
	g := NewWithT(t)
	clock := timer.NewManual(time.Unix(0, 0))
	rowStore := rowstore.New()
	l := ledger.New(rowStore, timer.New(timer.WithManual(clock)), ledger.WithTimeouts(time.Hour, time.Hour))
	store := func(turn, previous, text string) {
		g.Expect(l.Store(context.Background(), ledger.Turn{Program: "a", Turn: ident.RequestID(turn), Previous: ident.RequestID(previous)}, []byte(text), nil)).To(Succeed())
	}
	calls := 0
	rowStore.Inject(func(bool) rowstore.Fault { calls++; return nil })
	read := func(previous string) (string, int) {
		calls = 0
		history, err := l.History(context.Background(), ledger.Turn{Program: "a", Turn: "next", Previous: ident.RequestID(previous)}, nil)
		g.Expect(err).NotTo(HaveOccurred())
		return string(history), calls
	}
	store("1", "", "one ")
	store("2", "1", "two")
	history, n := read("2")
	g.Expect(history).To(Equal("one two"))
	g.Expect(n).To(BeZero())
	clock.Advance(6 * time.Minute)
	history, n = read("2")
	g.Expect(history).To(Equal("one two"))
	g.Expect(n).To(Equal(1))
	for i := range 2000 {
		store(fmt.Sprint("other-", i), "", "x")
	}
	// The program no longer fits into one response of the store: its turns are read
	// without their texts, and then the texts of the history.
	const longProgramCalls = 3
	_, n = read("2")
	g.Expect(n).To(Equal(longProgramCalls))
	store("long", "2", strings.Repeat("x", 20_000))
	_, n = read("long")
	g.Expect(n).To(Equal(longProgramCalls))
	longID := strings.Repeat("x", 20_000)
	store(longID, "", "x")
	// The cache has it under a name of a bounded length.
	_, n = read(longID)
	g.Expect(n).To(BeZero())
}

// partialStore is a store with some parts unavailable.
type partialStore struct {
	rows.Store
	down map[rows.Partition]bool
}

func (p *partialStore) Commit(ctx context.Context, t rows.Transaction) (rows.Outcome, error) {
	for _, put := range t.Puts {
		if p.down[put.Part] {
			return nil, rows.ErrUnavailable
		}
	}
	return p.Store.Commit(ctx, t)
}

func (p *partialStore) Read(ctx context.Context, r rows.Range) (rows.Page, error) {
	if p.down[r.Part] {
		return rows.Page{}, rows.ErrUnavailable
	}
	return p.Store.Read(ctx, r)
}

// Guards against turns that can't be stored because a part of the store is
// unavailable that has no rows of their program, and against a not_found error
// when a part of the index could not be read.
func TestPartsOutOfService(t *testing.T) {
	g := NewWithT(t)
	store := &partialStore{Store: rowstore.New(), down: map[rows.Partition]bool{"1": true}}
	vm := func() *ledger.Ledger {
		return ledger.New(store, timer.New(), ledger.WithTimeouts(300*time.Millisecond, 300*time.Millisecond))
	}
	g.Expect(vm().Store(context.Background(), ledger.Turn{Program: "a", Turn: "1"}, []byte("first"), nil)).To(Succeed())
	next := ledger.Turn{Program: "b", Turn: "2", Previous: "1"}
	history, err := vm().History(context.Background(), next, nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(history)).To(Equal("first"))
	store.down["1/1"] = true
	_, err = vm().History(context.Background(), next, nil)
	g.Expect(failure.Is(err, failure.PlatformUnavailable)).To(BeTrue())
	store.down = nil
	stored, err := ledger.RowIDs(context.Background(), store, "a")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(stored).To(ContainElement(rows.ID{Table: "turn_programs", Part: "1/1", Key: "program"}))
}

// Guards against running retained turns while they can't be stored. Each was cut
// off after it had completed, and a program failed after three of them.
func TestTurnWaitsForStore(t *testing.T) {
	g := NewWithT(t)
	rowStore := rowstore.New()
	timers := timer.New()
	l := ledger.New(rowStore, timers, ledger.WithTimeouts(100*time.Millisecond, 100*time.Millisecond))
	ctx := context.Background()
	g.Expect(l.Store(ctx, ledger.Turn{Program: "p", Turn: "one"}, []byte("in"), []byte("out"))).To(Succeed())
	rowStore.Inject(func(bool) rowstore.Fault { return rowstore.Refuse{} })
	g.Expect(l.Store(ctx, ledger.Turn{Program: "p", Turn: "two", Previous: "one"}, nil, nil)).NotTo(Succeed())
	for _, next := range []ledger.Turn{{Program: "p", Turn: "three", Previous: "one"}, {Program: "q", Turn: "first"}} {
		_, err := l.History(ctx, next, nil)
		g.Expect(failure.Is(err, failure.PlatformUnavailable)).To(BeTrue(), "%v", err)
		g.Expect(failure.From(err).NotRun).To(BeTrue())
	}
	rowStore.Inject(func(bool) rowstore.Fault { return nil })
	history, err := l.History(ctx, ledger.Turn{Program: "p", Turn: "three", Previous: "one"}, nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(history)).To(Equal("inout"))
}
