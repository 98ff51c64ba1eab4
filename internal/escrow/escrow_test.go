package escrow_test

import (
	"context"
	"math"
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
func (s *interceptedStore) intercept(before func()) func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	unused := s.before
	s.before = before
	return unused
}

func (s *interceptedStore) Commit(ctx context.Context, t rows.Transaction) (rows.Outcome, error) {
	if before := s.intercept(nil); before != nil {
		before()
	}
	return s.Store.Commit(ctx, t)
}

// openTurn is a running turn.
type openTurn struct {
	vm    *escrow.Escrow
	grant escrow.Grant
}

// cluster has VMs that share a store, and counts the tokens that callers received.
type cluster struct {
	t         *rapid.T
	g         *WithT
	rowStore  *rowstore.Rowstore
	first     *interceptedStore
	vms       []*escrow.Escrow
	stop      []context.CancelFunc
	open      []openTurn
	received  unit.Tokens
	maxTokens unit.Tokens
}

func (c *cluster) startVM(store rows.Store) *escrow.Escrow {
	ctx, stop := context.WithCancel(context.Background())
	c.stop = append(c.stop, stop)
	return escrow.New(ctx, store, timer.New(), escrow.WithTimeout(90*time.Millisecond))
}

func newCluster(t *rapid.T) *cluster {
	c := &cluster{t: t, g: NewWithT(t), rowStore: rowstore.New()}
	c.first = &interceptedStore{Store: c.rowStore}
	c.vms = []*escrow.Escrow{c.startVM(c.first), c.startVM(c.rowStore)}
	return c
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

func (c *cluster) vm() *escrow.Escrow {
	return c.vms[rapid.IntRange(0, len(c.vms)-1).Draw(c.t, "vm")]
}

// request draws a turn of the program.
func (c *cluster) request() escrow.Request {
	return escrow.Request{Program: "program", Budget: budget, MaxTokens: unit.Tokens(rapid.IntRange(1, 50).Draw(c.t, "largest"))}
}

func (c *cluster) take(vm *escrow.Escrow) {
	grant, err := vm.Take(context.Background(), c.request())
	c.recordGrant(vm, grant, err)
}

// recordGrant records the result of Take.
func (c *cluster) recordGrant(vm *escrow.Escrow, grant escrow.Grant, err error) {
	if err != nil {
		c.g.Expect(failure.From(err).NotRun).To(BeTrue(), "a turn without a grant does not run")
		return
	}
	c.maxTokens = max(c.maxTokens, grant.MaxTokens)
	c.open = append(c.open, openTurn{vm: vm, grant: grant})
}

// race makes the second VM take a grant immediately before a transaction of the
// first one.
func (c *cluster) race() {
	request := c.request()
	type answer struct {
		grant escrow.Grant
		err   error
	}
	answers := make(chan answer, 1)
	c.first.intercept(func() {
		grant, err := c.vms[1].Take(context.Background(), request)
		answers <- answer{grant, err}
	})
	c.take(c.vms[0])
	if c.first.intercept(nil) == nil {
		a := <-answers
		c.recordGrant(c.vms[1], a.grant, a.err)
	}
}

func (c *cluster) finish() {
	if len(c.open) == 0 {
		return
	}
	i := rapid.IntRange(0, len(c.open)-1).Draw(c.t, "open")
	o := c.open[i]
	c.open = append(c.open[:i], c.open[i+1:]...)
	used := unit.Tokens(rapid.IntRange(0, int(o.grant.MaxTokens)).Draw(c.t, "used"))
	c.received += used
	o.vm.Return(o.grant, used)
}

// exhaust runs turns one at a time, settles after each, and stops at the first
// refusal.
func (c *cluster) exhaust() {
	vm := c.vm()
	c.rowStore.Inject(func(bool) rowstore.Fault { return nil })
	for range rapid.IntRange(1, 10).Draw(c.t, "turns") {
		before := len(c.open)
		c.take(vm)
		if len(c.open) == before {
			return
		}
		c.finish()
		vm.Flush(context.Background())
	}
}

// restart replaces a VM and loses its memory. The turns that it granted continue.
func (c *cluster) restart() {
	i := rapid.IntRange(0, len(c.vms)-1).Draw(c.t, "vm")
	c.stop[i]()
	store := rows.Store(c.rowStore)
	if i == 0 {
		store = c.first
	}
	c.vms[i] = c.startVM(store)
}

// Guards against VMs that together exceed a budget when they race or restart, or
// when calls of the store are refused, lose their response or are applied late.
func TestBudgetHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t)
		defer func() {
			for _, stop := range c.stop {
				stop()
			}
		}()
		t.Repeat(map[string]func(*rapid.T){
			"take": func(*rapid.T) {
				c.injectFaults()
				c.take(c.vm())
			},
			"spend":   func(*rapid.T) { c.exhaust() },
			"race":    func(*rapid.T) { c.race() },
			"finish":  func(*rapid.T) { c.finish() },
			"restart": func(*rapid.T) { c.restart() },
			"settle":  func(*rapid.T) { c.vm().Flush(context.Background()) },
			"late":    func(*rapid.T) { c.rowStore.ApplyHeldBack() },
			"": func(*rapid.T) {
				running := unit.Tokens(0)
				for _, o := range c.open {
					running += o.grant.MaxTokens
				}
				c.g.Expect(c.received + running).To(BeNumerically("<=", budget+c.maxTokens))
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

// TestOversizedTurn guards against a turn whose number of tokens overflows the sum with
// what its program has spent: it is refused late, as if the store were away, and the
// stored balance is wrong, so that other VMs grant the budget again.
func TestOversizedTurn(t *testing.T) {
	g := NewWithT(t)
	store := rowstore.New()
	take := func(vm *escrow.Escrow, tokens unit.Tokens) error {
		_, err := vm.Take(t.Context(), escrow.Request{Program: "program", Budget: budget, MaxTokens: tokens})
		return err
	}
	vm, other := escrow.New(t.Context(), store, timer.New()), escrow.New(t.Context(), store, timer.New())
	g.Expect(take(vm, budget/2)).To(Succeed())
	oversized := take(vm, math.MaxInt64)
	g.Expect(take(other, budget/4)).To(Succeed())
	g.Expect(failure.Is(take(other, budget), failure.BudgetExhausted)).To(BeTrue())
	g.Expect(failure.Is(oversized, failure.BudgetExhausted)).To(BeTrue(), "%v", oversized)
}
