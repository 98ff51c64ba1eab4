package programtest

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/bookkeeper"
	"github.com/sassafrasspur/sassafrasspur/internal/failure"
	"github.com/sassafrasspur/sassafrasspur/internal/outcome"
	"github.com/sassafrasspur/sassafrasspur/internal/record"
	"github.com/sassafrasspur/sassafrasspur/internal/sequencer"
	"github.com/sassafrasspur/sassafrasspur/internal/standin/rowkeeper"
	"github.com/sassafrasspur/sassafrasspur/internal/timer"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

const (
	budgetCalls = unit.Calls(9)
	// budgetTokens is more than the calls of any test use.
	budgetTokens = unit.Tokens(1_000_000)
	// looks bounds how often a request looks at a call that another VM runs.
	looks = 6
)

// errWaits is the outcome of a request that waits for a call under way.
var errWaits = errors.New("waits for a call under way")

// stage is how far a worker has brought its call.
type stage string

const (
	started    stage = "is started"
	intended   stage = "has its intent"
	dispatched stage = "waits for the upstream"
)

// vm is one process of an entry VM.
type vm struct {
	holder     record.Holder
	bookkeeper *bookkeeper.Bookkeeper
	// frozen processes do nothing; gone ones never will again.
	frozen, gone bool
	// missed is true if the others take a frozen process for gone.
	missed bool
	// unsettled is the background work.
	unsettled []sequencer.Request
}

// worker is the traffic goroutine of one call on one VM.
type worker struct {
	vm     *vm
	client *client
	call   call
	run    outcome.Run
	stage  stage
	engine ident.UpstreamID
}

// call is what a client sends.
type call struct {
	id       ident.CallID
	position ident.Position
	once     bool
	engine   bool
	sent     bool
	body     uint64
}

// client runs the calls of one program one after the other.
type client struct {
	program ident.ProgramID
	next    ident.Position
	current *call
	stopped bool
}

// world is a store, VMs, clients and the oracle.
type world struct {
	keeper    *rowkeeper.Rowkeeper
	timers    *timer.Service
	clock     *timer.Manual
	vms       []*vm
	processes int
	clients   []*client
	workers   []*worker
	oracle    *oracle
	calls     int
	budget    unit.Calls
	budgets   map[ident.ProgramID]unit.Calls
	// residents is the memory of engines.
	residents map[ident.UpstreamID]map[ident.ProgramID]bool
	// outage, lose and late are the faults of the store.
	outage     bool
	lose, late int
	// cancel ends the request that is being decided, after some looks.
	cancel context.CancelFunc
	looked int
}

func newWorld(o *oracle) *world {
	clock := timer.NewAutoAdvancing(time.Unix(1e9, 0))
	timers := timer.New(timer.WithManual(clock))
	w := &world{
		keeper: rowkeeper.New(rowkeeper.WithTimers(timers)), timers: timers, clock: clock, oracle: o,
		budget: budgetCalls, budgets: map[ident.ProgramID]unit.Calls{},
		residents: map[ident.UpstreamID]map[ident.ProgramID]bool{"e0": {}, "e1": {}},
	}
	w.keeper.Inject(w.fault)
	return w
}

func (w *world) fault(write bool) rowkeeper.Fault {
	switch {
	case w.outage:
		return rowkeeper.Refuse{}
	case write && w.lose > 0:
		w.lose--
		return rowkeeper.LoseAnswer{}
	case write && w.late > 0:
		w.late--
		return rowkeeper.ApplyLate{}
	}
	return nil
}

// start starts a process of a VM.
func (w *world) start(id ident.VMID) *vm {
	w.processes++
	v := &vm{holder: record.Holder{VM: id, Process: ident.ProcessID(fmt.Sprint(w.processes))}}
	v.bookkeeper = bookkeeper.New(context.Background(), w.keeper, w.timers, sequencer.New(v.holder, w.runs),
		bookkeeper.WithSettle(func(r sequencer.Request) { v.unsettled = append(v.unsettled, r) }))
	w.vms = append(w.vms, v)
	return v
}

// runs reports whether a process runs, as far as the others know. It ends the
// request that looks too often.
func (w *world) runs(h record.Holder) bool {
	if w.looked++; w.looked > looks && w.cancel != nil {
		w.cancel()
	}
	return slices.ContainsFunc(w.vms, func(v *vm) bool { return v.holder == h && !v.gone && !v.missed })
}

// do lets a VM decide a request.
func (w *world) do(v *vm, r sequencer.Request) (outcome.Outcome, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	w.cancel, w.looked = cancel, 0
	o, err := v.bookkeeper.Do(ctx, r)
	if errors.Is(err, context.Canceled) {
		return nil, errWaits
	}
	return o, err
}

// kill ends a process at once.
func (w *world) kill(v *vm) {
	v.gone = true
	w.workers = slices.DeleteFunc(w.workers, func(k *worker) bool { return k.vm == v })
}

// restart replaces a process.
func (w *world) restart(v *vm) {
	w.kill(v)
	w.vms = slices.DeleteFunc(w.vms, func(other *vm) bool { return other == v })
	w.start(v.holder.VM)
}

// background runs the background work of a VM once.
func (w *world) background(v *vm) {
	if v.frozen || v.gone {
		return
	}
	work := v.unsettled
	v.unsettled = nil
	for _, r := range work {
		if _, err := w.do(v, r); failure.Is(err, failure.PlatformUnavailable) {
			v.unsettled = append(v.unsettled, r)
		}
	}
}

// ask lets any VM decide a request until one does.
func (w *world) ask(r sequencer.Request) outcome.Outcome {
	for range 20 {
		for _, v := range w.vms {
			if v.frozen || v.gone {
				continue
			}
			if o, err := w.do(v, r); err == nil {
				return o
			}
		}
	}
	return nil
}

// open opens a program with a sub-agent.
func (w *world) open(root ident.ProgramID) {
	w.budgets[root] = w.budget
	w.ask(sequencer.Open{Program: root, Team: "team", Budget: record.Budget{Calls: w.budget, Tokens: budgetTokens}})
	w.ask(sequencer.OpenChild{Parent: root, Child: root.Child(1), Team: "team"})
	w.clients = append(w.clients, &client{program: root, next: 1}, &client{program: root.Child(1), next: 1})
}

// send lets a client send its current call, or a new one, to a VM.
func (w *world) send(c *client, v *vm, once, engine bool) {
	if c.stopped || v.frozen || v.gone {
		return
	}
	if c.current == nil {
		w.calls++
		c.current = &call{id: ident.CallID(fmt.Sprintf("c%d", w.calls)), position: c.next, once: once, engine: engine && !once}
		w.oracle.once[c.current.id] = once
	}
	first := !c.current.sent
	c.current.sent = true
	w.post(c, v, *c.current, first)
}

// post sends a call to a VM.
func (w *world) post(c *client, v *vm, sent call, first bool) {
	w.oracle.notef("%s: receives %s at position %d of %s (once: %v)", v.holder.VM, sent.id, sent.position, c.program, sent.once)
	o, err := w.do(v, w.arrival(c, sent, first))
	w.oracle.notef("%s: %s of %s gets %s", v.holder.VM, sent.id, c.program, describe(o, err))
	w.arrived(c, v, sent, o, err)
}

func (w *world) arrival(c *client, sent call, first bool) sequencer.Arrive {
	return sequencer.Arrive{
		Program: c.program, Team: "team", Repeatable: !sent.once, Engine: sent.engine, First: first, BodyHash: sent.body,
		Request: record.Request{Call: sent.id, Position: sent.position, Pool: "desk"},
	}
}

func (w *world) arrived(c *client, v *vm, sent call, o outcome.Outcome, err error) {
	switch o := o.(type) {
	case outcome.Run:
		w.workers = append(w.workers, &worker{vm: v, client: c, call: sent, run: o, stage: started, engine: "e0"})
	case outcome.Replay:
		w.completed(c, sent, o.Answer.Body)
	case nil:
		w.refused(c, sent, err)
	}
}

func (w *world) completed(c *client, k call, answer string) {
	w.oracle.notef("the caller of %s is told the answer %q", k.id, answer)
	w.oracle.complete(c.program, k.position, answer)
	if c.current != nil && c.current.id == k.id {
		c.current = nil
		c.next = k.position + 1
	}
}

func (w *world) refused(c *client, k call, err error) {
	if errors.Is(err, errWaits) {
		return
	}
	refused := failure.From(err)
	w.oracle.notef("the caller of %s is told %s", k.id, describe(nil, err))
	if refused.NotRun {
		w.oracle.refusedNotRun(k.id)
		if c.current != nil && c.current.id == k.id {
			c.current = nil
		}
	}
	switch refused.Kind {
	case failure.BudgetExhausted, failure.OutcomeUnknown, failure.ProgramEnded:
		c.stopped = true
	}
}

// body is the upstream's answer. It differs between attempts, so that the oracle
// sees if an answer of one attempt is recorded for another one.
func (k *worker) body() string { return fmt.Sprintf("%s/%d", k.call.id, k.run.Attempt) }

func (k *worker) attempt() record.AttemptID {
	return record.AttemptID{Program: k.client.program, Call: k.call.id, Attempt: k.run.Attempt}
}

func (w *world) drop(k *worker) {
	w.workers = slices.DeleteFunc(w.workers, func(other *worker) bool { return other == k })
}
