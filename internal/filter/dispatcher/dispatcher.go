// Package dispatcher has the last filter of the chain, which sends a call to its
// upstream.
//
// A call that must not be repeated is dispatched only after its intent is stored
// durably.
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
	"github.com/sassafrasspur/sassafrasspur/internal/failure"
	"github.com/sassafrasspur/sassafrasspur/internal/outcome"
	"github.com/sassafrasspur/sassafrasspur/internal/promptrenderer"
	"github.com/sassafrasspur/sassafrasspur/internal/request"
	"github.com/sassafrasspur/sassafrasspur/internal/sequencer"
	"github.com/sassafrasspur/sassafrasspur/internal/servicecaller"
	"github.com/sassafrasspur/sassafrasspur/internal/timer"
)

// Engines is a client of model engines.
type Engines interface {
	Call(ctx context.Context, r enginecaller.Request, chunk func(int, string) error, void func() error) (enginecaller.Result, error)
	Cancel(ctx context.Context, address string, id enginecaller.RequestID) error
}

// Services is a client of non-engine services.
type Services interface {
	Call(ctx context.Context, r servicecaller.Request) (servicecaller.Result, error)
}

// Programs stores the records of programs.
type Programs interface {
	Do(ctx context.Context, r sequencer.Request) (outcome.Outcome, error)
}

// cancelTimeout bounds the wait for an engine to confirm a cancellation.
const cancelTimeout = 2 * time.Second

// Dispatcher sends calls to upstreams.
type Dispatcher struct {
	programs       Programs
	timers         *timer.Service
	engines        Engines
	services       Services
	canceller      *canceller.Canceller
	promptRenderer promptrenderer.Promptrenderer
}

// New returns the filter. Calls that may be repeated are registered with the
// canceller, which can stop them after dispatch.
func New(programs Programs, timers *timer.Service, engines Engines, services Services, c *canceller.Canceller) *Dispatcher {
	return &Dispatcher{programs: programs, timers: timers, engines: engines, services: services, canceller: c}
}

// Serve dispatches the call and sets the result and the answer of the exchange.
func (d *Dispatcher) Serve(ctx context.Context, x *chain.Exchange, _ chain.Handler) error {
	call, ok := x.Request.(request.Call)
	if !ok {
		return failure.New(failure.Internal, "request type %T is not a call; report this", x.Request)
	}
	if !x.Repeatable {
		intend := sequencer.Intend{AttemptID: x.Attempt(), Upstream: x.Granted.Upstream.ID}
		if _, err := d.programs.Do(ctx, intend); err != nil {
			return err
		}
	}
	x.Dispatched = true
	x.Dispatches++
	if x.Repeatable {
		cancellable, release := d.canceller.Register(ctx, x.Granted.Grant)
		defer release()
		ctx = cancellable
	}
	switch x.Pool.Kind {
	case configuration.EnginePool:
		return d.callEngine(ctx, x, call)
	case configuration.ServicePool:
		return d.callService(ctx, x, call)
	}
	return failure.New(failure.Internal, "pool kind %q is not served; report this", x.Pool.Kind)
}

// cancelIntent withdraws the stored intent of a declined call, before the call is
// sent to another upstream or refused as not run.
func (d *Dispatcher) cancelIntent(ctx context.Context, x *chain.Exchange) error {
	_, err := d.programs.Do(ctx, sequencer.Cancel{AttemptID: x.Attempt()})
	return err
}

// requestID returns the id of one dispatch of a call.
func requestID(x *chain.Exchange, call request.Call) enginecaller.RequestID {
	return enginecaller.RequestID(fmt.Sprintf("%s/%s/%d.%d", call.Program, call.Call, x.Run.Attempt, x.Dispatches))
}

func outcomeUnknown(call ident.CallID) *failure.Error {
	return failure.New(failure.OutcomeUnknown,
		"call %s may have run and the outcome is unknown; do not send it under a new call id, let an operator resolve it by a plan", call)
}

func upstreamFailed(err error) *failure.Error {
	failed := failure.New(failure.UpstreamFailed, "%v; repeat the call with the same call id", errors.Cause(err))
	failed.RetryAfter = time.Second
	return failed
}
