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
	"github.com/sassafrasspur/sassafrasspur/internal/standin/rowstore"
	"github.com/sassafrasspur/sassafrasspur/internal/timer"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

const budget unit.Tokens = 160

// interceptedStore runs a function before the next transaction of one VM.
type interceptedStore struct {
	rows.Store
	mu     sync.Mutex
	before func()
}

// intercept sets the function to run before the next transaction, and returns the
// previous one if it did not run.
func (h *interceptedStore) intercept(before func()) func() {
	h.mu.Lock()
	defer h.mu.Unlock()
	unused := h.before
	h.before = before
	return unused
}

func (h *interceptedStore) Commit(ctx context.Context, t rows.Transaction) (rows.Outcome, error) {
	if before := h.intercept(nil); before != nil {
		before()
	}
	return h.Store.Commit(ctx, t)
}

// openTurn is a running turn.
type openTurn struct {
	vm    *escrow.Escrow
	grant escrow.Grant
}

// cluster has VMs that share a store, and counts the tokens that callers received.
type cluster struct {
	t        *rapid.T
	g        *WithT
	rowStore *rowstore.Rowstore
	first    *interceptedStore
	vms      []*escrow.Escrow
	stop     []context.CancelFunc
	open     []openTurn
	received unit.Tokens
	largest  unit.Tokens
}

func (w *cluster) startVM(store rows.Store) *escrow.Escrow {
	ctx, stop := context.WithCancel(context.Background())
	w.stop = append(w.stop, stop)
	return escrow.New(ctx, store, timer.New(), escrow.WithTimeout(90*time.Millisecond))
}

func newCluster(t *rapid.T) *cluster {
	w := &cluster{t: t, g: NewWithT(t), rowStore: rowstore.New()}
	w.first = &interceptedStore{Store: w.rowStore}
	w.vms = []*escrow.Escrow{w.startVM(w.first), w.startVM(w.rowStore)}
	return w
}

// injectFaults makes up to two of the next calls of the store fail.
func (w *cluster) injectFaults() {
	left := rapid.IntRange(0, 2).Draw(w.t, "faulty calls")
	fault := rapid.SampledFrom([]rowstore.Fault{rowstore.Refuse{}, rowstore.LoseAnswer{}, rowstore.ApplyLate{}}).Draw(w.t, "fault")
	w.rowStore.Inject(func(bool) rowstore.Fault {
		if left == 0 {
			return nil
		}
		left--
		return fault
	})
}

func (w *cluster) vm() *escrow.Escrow {
	return w.vms[rapid.IntRange(0, len(w.vms)-1).Draw(w.t, "vm")]
}

// request draws a turn of the program.
func (w *cluster) request() escrow.Request {
	return escrow.Request{Program: "program", Budget: budget, MaxTokens: unit.Tokens(rapid.IntRange(1, 50).Draw(w.t, "largest"))}
}

func (w *cluster) take(vm *escrow.Escrow) {
	grant, err := vm.Take(context.Background(), w.request())
	w.recordGrant(vm, grant, err)
}

// recordGrant records the result of Take.
func (w *cluster) recordGrant(vm *escrow.Escrow, grant escrow.Grant, err error) {
	if err != nil {
		w.g.Expect(failure.From(err).NotRun).To(BeTrue(), "a turn without a grant does not run")
		return
	}
	w.largest = max(w.largest, grant.MaxTokens)
	w.open = append(w.open, openTurn{vm: vm, grant: grant})
}

// race makes the second VM take a grant immediately before a transaction of the
// first one.
func (w *cluster) race() {
	request := w.request()
	type answer struct {
		grant escrow.Grant
		err   error
	}
	answers := make(chan answer, 1)
	w.first.intercept(func() {
		grant, err := w.vms[1].Take(context.Background(), request)
		answers <- answer{grant, err}
	})
	w.take(w.vms[0])
	if w.first.intercept(nil) == nil {
		a := <-answers
		w.recordGrant(w.vms[1], a.grant, a.err)
	}
}

func (w *cluster) finish() {
	if len(w.open) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.open)-1).Draw(w.t, "open")
	o := w.open[i]
	w.open = append(w.open[:i], w.open[i+1:]...)
	used := unit.Tokens(rapid.IntRange(0, int(o.grant.MaxTokens)).Draw(w.t, "used"))
	w.received += used
	o.vm.Return(o.grant, used)
}

// exhaust runs turns one at a time, settles after each, and stops at the first
// refusal.
func (w *cluster) exhaust() {
	vm := w.vm()
	w.rowStore.Inject(func(bool) rowstore.Fault { return nil })
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

// restart replaces a VM and loses its memory. The turns that it granted continue.
func (w *cluster) restart() {
	i := rapid.IntRange(0, len(w.vms)-1).Draw(w.t, "vm")
	w.stop[i]()
	store := rows.Store(w.rowStore)
	if i == 0 {
		store = w.first
	}
	w.vms[i] = w.startVM(store)
}

// Guards against VMs that together exceed a budget when they race or restart, or
// when calls of the store are refused, lose their response or are applied late.
func TestBudgetHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newCluster(t)
		defer func() {
			for _, stop := range w.stop {
				stop()
			}
		}()
		t.Repeat(map[string]func(*rapid.T){
			"take": func(*rapid.T) {
				w.injectFaults()
				w.take(w.vm())
			},
			"spend":   func(*rapid.T) { w.exhaust() },
			"race":    func(*rapid.T) { w.race() },
			"finish":  func(*rapid.T) { w.finish() },
			"restart": func(*rapid.T) { w.restart() },
			"settle":  func(*rapid.T) { w.vm().Flush(context.Background()) },
			"late":    func(*rapid.T) { w.rowStore.Settle() },
			"": func(*rapid.T) {
				running := unit.Tokens(0)
				for _, o := range w.open {
					running += o.grant.MaxTokens
				}
				w.g.Expect(w.received + running).To(BeNumerically("<=", budget+w.largest))
			},
		})
	})
}

// Guards against a budget that remains spent although its turns used few tokens,
// even if the response to the settlement is lost, and against reporting a budget
// as exhausted while another VM has an open reservation.
func TestSettledReservationsAreFree(t *testing.T) {
	g := NewWithT(t)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	rowStore := rowstore.New()
	a, b := escrow.New(ctx, rowStore, timer.New()), escrow.New(ctx, rowStore, timer.New())
	r := escrow.Request{Program: "program", Budget: 100, MaxTokens: 60}
	grant, err := a.Take(ctx, r)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = b.Take(ctx, r)
	g.Expect(failure.Is(err, failure.Overloaded)).To(BeTrue())
	g.Expect(failure.From(err).NotRun).To(BeTrue())
	a.Return(grant, 10)
	lost := false
	rowStore.Inject(func(write bool) rowstore.Fault {
		if write && !lost {
			lost = true
			return rowstore.LoseAnswer{}
		}
		return nil
	})
	a.Flush(ctx)
	_, err = b.Take(ctx, r)
	g.Expect(err).NotTo(HaveOccurred())
}

// Guards against refusing a turn because the turn that started the shared fetch
// was cancelled.
func TestCallerLeaves(t *testing.T) {
	g := NewWithT(t)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	rowStore := rowstore.New()
	e := escrow.New(ctx, rowStore, timer.New())
	r := escrow.Request{Program: "program", Budget: 1000, MaxTokens: 10}
	first, leave := context.WithCancel(ctx)
	refused := make(chan struct{})
	tries := 0
	rowStore.Inject(func(bool) rowstore.Fault {
		if tries++; tries == 1 {
			close(refused)
			return rowstore.Refuse{}
		}
		return nil
	})
	go func() {
		_, err := e.Take(first, r)
		if err == nil {
			t.Error("a cancelled turn got a grant")
		}
	}()
	<-refused
	leave()
	_, err := e.Take(ctx, r)
	g.Expect(err).NotTo(HaveOccurred())
}

// Guards against telling a program with an exhausted budget to retry.
func TestSpentBudget(t *testing.T) {
	g := NewWithT(t)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	rowStore := rowstore.New()
	a, b := escrow.New(ctx, rowStore, timer.New()), escrow.New(ctx, rowStore, timer.New())
	r := escrow.Request{Program: "program", Budget: 100, MaxTokens: 60}
	grant, err := a.Take(ctx, r)
	g.Expect(err).NotTo(HaveOccurred())
	a.Return(grant, 50)
	a.Flush(ctx)
	for _, vm := range []*escrow.Escrow{a, b} {
		_, err = vm.Take(ctx, r)
		g.Expect(failure.Is(err, failure.BudgetExhausted)).To(BeTrue())
	}
}

// countingStore counts the calls of a store.
type countingStore struct {
	rows.Store
	calls atomic.Int64
}

func (c *countingStore) Commit(ctx context.Context, t rows.Transaction) (rows.Outcome, error) {
	c.calls.Add(1)
	return c.Store.Commit(ctx, t)
}

func (c *countingStore) Read(ctx context.Context, r rows.Range) (rows.Page, error) {
	c.calls.Add(1)
	return c.Store.Read(ctx, r)
}

// Guards against a call of the store for each turn of a program that loops on an
// exhausted budget, and against reporting the budget as exhausted while another
// VM may still return tokens.
func TestSpentForGood(t *testing.T) {
	g := NewWithT(t)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	rowStore := rowstore.New()
	store := &countingStore{Store: rowStore}
	a, b := escrow.New(ctx, rowStore, timer.New()), escrow.New(ctx, store, timer.New())
	r := escrow.Request{Program: "program", Budget: 100, MaxTokens: 60}
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
	_, err = b.Take(ctx, escrow.Request{Program: "program", Budget: 100, MaxTokens: 50})
	g.Expect(err).NotTo(HaveOccurred(), "a smaller turn fits")
}

// Guards against a transaction for each turn. 600 turns/s and their storage share
// 1,200 writes/s, which leaves half a write per turn for its budget.
func TestTurnsShareReservation(t *testing.T) {
	g := NewWithT(t)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	rowStore := rowstore.New()
	e := escrow.New(ctx, rowStore, timer.New())
	const turns = 8
	for range turns {
		grant, err := e.Take(ctx, escrow.Request{Program: "program", Budget: 1700, MaxTokens: 136})
		g.Expect(err).NotTo(HaveOccurred())
		e.Return(grant, 34)
	}
	commits, reads := rowStore.Calls()
	g.Expect(commits).To(BeNumerically("<=", turns/2))
	g.Expect(reads).To(Equal(0))
}
