package ledger_test

import (
	"context"
	"fmt"
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
	"github.com/sassafrasspur/sassafrasspur/unit"
)

// hooked is a store that does something between the reads and the next
// transaction of one VM.
type hooked struct {
	rows.Store
	before func()
}

func (h *hooked) Commit(ctx context.Context, t rows.Transaction) (rows.Outcome, error) {
	if before := h.before; before != nil {
		h.before = nil
		before()
	}
	return h.Store.Commit(ctx, t)
}

// world has two VMs on one store, and an oracle of what callers received.
type world struct {
	t      *rapid.T
	g      *WithT
	keeper *rowkeeper.Rowkeeper
	// first is the store as the first VM sees it.
	first *hooked
	vms   []*ledger.Ledger
	stop  context.CancelFunc

	budget  unit.Tokens
	next    int
	open    []*ledger.Reservation
	kept    map[ident.RequestID]string
	handed  unit.Tokens
	largest unit.Tokens
}

func newWorld(t *rapid.T) *world {
	ctx, stop := context.WithCancel(context.Background())
	w := &world{
		t: t, g: NewWithT(t), keeper: rowkeeper.New(), stop: stop,
		budget: unit.Tokens(rapid.IntRange(50, 300).Draw(t, "budget")), kept: map[ident.RequestID]string{},
	}
	w.first = &hooked{Store: w.keeper}
	for _, store := range []rows.Store{w.first, w.keeper} {
		w.vms = append(w.vms, ledger.New(ctx, store, timer.New(), ledger.WithLimits(80*time.Millisecond, 80*time.Millisecond)))
	}
	return w
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

func (w *world) vm() *ledger.Ledger {
	return w.vms[rapid.IntRange(0, len(w.vms)-1).Draw(w.t, "vm")]
}

func (w *world) reserve() { w.reserveAt(w.vm()) }

// race lets the second VM reserve between the reads and the transaction of the
// first.
func (w *world) race() {
	w.first.before = func() { w.reserveAt(w.vms[1]) }
	w.reserveAt(w.vms[0])
	w.first.before = nil
}

func (w *world) reserveAt(vm *ledger.Ledger) {
	w.next++
	turn := ledger.Turn{
		Program: "program", Turn: ident.RequestID(fmt.Sprint("turn-", w.next)), Budget: w.budget,
		Largest: unit.Tokens(rapid.IntRange(1, 60).Draw(w.t, "largest")), Retained: true,
	}
	if len(w.kept) > 0 && rapid.Bool().Draw(w.t, "continues") {
		turn.Previous = rapid.SampledFrom(keys(w.kept)).Draw(w.t, "previous")
	}
	w.faults()
	r, err := vm.Reserve(context.Background(), turn)
	if err != nil {
		w.g.Expect(failure.From(err).NotRun).To(BeTrue(), "a turn that was not reserved did not run")
		w.g.Expect(failure.Is(err, failure.NotFound)).To(BeFalse(), "a kept turn is never said to be missing")
		return
	}
	w.g.Expect(string(r.History)).To(Equal(w.kept[turn.Previous]))
	w.largest = max(w.largest, turn.Largest)
	w.open = append(w.open, r)
}

// finish ends an open turn: it is kept, settled, or its VM stops.
func (w *world) finish() {
	if len(w.open) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.open)-1).Draw(w.t, "open")
	r := w.open[i]
	w.open = append(w.open[:i], w.open[i+1:]...)
	used := unit.Tokens(rapid.IntRange(0, int(r.Turn.Largest)).Draw(w.t, "used"))
	w.handed += used
	switch rapid.SampledFrom([]string{"keep", "settle", "stop"}).Draw(w.t, "end") {
	case "keep":
		w.faults()
		input, output := fmt.Sprintf("<in %s>", r.Turn.Turn), fmt.Sprintf("<out %s>", r.Turn.Turn)
		if w.vm().Keep(context.Background(), r, []byte(input), []byte(output), used) == nil {
			w.kept[r.Turn.Turn] = string(r.History) + input + output
		}
	case "settle":
		w.keeper.Inject(func(bool) rowkeeper.Fault { return nil })
		w.vm().Settle(r, used)
	}
}

func keys(m map[ident.RequestID]string) []ident.RequestID {
	var all []ident.RequestID
	for i := 1; i <= 1000; i++ {
		if id := ident.RequestID(fmt.Sprint("turn-", i)); m[id] != "" {
			all = append(all, id)
		}
	}
	return all
}

// Guards against a budget that two VMs overspend, a history that misses or
// mixes turns, and a kept turn that is said to be missing, when answers of the
// store are refused, lost or take effect late.
func TestBudgetAndHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		defer w.stop()
		t.Repeat(map[string]func(*rapid.T){
			"reserve": func(*rapid.T) { w.reserve() },
			"race":    func(*rapid.T) { w.race() },
			"finish":  func(*rapid.T) { w.finish() },
			"late":    func(*rapid.T) { w.keeper.Settle() },
			"": func(*rapid.T) {
				open := unit.Tokens(0)
				for _, r := range w.open {
					open += r.Turn.Largest
				}
				w.g.Expect(w.handed + open).To(BeNumerically("<=", w.budget+w.largest))
			},
		})
	})
}

func reserve(g *WithT, l *ledger.Ledger, turn ledger.Turn) *ledger.Reservation {
	r, err := l.Reserve(context.Background(), turn)
	g.Expect(err).NotTo(HaveOccurred())
	return r
}

// Guards against a chain that ends at the border of its program: a new program
// may go on from a turn of an earlier one.
func TestHistoryOfAnotherProgram(t *testing.T) {
	g := NewWithT(t)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	l := ledger.New(ctx, rowkeeper.New(), timer.New())
	first := reserve(g, l, ledger.Turn{Program: "a", Turn: "1", Budget: 100, Largest: 10, Retained: true})
	g.Expect(l.Keep(ctx, first, []byte("one."), []byte("two."), 4)).To(Succeed())
	second := reserve(g, l, ledger.Turn{Program: "b", Turn: "2", Previous: "1", Budget: 100, Largest: 10, Retained: true})
	g.Expect(string(second.History)).To(Equal("one.two."))
	g.Expect(l.Keep(ctx, second, []byte("three."), nil, 4)).To(Succeed())
	third := reserve(g, l, ledger.Turn{Program: "c", Turn: "3", Previous: "2", Budget: 100, Largest: 10, Retained: true})
	g.Expect(string(third.History)).To(Equal("one.two.three."))
}

// Guards against texts that do not fit into one row of the store.
func TestLongTurn(t *testing.T) {
	g := NewWithT(t)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	l := ledger.New(ctx, rowkeeper.New(), timer.New())
	long := make([]byte, 150_000)
	for i := range long {
		long[i] = byte('a' + i%26)
	}
	first := reserve(g, l, ledger.Turn{Program: "a", Turn: "1", Budget: 100, Largest: 10, Retained: true})
	g.Expect(l.Keep(ctx, first, long, []byte("end"), 4)).To(Succeed())
	second := reserve(g, l, ledger.Turn{Program: "a", Turn: "2", Previous: "1", Budget: 100, Largest: 10, Retained: true})
	g.Expect(string(second.History)).To(Equal(string(long) + "end"))
}

// Guards against a refusal of a turn that never existed as if it might, and of
// one that is not yet whole as if it never had been.
func TestMissingTurn(t *testing.T) {
	g := NewWithT(t)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	l := ledger.New(ctx, rowkeeper.New(), timer.New())
	_, err := l.Reserve(ctx, ledger.Turn{Program: "a", Turn: "2", Previous: "1", Budget: 100, Largest: 10, Retained: true})
	g.Expect(failure.Is(err, failure.NotFound)).To(BeTrue())
	reserve(g, l, ledger.Turn{Program: "a", Turn: "1", Budget: 100, Largest: 10, Retained: true})
	_, err = l.Reserve(ctx, ledger.Turn{Program: "a", Turn: "2", Previous: "1", Budget: 100, Largest: 10, Retained: true})
	g.Expect(failure.Is(err, failure.NotDurable)).To(BeTrue())
}

// Guards against settlements that are lost when another row of their batch was
// settled by an earlier try.
func TestSettlementFreesBudget(t *testing.T) {
	g := NewWithT(t)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	keeper := rowkeeper.New()
	l := ledger.New(ctx, keeper, timer.New())
	a := reserve(g, l, ledger.Turn{Program: "a", Turn: "1", Budget: 100, Largest: 60})
	lost := true
	keeper.Inject(func(write bool) rowkeeper.Fault {
		if write && lost {
			lost = false
			return rowkeeper.LoseAnswer{}
		}
		return nil
	})
	l.Settle(a, 10)
	g.Eventually(func() error {
		_, err := l.Reserve(ctx, ledger.Turn{Program: "a", Turn: "2", Budget: 100, Largest: 60})
		return err
	}, 3*time.Second, 50*time.Millisecond).Should(Succeed())
}

var _ rows.Store = (*rowkeeper.Rowkeeper)(nil)
