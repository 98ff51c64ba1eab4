package nodetest

import (
	"fmt"
	"slices"
	"time"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/failure"
	"github.com/sassafrasspur/sassafrasspur/internal/message"
	"github.com/sassafrasspur/sassafrasspur/internal/outcome"
	"github.com/sassafrasspur/sassafrasspur/internal/record"
	"github.com/sassafrasspur/sassafrasspur/internal/timer"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

const (
	budgetCalls = unit.Calls(9)
	// budgetTokens is more than the calls of any test use.
	budgetTokens = unit.Tokens(1_000_000)
)

// stage is how far a worker has brought its call.
type stage string

const (
	waitsForIntent stage = "waits for its intent"
	ready          stage = "is ready"
	checked        stage = "has checked the lease"
	sent           stage = "waits for the upstream"
	waitsForRecord stage = "waits for its record"
	waitsForCancel stage = "waits for its cancel"
	waitsForRetry  stage = "waits for its retry"
)

// worker is the traffic goroutine of one call on one node.
type worker struct {
	node   *node
	client *client
	call   call
	run    outcome.Run
	stage  stage
	ticket ident.Ticket
	// upstream is where an engine call was sent last.
	upstream ident.UpstreamID
}

func (k *worker) attempt() message.AttemptID {
	return message.AttemptID{Program: k.client.program, Call: k.call.id, Epoch: k.run.Epoch, Attempt: k.run.Attempt}
}

// call is what a client sends.
type call struct {
	id       ident.CallID
	position ident.Position
	once     bool
	sent     bool
	body     uint64
	// engine calls leave memory at their upstream.
	engine bool
}

// client runs the calls of one program one after the other.
type client struct {
	program ident.ProgramID
	next    ident.Position
	current *call
	waits   []pendingCall
	stopped bool
}

type pendingCall struct {
	node   *node
	ticket ident.Ticket
	call   call
}

// world is a deployment: nodes, the platform, clients and the oracle.
type world struct {
	clock     *timer.Manual
	platform  *platform
	nodes     []*node
	processes int
	clients   []*client
	workers   []*worker
	oracle    *oracle
	calls     int
	// budget is that of programs that are opened, budgets that of each root.
	budget  unit.Calls
	budgets map[ident.ProgramID]unit.Calls
	// onRefusal sees what callers are refused; it may be nil.
	onRefusal func(call, *failure.Error)
	// asks are requests other than calls that wait for an answer.
	asks []pendingAsk
	// extend adds controllers to a new node; nil adds none.
	extend func(*node)
	// engines hold the memory of engine calls; nil in worlds without such calls.
	engines *engines
}

type pendingAsk struct {
	node   *node
	ticket ident.Ticket
	text   string
}

func newEmptyWorld(oracle *oracle) *world {
	start := time.Unix(1e9, 0)
	w := &world{
		clock: timer.NewManual(start), platform: newPlatform(), oracle: oracle, budget: budgetCalls, budgets: map[ident.ProgramID]unit.Calls{},
	}
	oracle.elapsed = func() time.Duration { return w.clock.Now().Sub(start) }
	return w
}

// populate starts three nodes and opens two programs with a sub-agent each.
func (w *world) populate() {
	for i := range 3 {
		w.nodes = append(w.nodes, w.start(ident.VMID(fmt.Sprintf("vm%d", i))))
	}
	w.advance(12 * time.Second)
	for _, root := range []ident.ProgramID{"alpha", "beta"} {
		w.open(root)
		w.clients = append(w.clients, &client{program: root, next: 1}, &client{program: root.Child(1), next: 1})
	}
}

func (w *world) start(vm ident.VMID) *node {
	w.processes++
	n := startNode(vm, w.processes, w.clock, w.platform)
	if w.extend != nil {
		w.extend(n)
	}
	n.handle(message.Started{})
	return n
}

func (w *world) open(root ident.ProgramID) {
	w.budgets[root] = w.budget
	w.request(func(t ident.Ticket) message.Message {
		return message.OpenProgram{Ticket: t, Program: root, Team: "team", Budget: record.Budget{Calls: w.budget, Tokens: budgetTokens}}
	})
	w.request(func(t ident.Ticket) message.Message {
		return message.OpenChild{Ticket: t, Parent: root, Child: root.Child(1), Team: "team"}
	})
}

// request asks all nodes in turn until one gives an answer that is no refusal.
func (w *world) request(build func(ident.Ticket) message.Message) outcome.Outcome {
	for range 40 {
		for _, n := range w.nodes {
			if n.frozen {
				continue
			}
			ticket := n.ask(build)
			w.advance(500 * time.Millisecond)
			answer := n.take(ticket)
			if _, refused := answer.(outcome.Refused); answer != nil && !refused {
				return answer
			}
		}
	}
	return nil
}

// settle runs all nodes until nothing is due.
func (w *world) settle() {
	for busy := true; busy; {
		busy = false
		for _, n := range w.nodes {
			for n.step() {
				busy = true
			}
		}
		w.collect()
	}
}

// advance lets time pass in small steps, so that nodes act when they asked to.
func (w *world) advance(d time.Duration) {
	const slice = 100 * time.Millisecond
	w.oracle.notef("%v pass", d)
	for passed := time.Duration(0); passed < d; passed += slice {
		w.clock.Advance(slice)
		w.settle()
	}
}

// crash replaces a node's process by a new one; its workers are gone.
func (w *world) crash(old *node) {
	w.nodes[slices.Index(w.nodes, old)] = w.start(old.vm)
	w.forget(old)
}

// forget drops the workers and the callers' connections of a node that is gone.
func (w *world) forget(old *node) {
	var kept []*worker
	for _, k := range w.workers {
		if k.node != old {
			kept = append(kept, k)
		}
	}
	w.workers = kept
	for _, c := range w.clients {
		var waits []pendingCall
		for _, p := range c.waits {
			if p.node != old {
				waits = append(waits, p)
			}
		}
		c.waits = waits
	}
}

// send lets a client send its current call, or a new one, to a node.
func (w *world) send(c *client, n *node, once bool) {
	if c.stopped || n.frozen {
		return
	}
	if c.current == nil {
		w.calls++
		c.current = &call{id: ident.CallID(fmt.Sprintf("c%d", w.calls)), position: c.next, once: once, engine: !once && w.engines != nil}
		w.oracle.once[c.current.id] = once
	}
	first := !c.current.sent
	c.current.sent = true
	w.post(c, n, *c.current, first)
}

// post sends a call to a node, as a caller or another node does.
func (w *world) post(c *client, n *node, sent call, first bool) {
	ticket := n.ask(func(t ident.Ticket) message.Message {
		return message.CallArrived{
			Ticket: t, Program: c.program, Team: "team", Repeatable: !sent.once, Engine: sent.engine, First: first,
			Request:  record.Request{Call: sent.id, Position: sent.position, Pool: "desk"},
			BodyHash: sent.body,
		}
	})
	w.oracle.notef("%s: receives %s at position %d of %s (once: %v)", n.vm, sent.id, sent.position, c.program, sent.once)
	c.waits = append(c.waits, pendingCall{node: n, ticket: ticket, call: sent})
	w.collect()
}

// collect hands answers to the clients and workers that wait for them.
func (w *world) collect() {
	asks := w.asks
	w.asks = nil
	for _, a := range asks {
		answer := a.node.take(a.ticket)
		if answer == nil {
			w.asks = append(w.asks, a)
			continue
		}
		w.oracle.notef("%s: %s is answered with %s", a.node.vm, a.text, describe(answer))
	}
	for _, c := range w.clients {
		waits := c.waits
		c.waits = nil
		for _, p := range waits {
			answer := p.node.take(p.ticket)
			if answer == nil {
				c.waits = append(c.waits, p)
				continue
			}
			w.answered(c, p, answer)
		}
	}
	for _, k := range append([]*worker{}, w.workers...) {
		if answer := k.node.take(k.ticket); answer != nil {
			w.proceed(k, answer)
		}
	}
}

func (w *world) answered(c *client, p pendingCall, answer outcome.Outcome) {
	w.oracle.notef("%s: %s of %s gets %s", p.node.vm, p.call.id, c.program, describe(answer))
	switch answer := answer.(type) {
	case outcome.Run:
		k := &worker{node: p.node, client: c, call: p.call, run: answer, stage: ready, upstream: "u"}
		if p.call.engine {
			k.upstream = "e0"
		}
		w.workers = append(w.workers, k)
		if p.call.once {
			k.stage = waitsForIntent
			k.ticket = k.node.ask(func(t ident.Ticket) message.Message {
				return message.IntentRequested{Ticket: t, AttemptID: k.attempt(), Upstream: "u"}
			})
		}
	case outcome.Replay:
		w.completed(c, p.call, answer.Answer.Body)
	case outcome.Refused:
		w.refused(c, p.call, answer.Err)
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

func (w *world) refused(c *client, k call, err *failure.Error) {
	w.oracle.notef("the caller of %s is told %s", k.id, describe(outcome.Refused{Err: err}))
	if w.onRefusal != nil {
		w.onRefusal(k, err)
	}
	if err.NotRun {
		w.oracle.refusedNotRun(k.id)
		if c.current != nil && c.current.id == k.id {
			c.current = nil
		}
	}
	if err.Kind == failure.BudgetExhausted || err.Kind == failure.OutcomeUnknown {
		c.stopped = true
	}
}

func (w *world) drop(k *worker) {
	for i, other := range w.workers {
		if other == k {
			w.workers = append(w.workers[:i:i], w.workers[i+1:]...)
			return
		}
	}
}
