package escrow_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/sassafrasspur/sassafrasspur/internal/escrow"
	"github.com/sassafrasspur/sassafrasspur/internal/failure"
	"github.com/sassafrasspur/sassafrasspur/internal/rows"
	"github.com/sassafrasspur/sassafrasspur/internal/standin/rowkeeper"
	"github.com/sassafrasspur/sassafrasspur/internal/timer"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

const budget unit.Tokens = 160

// hooked is a store that does something between the reads and the next
// transaction of one VM.
type hooked struct {
	rows.Store
	mu     sync.Mutex
	before func()
}

// set sets what the next transaction waits for, and returns what was not run.
func (h *hooked) set(before func()) func() {
	h.mu.Lock()
	defer h.mu.Unlock()
	unused := h.before
	h.before = before
	return unused
}

func (h *hooked) Commit(ctx context.Context, t rows.Transaction) (rows.Outcome, error) {
	if before := h.set(nil); before != nil {
		before()
	}
	return h.Store.Commit(ctx, t)
}

// open is a turn that runs.
type open struct {
	vm    *escrow.Escrow
	grant escrow.Grant
}

// world has VMs on one store, and an oracle of what callers received.
type world struct {
	t       *rapid.T
	g       *WithT
	keeper  *rowkeeper.Rowkeeper
	first   *hooked
	vms     []*escrow.Escrow
	stop    []context.CancelFunc
	open    []open
	handed  unit.Tokens
	largest unit.Tokens
}

func (w *world) start(store rows.Store) *escrow.Escrow {
	ctx, stop := context.WithCancel(context.Background())
	w.stop = append(w.stop, stop)
	return escrow.New(ctx, store, timer.New(), escrow.WithLimit(90*time.Millisecond))
}

func newWorld(t *rapid.T) *world {
	w := &world{t: t, g: NewWithT(t), keeper: rowkeeper.New()}
	w.first = &hooked{Store: w.keeper}
	w.vms = []*escrow.Escrow{w.start(w.first), w.start(w.keeper)}
	return w
}

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

func (w *world) vm() *escrow.Escrow {
	return w.vms[rapid.IntRange(0, len(w.vms)-1).Draw(w.t, "vm")]
}

// request draws a turn of the program.
func (w *world) request() escrow.Request {
	return escrow.Request{Program: "program", Budget: budget, Largest: unit.Tokens(rapid.IntRange(1, 50).Draw(w.t, "largest"))}
}

func (w *world) take(vm *escrow.Escrow) {
	grant, err := vm.Take(context.Background(), w.request())
	w.taken(vm, grant, err)
}

// taken notes the answer to a turn.
func (w *world) taken(vm *escrow.Escrow, grant escrow.Grant, err error) {
	if err != nil {
		w.g.Expect(failure.From(err).NotRun).To(BeTrue(), "a turn without a grant does not run")
		return
	}
	w.largest = max(w.largest, grant.Largest)
	w.open = append(w.open, open{vm: vm, grant: grant})
}

// race lets the second VM take between the reads and the transaction of the
// first.
func (w *world) race() {
	request := w.request()
	type answer struct {
		grant escrow.Grant
		err   error
	}
	answers := make(chan answer, 1)
	w.first.set(func() {
		grant, err := w.vms[1].Take(context.Background(), request)
		answers <- answer{grant, err}
	})
	w.take(w.vms[0])
	if w.first.set(nil) == nil {
		a := <-answers
		w.taken(w.vms[1], a.grant, a.err)
	}
}

func (w *world) finish() {
	if len(w.open) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.open)-1).Draw(w.t, "open")
	o := w.open[i]
	w.open = append(w.open[:i], w.open[i+1:]...)
	used := unit.Tokens(rapid.IntRange(0, int(o.grant.Largest)).Draw(w.t, "used"))
	w.handed += used
	o.vm.Return(o.grant, used)
}

// spend runs turns one after the other until the budget refuses one, with a
// settlement after each.
func (w *world) spend() {
	vm := w.vm()
	w.keeper.Inject(func(bool) rowkeeper.Fault { return nil })
	for range rapid.IntRange(1, 10).Draw(w.t, "turns") {
		before := len(w.open)
		w.take(vm)
		if len(w.open) == before {
			return
		}
		w.finish()
		vm.Flush(context.Background())
	}
}

// restart replaces a VM whose memory is lost. Turns that it granted go on.
func (w *world) restart() {
	i := rapid.IntRange(0, len(w.vms)-1).Draw(w.t, "vm")
	w.stop[i]()
	store := rows.Store(w.keeper)
	if i == 0 {
		store = w.first
	}
	w.vms[i] = w.start(store)
}

// Guards against a budget that VMs overspend together when they race, stop and
// start again, or when answers of the store are refused, lost or take effect
// late.
func TestBudgetHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		defer func() {
			for _, stop := range w.stop {
				stop()
			}
		}()
		t.Repeat(map[string]func(*rapid.T){
			"take": func(*rapid.T) {
				w.faults()
				w.take(w.vm())
			},
			"spend":   func(*rapid.T) { w.spend() },
			"race":    func(*rapid.T) { w.race() },
			"finish":  func(*rapid.T) { w.finish() },
			"restart": func(*rapid.T) { w.restart() },
			"settle":  func(*rapid.T) { w.vm().Flush(context.Background()) },
			"late":    func(*rapid.T) { w.keeper.Settle() },
			"": func(*rapid.T) {
				running := unit.Tokens(0)
				for _, o := range w.open {
					running += o.grant.Largest
				}
				w.g.Expect(w.handed + running).To(BeNumerically("<=", budget+w.largest))
			},
		})
	})
}

// Guards against a budget that stays spent although its turns used little of it,
// also if the answer to the settlement is lost, and against a program that is
// told that its budget is spent while another VM holds a part of it.
func TestSettledPartsAreFree(t *testing.T) {
	g := NewWithT(t)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	keeper := rowkeeper.New()
	a, b := escrow.New(ctx, keeper, timer.New()), escrow.New(ctx, keeper, timer.New())
	r := escrow.Request{Program: "program", Budget: 100, Largest: 60}
	grant, err := a.Take(ctx, r)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = b.Take(ctx, r)
	g.Expect(failure.Is(err, failure.Overloaded)).To(BeTrue())
	g.Expect(failure.From(err).NotRun).To(BeTrue())
	a.Return(grant, 10)
	lost := false
	keeper.Inject(func(write bool) rowkeeper.Fault {
		if write && !lost {
			lost = true
			return rowkeeper.LoseAnswer{}
		}
		return nil
	})
	a.Flush(ctx)
	_, err = b.Take(ctx, r)
	g.Expect(err).NotTo(HaveOccurred())
}

// Guards against a turn that is refused because another turn of the program, for
// which the store was asked, is given up.
func TestCallerLeaves(t *testing.T) {
	g := NewWithT(t)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	keeper := rowkeeper.New()
	e := escrow.New(ctx, keeper, timer.New())
	r := escrow.Request{Program: "program", Budget: 1000, Largest: 10}
	first, leave := context.WithCancel(ctx)
	refused := make(chan struct{})
	tries := 0
	keeper.Inject(func(bool) rowkeeper.Fault {
		if tries++; tries == 1 {
			close(refused)
			return rowkeeper.Refuse{}
		}
		return nil
	})
	go func() {
		_, err := e.Take(first, r)
		if err == nil {
			t.Error("a turn that was given up has a grant")
		}
	}()
	<-refused
	leave()
	_, err := e.Take(ctx, r)
	g.Expect(err).NotTo(HaveOccurred())
}

// Guards against a program whose budget is spent and that is told to come again.
func TestSpentBudget(t *testing.T) {
	g := NewWithT(t)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	keeper := rowkeeper.New()
	a, b := escrow.New(ctx, keeper, timer.New()), escrow.New(ctx, keeper, timer.New())
	r := escrow.Request{Program: "program", Budget: 100, Largest: 60}
	grant, err := a.Take(ctx, r)
	g.Expect(err).NotTo(HaveOccurred())
	a.Return(grant, 50)
	a.Flush(ctx)
	for _, vm := range []*escrow.Escrow{a, b} {
		_, err = vm.Take(ctx, r)
		g.Expect(failure.Is(err, failure.BudgetExhausted)).To(BeTrue())
	}
}

// counted is a store that counts its calls.
type counted struct {
	rows.Store
	calls atomic.Int64
}

func (c *counted) Commit(ctx context.Context, t rows.Transaction) (rows.Outcome, error) {
	c.calls.Add(1)
	return c.Store.Commit(ctx, t)
}

func (c *counted) Read(ctx context.Context, r rows.Range) (rows.Page, error) {
	c.calls.Add(1)
	return c.Store.Read(ctx, r)
}

// Guards against a call of the store for each turn of a program that loops on a
// spent budget, and against a refusal for good while a part of another VM may come
// back.
func TestSpentForGood(t *testing.T) {
	g := NewWithT(t)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	keeper := rowkeeper.New()
	store := &counted{Store: keeper}
	a, b := escrow.New(ctx, keeper, timer.New()), escrow.New(ctx, store, timer.New())
	r := escrow.Request{Program: "program", Budget: 100, Largest: 60}
	grant, err := a.Take(ctx, r)
	g.Expect(err).NotTo(HaveOccurred())
	for range 2 {
		_, err = b.Take(ctx, r)
		g.Expect(failure.Is(err, failure.Overloaded)).To(BeTrue(), "%v", err)
	}
	a.Return(grant, 50)
	a.Flush(ctx)
	_, err = b.Take(ctx, r)
	g.Expect(failure.Is(err, failure.BudgetExhausted)).To(BeTrue(), "%v", err)
	known := store.calls.Load()
	for range 10 {
		_, err = b.Take(ctx, r)
		g.Expect(failure.Is(err, failure.BudgetExhausted)).To(BeTrue(), "%v", err)
	}
	g.Expect(store.calls.Load()).To(Equal(known))
	_, err = b.Take(ctx, escrow.Request{Program: "program", Budget: 100, Largest: 50})
	g.Expect(err).NotTo(HaveOccurred(), "a smaller turn fits")
}

// Guards against a transaction for each turn: 600 turns a second share 1,200
// writes a second with their storage, so that half a write is left for the
// budget of a turn.
func TestTurnsShareAPart(t *testing.T) {
	g := NewWithT(t)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	keeper := rowkeeper.New()
	e := escrow.New(ctx, keeper, timer.New())
	const turns = 8
	for range turns {
		grant, err := e.Take(ctx, escrow.Request{Program: "program", Budget: 1700, Largest: 136})
		g.Expect(err).NotTo(HaveOccurred())
		e.Return(grant, 34)
	}
	commits, reads := keeper.Calls()
	g.Expect(commits).To(BeNumerically("<=", turns/2))
	g.Expect(reads).To(Equal(0))
}
