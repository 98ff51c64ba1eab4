package nodetest

import (
	"slices"

	"fmt"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/failure"
	"github.com/sassafrasspur/sassafrasspur/internal/message"
	"github.com/sassafrasspur/sassafrasspur/internal/outcome"
	"github.com/sassafrasspur/sassafrasspur/internal/record"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

// proceed goes on with a worker when its request was answered.
func (w *world) proceed(k *worker, answer outcome.Outcome) {
	w.oracle.notef("%s: worker of %s, which %s, gets %s", k.node.vm, k.call.id, k.stage, describe(answer))
	refused, isRefused := answer.(outcome.Refused)
	switch {
	case k.stage == waitsForIntent && !isRefused:
		k.stage = ready
	case k.stage == waitsForIntent:
		w.drop(k)
		if refused.Err.NotRun {
			w.withdraw(k)
			return
		}
		w.refused(k.client, k.call, refused.Err)
	case k.stage == waitsForRecord:
		w.drop(k)
		if isRefused {
			w.refused(k.client, k.call, refused.Err)
			return
		}
		w.completed(k.client, k.call, k.body())
	case k.stage == waitsForCancel:
		w.drop(k)
		if isRefused {
			w.refused(k.client, k.call, refused.Err)
			return
		}
		w.withdraw(k)
	case k.stage == waitsForRetry && !isRefused:
		k.run = answer.(outcome.Run)
		k.stage = ready
	case k.stage == waitsForRetry:
		w.drop(k)
		err := *refused.Err
		err.NotRun = false
		w.refused(k.client, k.call, &err)
	}
}

// withdraw tells the caller that the call was not dispatched, as the order
// filter does.
func (w *world) withdraw(k *worker) {
	err := failure.New(failure.PlatformUnavailable, "withdrawn")
	err.NotRun = k.run.Fresh && k.node.snapshot().Holds(k.client.program, k.run.Epoch, w.clock.Now())
	k.node.handle(message.CallWithdrawn{AttemptID: k.attempt(), Err: err})
	w.refused(k.client, k.call, err)
}

// check looks at the lease, which is the last thing before the dispatch.
func (w *world) check(k *worker) {
	if k.node.snapshot().Holds(k.client.program, k.run.Epoch, w.clock.Now()) {
		w.checkOwner(k)
		k.stage = checked
		return
	}
	if !k.call.once {
		w.drop(k)
		w.withdraw(k)
		return
	}
	k.stage = waitsForCancel
	k.ticket = k.node.ask(func(t ident.Ticket) message.Message {
		return message.CancelRequested{Ticket: t, AttemptID: k.attempt()}
	})
}

// checkOwner looks for another node that may dispatch calls of the program at
// the same time, so that they would not run in one order.
func (w *world) checkOwner(k *worker) {
	for _, n := range w.nodes {
		view := n.snapshot()
		_, owner, known := view.Owner(k.client.program)
		if n != k.node && known && owner.VM == n.vm && view.Holds(k.client.program, owner.Epoch, w.clock.Now()) {
			w.oracle.failf("property 1: %s and %s may both dispatch calls of %s", k.node.vm, n.vm, k.client.program)
		}
	}
}

// dispatch sends the call to its upstream.
func (w *world) dispatch(k *worker) {
	k.stage = sent
	w.oracle.bodies[k.call.id] = k.body()
	if k.call.engine {
		w.engines.hold(k.upstream, k.client.program)
	}
	w.oracle.notef("%s: dispatches %s, attempt %d of epoch %d", k.node.vm, k.call.id, k.run.Attempt, k.run.Epoch)
	w.oracle.arrive(k.client.program, k.call.id, k.call.position, w.budgets[k.client.program.Root()])
}

// body is the upstream's answer. It differs between attempts, so that the oracle
// sees if an answer of one attempt is recorded for another one.
func (k *worker) body() string {
	return fmt.Sprintf("%s/%d.%d", k.call.id, k.run.Epoch, k.run.Attempt)
}

// tokensOf returns the prompt tokens of an engine call; other calls have none.
func tokensOf(k *worker) unit.Tokens {
	if k.call.engine {
		return 1
	}
	return 0
}

// receive reports that the upstream answered, or that its answer broke.
func (w *world) receive(k *worker, breaks bool) {
	w.oracle.notef("%s: the upstream answers %s (breaks: %v)", k.node.vm, k.call.id, breaks)
	switch {
	case !breaks:
		if k.call.engine {
			w.engines.hold(k.upstream, k.client.program)
		}
		k.stage = waitsForRecord
		k.ticket = k.node.ask(func(t ident.Ticket) message.Message {
			return message.CallCompleted{
				Ticket: t, AttemptID: k.attempt(),
				Answer:   record.Answer{Body: k.body(), Usage: record.Usage{Calls: 1, PromptTokens: tokensOf(k)}},
				Upstream: k.upstream, Resident: k.call.engine,
			}
		})
	case k.call.once:
		w.drop(k)
		err := failure.New(failure.OutcomeUnknown, "the upstream did not answer")
		k.node.handle(message.CallFailed{AttemptID: k.attempt(), Err: err})
		w.refused(k.client, k.call, err)
	default:
		k.stage = waitsForRetry
		k.ticket = k.node.ask(func(t ident.Ticket) message.Message {
			return message.CallRetried{
				Ticket: t, AttemptID: k.attempt(), Upstream: k.upstream, Usage: record.Usage{Calls: 1},
			}
		})
	}
	w.collect()
}

// withhold ends the workers of a node that wait for an intent or its cancel, as
// the order filter does when the time of a call is over. Nothing was dispatched,
// but the caller is told that the outcome is unknown and may repeat the call.
func (w *world) withhold(n *node) {
	for _, k := range slices.Clone(w.workers) {
		if k.node != n || n.frozen || k.stage != waitsForIntent && k.stage != waitsForCancel {
			continue
		}
		w.drop(k)
		w.oracle.notef("%s: call %s is given up before its dispatch", n.vm, k.call.id)
		n.handle(message.WaitAbandoned{Ticket: k.ticket})
		err := failure.New(failure.OutcomeUnknown, "given up")
		n.handle(message.CallFailed{AttemptID: k.attempt(), Withheld: true, Err: err})
	}
	w.collect()
}
