// Package orderer has the filter that lets the calls of a program run one after
// the other, each within the budget.
package orderer

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/chain"
	"github.com/sassafrasspur/sassafrasspur/internal/configuration"
	"github.com/sassafrasspur/sassafrasspur/internal/executor"
	"github.com/sassafrasspur/sassafrasspur/internal/failure"
	"github.com/sassafrasspur/sassafrasspur/internal/message"
	"github.com/sassafrasspur/sassafrasspur/internal/outcome"
	"github.com/sassafrasspur/sassafrasspur/internal/record"
	"github.com/sassafrasspur/sassafrasspur/internal/request"
	"github.com/sassafrasspur/sassafrasspur/internal/timer"
)

// Orderer asks the control goroutine whether a call may run.
type Orderer struct {
	control *executor.Executor
	timers  *timer.Service
	limit   time.Duration
	tries   int
}

// Option changes how New builds an Orderer.
type Option func(*Orderer)

// WithCallLimit sets the longest time that a call may take once it was let run.
func WithCallLimit(limit time.Duration) Option {
	return func(o *Orderer) { o.limit = limit }
}

// WithTries sets the number of attempts that a call may take.
func WithTries(tries int) Option {
	return func(o *Orderer) { o.tries = tries }
}

// New returns the filter on the control goroutine.
func New(control *executor.Executor, timers *timer.Service, options ...Option) *Orderer {
	o := &Orderer{control: control, timers: timers, limit: 5 * time.Minute, tries: 3}
	for _, option := range options {
		option(o)
	}
	return o
}

// Serve lets a call go on, replays the answer of an earlier one, or refuses it.
// A call that goes on is finished even if its caller leaves: the caller may
// repeat it and join.
func (o *Orderer) Serve(ctx context.Context, x *chain.Exchange, next chain.Handler) error {
	call, ok := x.Request.(request.Call)
	if !ok {
		return failure.New(failure.Internal, "request type %T is not a call; report this", x.Request)
	}
	if err := o.prepare(x, call); err != nil {
		return err
	}
	reply, err := o.control.Ask(ctx, func(t ident.Ticket) message.Message {
		return message.CallArrived{
			Ticket:     t,
			Program:    call.Program,
			Team:       x.Account.Team,
			Request:    call.Request,
			BodyHash:   bodyHash(call.Request),
			Repeatable: x.Repeatable,
			Engine:     x.Pool.Kind == configuration.EnginePool,
			First:      call.First,
		}
	})
	if err != nil {
		return err
	}
	switch reply := reply.(type) {
	case outcome.Replay:
		return x.Sink.End(chain.End{Call: call.Call, Attempt: reply.Attempt, Answer: reply.Answer})
	case outcome.Run:
		x.Run = reply
		return o.run(ctx, x, call, next)
	}
	return failure.New(failure.Internal, "unexpected outcome %T; report this", reply)
}

// prepare checks that new work may start and finds the call's pool.
func (o *Orderer) prepare(x *chain.Exchange, call request.Call) error {
	view := o.control.Snapshot()
	if view.Configuration == nil || !o.timers.Now().Before(view.ConfigurationUntil) {
		err := failure.New(failure.ConfigurationStale, "this VM can't know whether its configuration is current; repeat the call with the same call id")
		err.NotRun, err.RetryAfter = call.First, time.Second
		return err
	}
	pool, ok := view.Configuration.Pool(call.Pool)
	if !ok {
		err := failure.New(failure.InvalidRequest, "there is no pool %q; use one of the configuration", call.Pool)
		err.NotRun = call.First
		return err
	}
	x.Pool = pool
	x.Repeatable = pool.Repeatable(call.Operation)
	return nil
}

// run passes a call on until an attempt gives an answer, or may not be repeated.
func (o *Orderer) run(ctx context.Context, x *chain.Exchange, call request.Call, next chain.Handler) error {
	limited, cancel := context.WithTimeout(context.WithoutCancel(ctx), o.limit)
	defer cancel()
	sink := x.Sink
	x.Sink = &tolerantSink{sink: sink}
	defer func() { x.Sink = sink }()
	for try := 1; ; try++ {
		err := next(limited, x)
		if err == nil {
			return nil
		}
		if _, interrupted := x.Result.(chain.Interrupted); !interrupted || try == o.tries {
			return o.giveUp(x, call, err)
		}
		if err := o.retry(limited, x); err != nil {
			return err
		}
	}
}

// retry charges an interrupted attempt and starts the next.
func (o *Orderer) retry(ctx context.Context, x *chain.Exchange) error {
	reply, err := o.control.Ask(ctx, func(t ident.Ticket) message.Message {
		return message.CallRetried{
			Ticket:    t,
			AttemptID: x.Attempt(),
			Upstream:  x.Granted.Upstream.ID,
			Usage:     x.Answer.Usage,
		}
	})
	if err != nil {
		failed := *failure.From(err)
		failed.NotRun = false
		if failed.Kind == failure.NotOwner {
			// The locate filter takes not_owner as a sign that nothing ran.
			failed.Kind = failure.NotDurable
		}
		return &failed
	}
	run, ok := reply.(outcome.Run)
	if !ok {
		return failure.New(failure.Internal, "unexpected outcome %T; report this", reply)
	}
	x.Run, x.Dispatched, x.Result, x.Answer = run, false, nil, record.Answer{}
	x.Avoid = append(x.Avoid, x.Granted.Upstream.ID)
	if x.Chunks == 0 {
		return nil
	}
	x.Chunks = 0
	return x.Sink.Void()
}

// giveUp reports to the control goroutine how a call ended without an answer.
func (o *Orderer) giveUp(x *chain.Exchange, call request.Call, err error) error {
	failed := *failure.From(err)
	if !x.Dispatched {
		// Beyond the lease, the caller may have repeated the call at another node
		// that has run it by now.
		failed.NotRun = x.Run.Fresh && o.control.Snapshot().Holds(call.Program, x.Run.Epoch, o.timers.Now())
		o.control.Post(message.CallWithdrawn{AttemptID: x.Attempt(), Err: &failed})
		return &failed
	}
	failed.NotRun = false
	o.control.Post(message.CallFailed{
		AttemptID: x.Attempt(),
		Upstream:  x.Granted.Upstream.ID,
		Usage:     x.Answer.Usage,
		Withheld:  x.Withheld,
		Err:       &failed,
	})
	return &failed
}

// bodyHash covers everything that makes two calls with one id different.
func bodyHash(r record.Request) uint64 {
	return xxhash.Sum64String(string(r.Pool) + "\x00" + string(r.Operation) + "\x00" + r.Body)
}
