// Package admitter has the filter that obtains a grant to use an upstream for a
// call, and that tries another upstream if one declines the call.
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

// Admitter requests grants from the control goroutine.
type Admitter struct {
	control      *executor.Executor
	timers       *timer.Service
	maxUpstreams int
}

// Option configures an Admitter.
type Option func(*Admitter)

// WithMaxUpstreams sets how many upstreams one attempt of a call may try.
func WithMaxUpstreams(maxUpstreams int) Option {
	return func(a *Admitter) { a.maxUpstreams = maxUpstreams }
}

// New returns the filter. Grants are requested from control.
func New(control *executor.Executor, timers *timer.Service, options ...Option) *Admitter {
	a := &Admitter{control: control, timers: timers, maxUpstreams: 3}
	for _, option := range options {
		option(a)
	}
	return a
}

// Serve obtains a grant for an upstream and passes the call on. If the upstream
// declined the call, which then certainly did not run, another upstream is tried.
func (a *Admitter) Serve(ctx context.Context, x *chain.Exchange, next chain.Handler) error {
	call, ok := x.Request.(request.Call)
	if !ok {
		return failure.New(failure.Internal, "request type %T is not a call; report this", x.Request)
	}
	grantRequest := a.grantRequest(x, call)
	for try := 1; ; try++ {
		if err := a.obtainGrant(ctx, x, grantRequest); err != nil {
			return err
		}
		err := next(ctx, x)
		a.control.Post(grantReturned(x, err))
		if _, declined := x.Result.(chain.Declined); !declined || err == nil || try == a.maxUpstreams {
			return err
		}
		grantRequest.Retry = true
		grantRequest.Avoid = append(grantRequest.Avoid, x.Granted.Upstream.ID)
	}
}

func (a *Admitter) grantRequest(x *chain.Exchange, call request.Call) message.GrantRequested {
	grantRequest := message.GrantRequested{
		Program:         call.Program,
		Team:            x.Account.Team,
		Class:           x.Run.Class,
		Pool:            call.Pool,
		AttainedService: x.Run.AttainedService,
		Repeatable:      x.Repeatable,
		Enqueued:        a.timers.Now(),
		Avoid:           slices.Clone(x.Avoid),
		Retry:           len(x.Avoid) > 0,
	}
	if x.Pool.Kind == configuration.EnginePool {
		grantRequest.Prompt = x.Run.HistoryTokens + unit.Tokens(len(call.Body)/bytesPerToken)
		grantRequest.Output = call.MaxTokens
		grantRequest.CachedTokens = x.Run.CachedTokens
	}
	return grantRequest
}

// bytesPerToken is the typical length of a token; it is used for estimates only.
const bytesPerToken = 4

func (a *Admitter) obtainGrant(ctx context.Context, x *chain.Exchange, grantRequest message.GrantRequested) error {
	requested := a.timers.Now()
	defer func() { x.Queued += a.timers.Now().Sub(requested) }()
	reply, err := a.control.Ask(ctx, func(t ident.Ticket) message.Message {
		grantRequest.Ticket = t
		return grantRequest
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

func grantReturned(x *chain.Exchange, err error) message.GrantReturned {
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
