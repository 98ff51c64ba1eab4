// Package admitter has the filter that obtains the use of an upstream for a
// call, and that tries another upstream if one declines it.
package admitter

import (
	"context"
	"slices"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/chain"
	"github.com/sassafrasspur/sassafrasspur/internal/configuration"
	"github.com/sassafrasspur/sassafrasspur/internal/executor"
	"github.com/sassafrasspur/sassafrasspur/internal/failure"
	"github.com/sassafrasspur/sassafrasspur/internal/message"
	"github.com/sassafrasspur/sassafrasspur/internal/outcome"
	"github.com/sassafrasspur/sassafrasspur/internal/request"
	"github.com/sassafrasspur/sassafrasspur/internal/timer"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

// Admitter asks the control goroutine for grants.
type Admitter struct {
	control *executor.Executor
	timers  *timer.Service
	tries   int
}

// Option changes how New builds an Admitter.
type Option func(*Admitter)

// WithTries sets the number of upstreams that one attempt of a call may try.
func WithTries(tries int) Option {
	return func(a *Admitter) { a.tries = tries }
}

// New returns the filter on the control goroutine.
func New(control *executor.Executor, timers *timer.Service, options ...Option) *Admitter {
	a := &Admitter{control: control, timers: timers, tries: 3}
	for _, option := range options {
		option(a)
	}
	return a
}

// Serve gives the call an upstream and goes on. If the upstream declined the
// call, which then certainly did not run, the next upstream is tried.
func (a *Admitter) Serve(ctx context.Context, x *chain.Exchange, next chain.Handler) error {
	call, ok := x.Request.(request.Call)
	if !ok {
		return failure.New(failure.Internal, "request type %T is not a call; report this", x.Request)
	}
	wanted := a.wanted(x, call)
	for try := 1; ; try++ {
		if err := a.obtain(ctx, x, wanted); err != nil {
			return err
		}
		err := next(ctx, x)
		a.control.Post(returned(x, err))
		if _, declined := x.Result.(chain.Declined); !declined || err == nil || try == a.tries {
			return err
		}
		wanted.Retry = true
		wanted.Avoid = append(wanted.Avoid, x.Granted.Upstream.ID)
	}
}

func (a *Admitter) wanted(x *chain.Exchange, call request.Call) message.GrantRequested {
	wanted := message.GrantRequested{
		Program:    call.Program,
		Team:       x.Account.Team,
		Class:      x.Run.Class,
		Pool:       call.Pool,
		Served:     x.Run.Served,
		Repeatable: x.Repeatable,
		Enqueued:   a.timers.Now(),
		Avoid:      slices.Clone(x.Avoid),
		Retry:      len(x.Avoid) > 0,
	}
	if x.Pool.Kind == configuration.EnginePool {
		wanted.Prompt = x.Run.HistoryTokens + unit.Tokens(len(call.Body)/bytesPerToken)
		wanted.Output = call.MaxTokens
		wanted.Residents = x.Run.Residents
	}
	return wanted
}

// bytesPerToken is the usual length of a token; it is used for estimates only.
const bytesPerToken = 4

func (a *Admitter) obtain(ctx context.Context, x *chain.Exchange, wanted message.GrantRequested) error {
	asked := a.timers.Now()
	defer func() { x.Queued += a.timers.Now().Sub(asked) }()
	reply, err := a.control.Ask(ctx, func(t ident.Ticket) message.Message {
		wanted.Ticket = t
		return wanted
	})
	if err != nil {
		return err
	}
	granted, ok := reply.(outcome.Granted)
	if !ok {
		return failure.New(failure.Internal, "unexpected outcome %T; report this", reply)
	}
	x.Granted, x.Result = granted, nil
	x.FirstByte, x.Duration = 0, 0
	return nil
}

func returned(x *chain.Exchange, err error) message.GrantReturned {
	m := message.GrantReturned{
		Grant:     x.Granted.Grant,
		Upstream:  x.Granted.Upstream.ID,
		Duration:  x.Duration,
		FirstByte: x.FirstByte,
		Usage:     x.Answer.Usage,
		Failed:    err != nil,
	}
	if declined, ok := x.Result.(chain.Declined); ok {
		m.Leaving = declined.Leaving
	}
	return m
}
