package programtest

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/committer"
	"github.com/sassafrasspur/sassafrasspur/internal/failure"
	"github.com/sassafrasspur/sassafrasspur/internal/outcome"
	"github.com/sassafrasspur/sassafrasspur/internal/record"
	"github.com/sassafrasspur/sassafrasspur/internal/sequencer"
	"github.com/sassafrasspur/sassafrasspur/internal/standin/rowstore"
	"github.com/sassafrasspur/sassafrasspur/internal/timer"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

const (
	budgetCalls = unit.Calls(9)
	// budgetTokens is more than the calls of any test use.
	budgetTokens = unit.Tokens(1_000_000)
	// maxLivenessChecks bounds how often a request checks whether the process that
	// runs a call is alive. A request that exceeds it is cancelled.
	maxLivenessChecks = 6
)

// errCallPending is the outcome of a request that waits for a running call.
var errCallPending = errors.New("waiting for a running call")

// stage is the progress of a worker's call.
type stage string

const (
	started        stage = "is started"
	intentRecorded stage = "has its intent"
	dispatched     stage = "waits for the upstream"
)

// vm is one process of an entry VM. A restart replaces it by another one.
type vm struct {
	holder    record.Holder
	committer *committer.Committer
	// A frozen process does nothing until it is unfrozen; a crashed one never runs
	// again.
	frozen, crashed bool
	// suspected is true if the other VMs consider the process dead.
	suspected bool
	// pendingRequests are the writes that are retried in the background.
	pendingRequests []sequencer.Request
}

// worker stands for the traffic goroutine that runs one call on one VM.
type worker struct {
	vm     *vm
	client *client
	call   call
	run    outcome.Run
	stage  stage
	engine ident.UpstreamID
}

// call is a request of a client.
type call struct {
	id         ident.CallID
	position   ident.Position
	atMostOnce bool
	engine     bool
	sent       bool
	bodyHash   uint64
}

// client runs the calls of one program sequentially.
type client struct {
	program      ident.ProgramID
	nextPosition ident.Position
	current      *call
	stopped      bool
}

// simulation holds a store, VMs, clients, workers and the oracle.
type simulation struct {
	store     *rowstore.Rowstore
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
	// residents holds the programs that occupy the memory of each engine.
	residents map[ident.UpstreamID]map[ident.ProgramID]bool
	// outage, answersToLose and lateTransactions are pending faults of the store.
	outage                          bool
	answersToLose, lateTransactions int
	// cancel ends the current request after maxLivenessChecks checks.
	// livenessChecks counts them.
	cancel         context.CancelFunc
	livenessChecks int
}

func newSimulation(o *oracle) *simulation {
	clock := timer.NewAutoAdvancing(time.Unix(1e9, 0))
	timers := timer.New(timer.WithManual(clock))
	sim := &simulation{
		store: rowstore.New(rowstore.WithTimers(timers)), timers: timers, clock: clock, oracle: o,
		budget: budgetCalls, budgets: map[ident.ProgramID]unit.Calls{},
		residents: map[ident.UpstreamID]map[ident.ProgramID]bool{"e0": {}, "e1": {}},
	}
	sim.store.Inject(sim.nextFault)
	return sim
}

func (sim *simulation) nextFault(write bool) rowstore.Fault {
	switch {
	case sim.outage:
		return rowstore.Refuse{}
	case write && sim.answersToLose > 0:
		sim.answersToLose--
		return rowstore.LoseAnswer{}
	case write && sim.lateTransactions > 0:
		sim.lateTransactions--
		return rowstore.ApplyLate{}
	}
	return nil
}

// start starts a process of a VM.
func (sim *simulation) start(id ident.VMID) *vm {
	sim.processes++
	v := &vm{holder: record.Holder{VM: id, Process: ident.ProcessID(fmt.Sprint(sim.processes))}}
	v.committer = committer.New(context.Background(), sim.store, sim.timers, sequencer.New(v.holder, sim.isAlive),
		committer.WithBackgroundRecorder(func(r sequencer.Request) { v.pendingRequests = append(v.pendingRequests, r) }))
	sim.vms = append(sim.vms, v)
	return v
}

// isAlive reports whether the other VMs consider a process alive. It cancels a
// request that exceeds maxLivenessChecks.
func (sim *simulation) isAlive(h record.Holder) bool {
	if sim.livenessChecks++; sim.livenessChecks > maxLivenessChecks && sim.cancel != nil {
		sim.cancel()
	}
	return slices.ContainsFunc(sim.vms, func(v *vm) bool { return v.holder == h && !v.crashed && !v.suspected })
}

// do executes a request on a VM.
func (sim *simulation) do(v *vm, r sequencer.Request) (outcome.Outcome, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	sim.cancel, sim.livenessChecks = cancel, 0
	o, err := v.committer.Do(ctx, r)
	if errors.Is(err, context.Canceled) {
		return nil, errCallPending
	}
	return o, err
}

// kill ends a process and drops its workers.
func (sim *simulation) kill(v *vm) {
	v.crashed = true
	sim.workers = slices.DeleteFunc(sim.workers, func(k *worker) bool { return k.vm == v })
}

// restart kills a process and starts a new one on the same VM.
func (sim *simulation) restart(v *vm) {
	sim.kill(v)
	sim.vms = slices.DeleteFunc(sim.vms, func(other *vm) bool { return other == v })
	sim.start(v.holder.VM)
}

// runBackground retries each pending request of a VM once.
func (sim *simulation) runBackground(v *vm) {
	if v.frozen || v.crashed {
		return
	}
	work := v.pendingRequests
	v.pendingRequests = nil
	for _, r := range work {
		if _, err := sim.do(v, r); failure.Is(err, failure.PlatformUnavailable) {
			v.pendingRequests = append(v.pendingRequests, r)
		}
	}
}

// doAnywhere executes a request on the running VMs in turn until one succeeds. It
// returns nil if none does.
func (sim *simulation) doAnywhere(r sequencer.Request) outcome.Outcome {
	for range 20 {
		for _, v := range sim.vms {
			if v.frozen || v.crashed {
				continue
			}
			if o, err := sim.do(v, r); err == nil {
				return o
			}
		}
	}
	return nil
}

// openProgram opens a program and a sub-agent, each with a client.
func (sim *simulation) openProgram(root ident.ProgramID) {
	sim.budgets[root] = sim.budget
	sim.doAnywhere(sequencer.Open{Program: root, Team: "team", Budget: record.Budget{Calls: sim.budget, Tokens: budgetTokens}})
	sim.doAnywhere(sequencer.OpenChild{Parent: root, Child: root.Child(1), Team: "team"})
	sim.clients = append(sim.clients, &client{program: root, nextPosition: 1}, &client{program: root.Child(1), nextPosition: 1})
}

// send makes a client send its current call, or a new one, to a VM.
func (sim *simulation) send(c *client, v *vm, atMostOnce, engine bool) {
	if c.stopped || v.frozen || v.crashed {
		return
	}
	if c.current == nil {
		sim.calls++
		c.current = &call{id: ident.CallID(fmt.Sprintf("c%d", sim.calls)), position: c.nextPosition, atMostOnce: atMostOnce, engine: engine && !atMostOnce}
		sim.oracle.atMostOnce[c.current.id] = atMostOnce
	}
	first := !c.current.sent
	c.current.sent = true
	sim.submitCall(c, v, *c.current, first)
}

// submitCall sends a call to a VM and processes the outcome.
func (sim *simulation) submitCall(c *client, v *vm, sent call, first bool) {
	sim.oracle.tracef("%s: receives %s at position %d of %s (at most once: %v)", v.holder.VM, sent.id, sent.position, c.program, sent.atMostOnce)
	o, err := sim.do(v, sim.newSubmit(c, sent, first))
	sim.oracle.tracef("%s: %s of %s: %s", v.holder.VM, sent.id, c.program, formatOutcome(o, err))
	sim.handleOutcome(c, v, sent, o, err)
}

func (sim *simulation) newSubmit(c *client, sent call, first bool) sequencer.Submit {
	return sequencer.Submit{
		Program: c.program, Team: "team", Repeatable: !sent.atMostOnce, Engine: sent.engine, FirstSubmission: first, BodyHash: sent.bodyHash,
		Request: record.Request{Call: sent.id, Position: sent.position, Pool: "desk"},
	}
}

func (sim *simulation) handleOutcome(c *client, v *vm, sent call, o outcome.Outcome, err error) {
	switch o := o.(type) {
	case outcome.Run:
		sim.workers = append(sim.workers, &worker{vm: v, client: c, call: sent, run: o, stage: started, engine: "e0"})
	case outcome.Replay:
		sim.answerCaller(c, sent, o.Answer.Body)
	case nil:
		sim.refuseCaller(c, sent, err)
	}
}

func (sim *simulation) answerCaller(c *client, k call, answer string) {
	sim.oracle.tracef("the caller of %s receives the answer %q", k.id, answer)
	sim.oracle.recordCompletion(c.program, k.position, answer)
	if c.current != nil && c.current.id == k.id {
		c.current = nil
		c.nextPosition = k.position + 1
	}
}

func (sim *simulation) refuseCaller(c *client, k call, err error) {
	if errors.Is(err, errCallPending) {
		return
	}
	callerErr := failure.From(err)
	sim.oracle.tracef("the caller of %s receives %s", k.id, formatOutcome(nil, err))
	if callerErr.NotRun {
		sim.oracle.recordNotRun(k.id)
		if c.current != nil && c.current.id == k.id {
			c.current = nil
		}
	}
	switch callerErr.Kind {
	case failure.BudgetExhausted, failure.OutcomeUnknown, failure.ProgramEnded:
		c.stopped = true
	}
}

// answerBody returns the upstream's answer. It differs between attempts, so that
// the oracle detects an answer that is recorded for another attempt.
func (k *worker) answerBody() string { return fmt.Sprintf("%s/%d", k.call.id, k.run.Attempt) }

func (k *worker) attemptID() record.AttemptID {
	return record.AttemptID{Program: k.client.program, Call: k.call.id, Attempt: k.run.Attempt}
}

func (sim *simulation) removeWorker(k *worker) {
	sim.workers = slices.DeleteFunc(sim.workers, func(other *worker) bool { return other == k })
}
