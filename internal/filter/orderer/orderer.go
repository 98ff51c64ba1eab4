// Package orderer has the filter that runs the calls of a program one after the
// other, each within the budget.
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

// recordTimeout bounds the wait until the end of an attempt is recorded. After it,
// recording continues in the background, so that the caller can send its next call.
const recordTimeout = time.Second

// Programs stores the records of programs.
type Programs interface {
	Do(ctx context.Context, r sequencer.Request) (outcome.Outcome, error)
	// RecordInBackground retries in the background a request that could not be recorded
	// in time.
	RecordInBackground(r sequencer.Request)
}

// Orderer serializes the calls of each program.
type Orderer struct {
	programs    Programs
	view        func() *snapshot.Snapshot
	timers      *timer.Service
	callLimit   time.Duration
	maxAttempts int
}

// Option configures an Orderer.
type Option func(*Orderer)

// WithCallLimit bounds both the time that a call waits to be started and the time
// that it may run once started.
func WithCallLimit(callLimit time.Duration) Option {
	return func(o *Orderer) { o.callLimit = callLimit }
}

// WithMaxAttempts sets how many attempts a call may take.
func WithMaxAttempts(maxAttempts int) Option {
	return func(o *Orderer) { o.maxAttempts = maxAttempts }
}

// New returns the filter.
func New(programs Programs, view func() *snapshot.Snapshot, timers *timer.Service, options ...Option) *Orderer {
	o := &Orderer{programs: programs, view: view, timers: timers, callLimit: 5 * time.Minute, maxAttempts: 3}
	for _, option := range options {
		option(o)
	}
	return o
}

// Serve runs a call, replays the recorded answer of an earlier one, or refuses it. A
// started call is completed even if its caller disconnects: the caller may repeat
// the call and then receives the same answer.
func (o *Orderer) Serve(ctx context.Context, x *chain.Exchange, next chain.Handler) error {
	call, ok := x.Request.(request.Call)
	if !ok {
		return failure.New(failure.Internal, "request type %T is not a call; report this", x.Request)
	}
	if err := o.prepare(x, call); err != nil {
		return err
	}
	waitCtx, cancel := context.WithTimeout(ctx, o.callLimit)
	defer cancel()
	replayed, err := o.start(waitCtx, x, call)
	if err != nil || replayed {
		return err
	}
	return o.run(ctx, x, call, next)
}

// start requests permission to run the call. It reports true if a recorded answer
// was replayed instead.
func (o *Orderer) start(ctx context.Context, x *chain.Exchange, call request.Call) (bool, error) {
	reply, err := o.programs.Do(ctx, sequencer.Submit{
		Program:         call.Program,
		Team:            x.Account.Team,
		Request:         call.Request,
		BodyHash:        bodyHash(call.Request),
		Repeatable:      x.Repeatable,
		Engine:          x.Pool.Kind == configuration.EnginePool,
		FirstSubmission: call.FirstSubmission && x.Run.Attempt == 0,
	})
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		timeoutErr := failure.New(failure.TimedOut, "call %s did not start in time; repeat the call with the same call id", call.Call)
		timeoutErr.RetryAfter = time.Second
		return false, timeoutErr
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

// prepare checks that this VM may start new work, and sets the pool of the call.
func (o *Orderer) prepare(x *chain.Exchange, call request.Call) error {
	view := o.view()
	if !view.Entry.Enrolled {
		err := failure.New(failure.PlatformUnavailable, "this VM is not listed by the platform yet; repeat the call with the same call id")
		err.NotRun, err.RetryAfter = call.FirstSubmission, time.Second
		return err
	}
	if view.Configuration == nil || !o.timers.Now().Before(view.ConfigurationFreshUntil) {
		err := failure.New(failure.ConfigurationStale, "the configuration of this VM may be stale; repeat the call with the same call id")
		err.NotRun, err.RetryAfter = call.FirstSubmission, time.Second
		return err
	}
	pool, ok := view.Configuration.Pool(call.Pool)
	if !ok {
		err := failure.New(failure.InvalidRequest, "there is no pool %q; use one of the configuration", call.Pool)
		err.NotRun = call.FirstSubmission
		return err
	}
	x.Pool = pool
	x.Repeatable = pool.Repeatable(call.Operation)
	return nil
}

// run passes a call on until an attempt succeeds or no further attempt is allowed.
func (o *Orderer) run(ctx context.Context, x *chain.Exchange, call request.Call, next chain.Handler) error {
	runCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), o.callLimit)
	defer cancel()
	sink := x.Sink
	x.Sink = &tolerantSink{sink: sink}
	defer func() { x.Sink = sink }()
	for try := 1; ; try++ {
		err := next(runCtx, x)
		if err == nil {
			return nil
		}
		if x.Settling {
			return err
		}
		_, interrupted := x.Result.(chain.Interrupted)
		failed := o.recordFailure(ctx, x, err)
		if !interrupted || try == o.maxAttempts {
			return failed
		}
		if err := o.resetAttempt(x); err != nil {
			return err
		}
		replayed, err := o.start(runCtx, x, call)
		if err != nil {
			notStarted := *failure.From(err)
			notStarted.NotRun = false
			return &notStarted
		}
		if replayed {
			return nil
		}
	}
}

// resetAttempt clears the state of an interrupted attempt before the next one.
func (o *Orderer) resetAttempt(x *chain.Exchange) error {
	x.Avoid = append(x.Avoid, x.Granted.Upstream.ID)
	x.Dispatched, x.Result, x.Answer = false, nil, record.Answer{}
	if x.Chunks == 0 {
		return nil
	}
	x.Chunks = 0
	return x.Sink.Void()
}

// recordFailure records that an attempt ended without an answer, and returns the
// error for the caller.
func (o *Orderer) recordFailure(ctx context.Context, x *chain.Exchange, err error) error {
	attemptEnd := sequencer.Fail{AttemptID: x.Attempt(), Dispatched: x.Dispatched}
	if x.Dispatched {
		attemptEnd.Upstream, attemptEnd.Usage = x.Granted.Upstream.ID, x.Answer.Usage
	}
	if x.Pool.Kind != configuration.EnginePool {
		attemptEnd.Upstream = ""
	}
	recordCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), recordTimeout)
	defer cancel()
	_, recordErr := o.programs.Do(recordCtx, attemptEnd)
	if recordErr != nil && !failure.Is(recordErr, failure.NotDurable) {
		o.programs.RecordInBackground(attemptEnd)
	}
	failed := *failure.From(err)
	// Until the end is recorded, another VM may take over the call and run it.
	failed.NotRun = !x.Dispatched && x.Run.FirstAttempt && recordErr == nil
	return &failed
}

// bodyHash hashes the fields in which two calls with the same id must not differ.
func bodyHash(r record.Request) uint64 {
	return xxhash.Sum64String(string(r.Pool) + "\x00" + string(r.Operation) + "\x00" + r.Body)
}
