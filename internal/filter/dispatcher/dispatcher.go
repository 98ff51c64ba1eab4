// Package dispatcher has the last filter, which sends a call to its upstream.
//
// A call that must not be repeated is dispatched only after its intent is
// durable. The lease is looked at immediately before every dispatch.
package dispatcher

import (
	"context"
	"fmt"
	"time"

	"github.com/juju/errors"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/canceller"
	"github.com/sassafrasspur/sassafrasspur/internal/chain"
	"github.com/sassafrasspur/sassafrasspur/internal/configuration"
	"github.com/sassafrasspur/sassafrasspur/internal/enginecaller"
	"github.com/sassafrasspur/sassafrasspur/internal/executor"
	"github.com/sassafrasspur/sassafrasspur/internal/failure"
	"github.com/sassafrasspur/sassafrasspur/internal/message"
	"github.com/sassafrasspur/sassafrasspur/internal/prompter"
	"github.com/sassafrasspur/sassafrasspur/internal/request"
	"github.com/sassafrasspur/sassafrasspur/internal/servicecaller"
	"github.com/sassafrasspur/sassafrasspur/internal/timer"
)

// Engines calls model engines.
type Engines interface {
	Call(ctx context.Context, r enginecaller.Request, chunk func(int, string) error, void func() error) (enginecaller.Result, error)
	Cancel(ctx context.Context, address string, id enginecaller.RequestID) error
}

// Services calls plain services.
type Services interface {
	Call(ctx context.Context, r servicecaller.Request) (servicecaller.Result, error)
}

// cancelLimit bounds the wait for an engine to confirm a cancel.
const cancelLimit = 2 * time.Second

// Dispatcher sends calls to upstreams.
type Dispatcher struct {
	control   *executor.Executor
	timers    *timer.Service
	engines   Engines
	services  Services
	canceller *canceller.Canceller
	prompter  prompter.Prompter
}

// New returns the filter on the control goroutine and the two clients. A call
// that may be repeated is stopped when the canceller is told to.
func New(control *executor.Executor, timers *timer.Service, engines Engines, services Services, c *canceller.Canceller) *Dispatcher {
	return &Dispatcher{control: control, timers: timers, engines: engines, services: services, canceller: c}
}

// Serve dispatches the call and sets the exchange's result and answer.
func (d *Dispatcher) Serve(ctx context.Context, x *chain.Exchange, _ chain.Handler) error {
	call, ok := x.Request.(request.Call)
	if !ok {
		return failure.New(failure.Internal, "request type %T is not a call; report this", x.Request)
	}
	if !x.Repeatable {
		if err := d.intend(ctx, x, call); err != nil {
			return err
		}
	}
	if !d.control.Snapshot().Holds(call.Program, x.Run.Epoch, d.timers.Now()) {
		return d.withhold(ctx, x, call)
	}
	x.Dispatched = true
	x.Dispatches++
	if x.Repeatable {
		stoppable, release := d.canceller.Register(ctx, x.Granted.Grant)
		defer release()
		ctx = stoppable
	}
	switch x.Pool.Kind {
	case configuration.EnginePool:
		return d.callEngine(ctx, x, call)
	case configuration.ServicePool:
		return d.callService(ctx, x, call)
	}
	return failure.New(failure.Internal, "pool kind %q is not served; report this", x.Pool.Kind)
}

// intend waits for the durable intent. If it is not known whether the intent is
// durable, the call counts as dispatched: another owner would find the intent.
func (d *Dispatcher) intend(ctx context.Context, x *chain.Exchange, call request.Call) error {
	_, err := d.control.Ask(ctx, func(t ident.Ticket) message.Message {
		return message.IntentRequested{Ticket: t, AttemptID: x.Attempt(), Upstream: x.Granted.Upstream.ID}
	})
	if err == nil {
		return nil
	}
	if !failure.From(err).NotRun {
		x.Dispatched, x.Withheld, x.Result = true, true, chain.Unresolved{}
		return unknown(call.Call)
	}
	return err
}

// withhold ends a call whose lease lapsed before the dispatch. A durable intent
// must be cancelled durably before the caller may be told that nothing ran.
func (d *Dispatcher) withhold(ctx context.Context, x *chain.Exchange, call request.Call) error {
	if !x.Repeatable {
		if err := d.cancel(ctx, x, call); err != nil {
			return err
		}
	}
	return failure.Refusal(failure.PlatformUnavailable, time.Second,
		"the lease of this VM lapsed before the dispatch; repeat the call with the same call id")
}

func (d *Dispatcher) cancel(ctx context.Context, x *chain.Exchange, call request.Call) error {
	_, err := d.control.Ask(ctx, func(t ident.Ticket) message.Message {
		return message.CancelRequested{Ticket: t, AttemptID: x.Attempt()}
	})
	if err != nil {
		x.Dispatched, x.Withheld, x.Result = true, true, chain.Unresolved{}
		return unknown(call.Call)
	}
	x.Dispatched = false
	return nil
}

// requestID names one dispatch. The epoch keeps the dispatches of two owners of
// the program's shard apart.
func requestID(x *chain.Exchange, call request.Call) enginecaller.RequestID {
	return enginecaller.RequestID(fmt.Sprintf("%s/%s/%d.%d.%d", call.Program, call.Call, x.Run.Epoch, x.Run.Attempt, x.Dispatches))
}

func unknown(call ident.CallID) *failure.Error {
	return failure.New(failure.OutcomeUnknown,
		"call %s may have run and the outcome is unknown; do not send it under a new call id, let an operator resolve it by a plan", call)
}

func upstreamFailed(err error) *failure.Error {
	failed := failure.New(failure.UpstreamFailed, "%v; repeat the call with the same call id", errors.Cause(err))
	failed.RetryAfter = time.Second
	return failed
}
