package nodetest

import (
	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/failure"
	"github.com/sassafrasspur/sassafrasspur/internal/message"
	"github.com/sassafrasspur/sassafrasspur/internal/outcome"
	"github.com/sassafrasspur/sassafrasspur/internal/record"
)

// proceed goes on with a worker when its request was answered.
func (w *world) proceed(k *worker, answer outcome.Outcome) {
	w.oracle.notef("worker of %s on %s in stage %d gets %T", k.call.id, k.node.vm, k.stage, answer)
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
		w.completed(k.client, k.call, string(k.call.id))
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

// dispatch sends the call to its upstream, which answers or breaks.
func (w *world) dispatch(k *worker, breaks bool) {
	w.oracle.notef("%s dispatches %s (breaks: %v)", k.node.vm, k.call.id, breaks)
	w.oracle.arrive(k.client.program, k.call.id, k.call.position, budgetCalls)
	switch {
	case !breaks:
		k.stage = waitsForRecord
		k.ticket = k.node.ask(func(t ident.Ticket) message.Message {
			return message.CallCompleted{
				Ticket: t, AttemptID: k.attempt(),
				Answer: record.Answer{Body: string(k.call.id), Usage: record.Usage{Calls: 1}},
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
				Ticket: t, AttemptID: k.attempt(), Usage: record.Usage{Calls: 1},
			}
		})
	}
	w.collect()
}
