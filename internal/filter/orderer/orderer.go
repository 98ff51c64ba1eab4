// Package orderer has the filter that lets the calls of a program run one after
// the other, each within the budget.
package orderer

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"github.com/sassafrasspur/sassafrasspur/internal/chain"
	"github.com/sassafrasspur/sassafrasspur/internal/configuration"
	"github.com/sassafrasspur/sassafrasspur/internal/failure"
	"github.com/sassafrasspur/sassafrasspur/internal/outcome"
	"github.com/sassafrasspur/sassafrasspur/internal/record"
	"github.com/sassafrasspur/sassafrasspur/internal/request"
	"github.com/sassafrasspur/sassafrasspur/internal/sequencer"
	"github.com/sassafrasspur/sassafrasspur/internal/snapshot"
	"github.com/sassafrasspur/sassafrasspur/internal/timer"
)

// recordWait bounds the wait for the record of an attempt's end, after which it
// is recorded in the background: the caller may send its next call at once.
const recordWait = time.Second

// Programs keeps the records of programs.
type Programs interface {
	Do(ctx context.Context, r sequencer.Request) (outcome.Outcome, error)
	// Settle records what could not be recorded in time.
	Settle(r sequencer.Request)
}

// Orderer lets calls run.
type Orderer struct {
	programs Programs
	view     func() *snapshot.Snapshot
	timers   *timer.Service
	limit    time.Duration
	tries    int
}

// Option changes how New builds an Orderer.
type Option func(*Orderer)

// WithCallLimit sets the longest time that a call may take once it was let run,
// and that another call is waited for.
func WithCallLimit(limit time.Duration) Option {
	return func(o *Orderer) { o.limit = limit }
}

// WithTries sets the number of attempts that a request may take.
func WithTries(tries int) Option {
	return func(o *Orderer) { o.tries = tries }
}

// New returns the filter.
func New(programs Programs, view func() *snapshot.Snapshot, timers *timer.Service, options ...Option) *Orderer {
	o := &Orderer{programs: programs, view: view, timers: timers, limit: 5 * time.Minute, tries: 3}
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
	waiting, cancel := context.WithTimeout(ctx, o.limit)
	defer cancel()
	replayed, err := o.start(waiting, x, call)
	if err != nil || replayed {
		return err
	}
	return o.run(ctx, x, call, next)
}

// start asks for leave to run the call. It reports true if the call was answered
// by an earlier answer instead.
func (o *Orderer) start(ctx context.Context, x *chain.Exchange, call request.Call) (bool, error) {
	reply, err := o.programs.Do(ctx, sequencer.Arrive{
		Program:    call.Program,
		Team:       x.Account.Team,
		Request:    call.Request,
		BodyHash:   bodyHash(call.Request),
		Repeatable: x.Repeatable,
		Engine:     x.Pool.Kind == configuration.EnginePool,
		First:      call.First && x.Run.Attempt == 0,
	})
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		late := failure.New(failure.TimedOut, "call %s was waited for; repeat the call with the same call id", call.Call)
		late.RetryAfter = time.Second
		return false, late
	}
	if err != nil {
		return false, err
	}
	switch reply := reply.(type) {
	case outcome.Replay:
		return true, x.Sink.End(chain.End{Call: call.Call, Attempt: reply.Attempt, Answer: reply.Answer})
	case outcome.Run:
		x.Run = reply
		return false, nil
	}
	return false, failure.New(failure.Internal, "unexpected outcome %T; report this", reply)
}

// prepare checks that new work may start and finds the call's pool.
func (o *Orderer) prepare(x *chain.Exchange, call request.Call) error {
	view := o.view()
	if !view.Entry.Enrolled {
		err := failure.New(failure.PlatformUnavailable, "this VM is not listed by the platform yet; repeat the call with the same call id")
		err.NotRun, err.RetryAfter = call.First, time.Second
		return err
	}
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
		if x.Settling {
			return err
		}
		_, interrupted := x.Result.(chain.Interrupted)
		failed := o.fail(ctx, x, err)
		if !interrupted || try == o.tries {
			return failed
		}
		if err := o.void(x); err != nil {
			return err
		}
		replayed, err := o.start(limited, x, call)
		if err != nil {
			again := *failure.From(err)
			again.NotRun = false
			return &again
		}
		if replayed {
			return nil
		}
	}
}

// void prepares the next attempt after an interrupted one.
func (o *Orderer) void(x *chain.Exchange) error {
	x.Avoid = append(x.Avoid, x.Granted.Upstream.ID)
	x.Dispatched, x.Result, x.Answer = false, nil, record.Answer{}
	if x.Chunks == 0 {
		return nil
	}
	x.Chunks = 0
	return x.Sink.Void()
}

// fail records that an attempt ended without an answer, and returns what the
// caller is told.
func (o *Orderer) fail(ctx context.Context, x *chain.Exchange, err error) error {
	ended := sequencer.Fail{AttemptID: x.Attempt(), Dispatched: x.Dispatched}
	if x.Dispatched {
		ended.Upstream, ended.Usage = x.Granted.Upstream.ID, x.Answer.Usage
	}
	if x.Pool.Kind != configuration.EnginePool {
		ended.Upstream = ""
	}
	recording, cancel := context.WithTimeout(context.WithoutCancel(ctx), recordWait)
	defer cancel()
	_, unrecorded := o.programs.Do(recording, ended)
	if unrecorded != nil && !failure.Is(unrecorded, failure.NotDurable) {
		o.programs.Settle(ended)
	}
	failed := *failure.From(err)
	// Until the end is on record, another VM may take the call over and run it.
	failed.NotRun = !x.Dispatched && x.Run.Fresh && unrecorded == nil
	return &failed
}

// bodyHash covers everything that makes two calls with one id different.
func bodyHash(r record.Request) uint64 {
	return xxhash.Sum64String(string(r.Pool) + "\x00" + string(r.Operation) + "\x00" + r.Body)
}
