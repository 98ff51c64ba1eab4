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
	"github.com/sassafrasspur/sassafrasspur/internal/standin/rowkeeper"
	"github.com/sassafrasspur/sassafrasspur/internal/timer"
)

var _ rows.Store = (*rowkeeper.Rowkeeper)(nil)

// world has two VMs on one store, and an oracle of the turns that were kept.
type world struct {
	t      *rapid.T
	g      *WithT
	keeper *rowkeeper.Rowkeeper
	vms    []*ledger.Ledger
	next   int
	order  []ident.RequestID
	kept   map[ident.RequestID]string
}

// faults makes some of the next calls fail, and the rest succeed.
func (w *world) faults() {
	left := rapid.IntRange(0, 2).Draw(w.t, "faulty calls")
	fault := rapid.SampledFrom([]rowkeeper.Fault{rowkeeper.Refuse{}, rowkeeper.LoseAnswer{}, rowkeeper.ApplyLate{}}).Draw(w.t, "fault")
	w.keeper.Inject(func(bool) rowkeeper.Fault {
		if left == 0 {
			return nil
		}
		left--
		return fault
	})
}

func (w *world) turn() {
	w.next++
	t := ledger.Turn{
		Program: ident.ProgramID(rapid.SampledFrom([]string{"a", "b"}).Draw(w.t, "program")),
		Turn:    ident.RequestID(fmt.Sprint("turn-", w.next)),
	}
	if len(w.order) > 0 && rapid.IntRange(0, 3).Draw(w.t, "continues") > 0 {
		t.Previous = rapid.SampledFrom(w.order).Draw(w.t, "previous")
	}
	vm := w.vms[rapid.IntRange(0, len(w.vms)-1).Draw(w.t, "vm")]
	w.faults()
	history, err := vm.History(context.Background(), t)
	if err != nil {
		w.g.Expect(failure.Is(err, failure.PlatformUnavailable)).To(BeTrue(), "a kept turn is never said to be missing: %v", err)
		return
	}
	w.g.Expect(string(history)).To(Equal(w.kept[t.Previous]))
	input := strings.Repeat("i", rapid.SampledFrom([]int{1, 500, 90_000}).Draw(w.t, "input"))
	output := fmt.Sprintf("<out %s>", t.Turn)
	w.faults()
	if vm.Keep(context.Background(), t, []byte(input), []byte(output)) == nil {
		w.kept[t.Turn] = w.kept[t.Previous] + input + output
		w.order = append(w.order, t.Turn)
	}
}

// Guards against a history that misses or mixes turns, and a kept turn that is
// said to be missing, when answers of the store are refused, lost or take effect
// late, turns are longer than a row, and programs go on from turns of others.
func TestHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{t: t, g: NewWithT(t), keeper: rowkeeper.New(), kept: map[ident.RequestID]string{}}
		for range 2 {
			w.vms = append(w.vms, ledger.New(w.keeper, timer.New(), ledger.WithLimits(100*time.Millisecond, 100*time.Millisecond)))
		}
		t.Repeat(map[string]func(*rapid.T){
			"turn": func(*rapid.T) { w.turn() },
			"late": func(*rapid.T) { w.keeper.Settle() },
		})
	})
}

// Guards against a promise of not found for a turn that may exist.
func TestMissingTurn(t *testing.T) {
	g := NewWithT(t)
	keeper := rowkeeper.New()
	l := ledger.New(keeper, timer.New(), ledger.WithLimits(100*time.Millisecond, 100*time.Millisecond))
	next := ledger.Turn{Program: "a", Turn: "2", Previous: "1"}
	_, err := l.History(context.Background(), next)
	g.Expect(failure.Is(err, failure.NotFound)).To(BeTrue())
	keeper.Inject(func(bool) rowkeeper.Fault { return rowkeeper.Refuse{} })
	_, err = l.History(context.Background(), next)
	g.Expect(failure.Is(err, failure.PlatformUnavailable)).To(BeTrue())
}

// Guards against a turn that is replaced by another with the same id.
func TestSecondWriter(t *testing.T) {
	g := NewWithT(t)
	l := ledger.New(rowkeeper.New(), timer.New())
	turn := ledger.Turn{Program: "a", Turn: "1"}
	g.Expect(l.Keep(context.Background(), turn, []byte("first"), nil)).To(Succeed())
	g.Expect(l.Keep(context.Background(), turn, []byte("second"), nil)).NotTo(Succeed())
	history, err := l.History(context.Background(), ledger.Turn{Program: "a", Turn: "2", Previous: "1"})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(history)).To(Equal("first"))
}

// Guards against a turn that waits for the store although this VM stored the one
// before, against one that goes on from rows that may be gone, and against
// remembered turns without a bound.
func TestRecentTurns(t *testing.T) {
	g := NewWithT(t)
	clock := timer.NewManual(time.Unix(0, 0))
	keeper := rowkeeper.New()
	l := ledger.New(keeper, timer.New(timer.WithManual(clock)), ledger.WithLimits(time.Hour, time.Hour))
	keep := func(turn, previous, text string) {
		g.Expect(l.Keep(context.Background(), ledger.Turn{Program: "a", Turn: ident.RequestID(turn), Previous: ident.RequestID(previous)}, []byte(text), nil)).To(Succeed())
	}
	calls := 0
	keeper.Inject(func(bool) rowkeeper.Fault { calls++; return nil })
	read := func(previous string) (string, int) {
		calls = 0
		history, err := l.History(context.Background(), ledger.Turn{Program: "a", Turn: "next", Previous: ident.RequestID(previous)})
		g.Expect(err).NotTo(HaveOccurred())
		return string(history), calls
	}
	keep("1", "", "one ")
	keep("2", "1", "two")
	history, n := read("2")
	g.Expect(history).To(Equal("one two"))
	g.Expect(n).To(BeZero())
	clock.Advance(6 * time.Minute)
	history, n = read("2")
	g.Expect(history).To(Equal("one two"))
	g.Expect(n).To(Equal(1))
	for i := range 2000 {
		keep(fmt.Sprint("other-", i), "", "x")
	}
	_, n = read("2")
	g.Expect(n).To(Equal(1))
	keep("long", "2", strings.Repeat("x", 20_000))
	_, n = read("long")
	g.Expect(n).To(Equal(1))
}

// partial is a store some of whose parts are out of service.
type partial struct {
	rows.Store
	down map[rows.Part]bool
}

func (p *partial) Commit(ctx context.Context, t rows.Transaction) (rows.Outcome, error) {
	for _, put := range t.Puts {
		if p.down[put.Part] {
			return nil, rows.ErrUnavailable
		}
	}
	return p.Store.Commit(ctx, t)
}

func (p *partial) Read(ctx context.Context, r rows.Range) (rows.Page, error) {
	if p.down[r.Part] {
		return rows.Page{}, rows.ErrUnavailable
	}
	return p.Store.Read(ctx, r)
}

// Guards against turns that can't be stored because a part of the store that has
// nothing of their program is out of service, and against a promise of not found
// while a part was not read.
func TestPartsOutOfService(t *testing.T) {
	g := NewWithT(t)
	store := &partial{Store: rowkeeper.New(), down: map[rows.Part]bool{"1": true}}
	vm := func() *ledger.Ledger {
		return ledger.New(store, timer.New(), ledger.WithLimits(300*time.Millisecond, 300*time.Millisecond))
	}
	g.Expect(vm().Keep(context.Background(), ledger.Turn{Program: "a", Turn: "1"}, []byte("first"), nil)).To(Succeed())
	next := ledger.Turn{Program: "b", Turn: "2", Previous: "1"}
	history, err := vm().History(context.Background(), next)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(history)).To(Equal("first"))
	store.down["1/1"] = true
	_, err = vm().History(context.Background(), next)
	g.Expect(failure.Is(err, failure.PlatformUnavailable)).To(BeTrue())
	store.down = nil
	stored, err := ledger.Stored(context.Background(), store, "a")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(stored).To(ContainElement(rows.ID{Table: "turn_programs", Part: "1/1", Key: "program"}))
}

// Guards against retained turns that run while they can't be stored: each was cut
// when it was complete, and a program failed after three of them.
func TestTurnWaitsForStore(t *testing.T) {
	g := NewWithT(t)
	keeper := rowkeeper.New()
	timers := timer.New()
	l := ledger.New(keeper, timers, ledger.WithLimits(100*time.Millisecond, 100*time.Millisecond))
	ctx := context.Background()
	g.Expect(l.Keep(ctx, ledger.Turn{Program: "p", Turn: "one"}, []byte("in"), []byte("out"))).To(Succeed())
	keeper.Inject(func(bool) rowkeeper.Fault { return rowkeeper.Refuse{} })
	g.Expect(l.Keep(ctx, ledger.Turn{Program: "p", Turn: "two", Previous: "one"}, nil, nil)).NotTo(Succeed())
	for _, next := range []ledger.Turn{{Program: "p", Turn: "three", Previous: "one"}, {Program: "q", Turn: "first"}} {
		_, err := l.History(ctx, next)
		g.Expect(failure.Is(err, failure.PlatformUnavailable)).To(BeTrue(), "%v", err)
		g.Expect(failure.From(err).NotRun).To(BeTrue())
	}
	keeper.Inject(func(bool) rowkeeper.Fault { return nil })
	history, err := l.History(ctx, ledger.Turn{Program: "p", Turn: "three", Previous: "one"})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(history)).To(Equal("inout"))
}
