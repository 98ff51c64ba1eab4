// Package callreporter has the filter that measures calls and logs their outcome.
package callreporter

import (
	"context"
	"time"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/chain"
	"github.com/sassafrasspur/sassafrasspur/internal/failure"
	"github.com/sassafrasspur/sassafrasspur/internal/logger"
	"github.com/sassafrasspur/sassafrasspur/internal/meter"
	"github.com/sassafrasspur/sassafrasspur/internal/request"
	"github.com/sassafrasspur/sassafrasspur/internal/timer"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

// Meter records metrics of calls.
type Meter interface {
	ObserveCall(team ident.TeamID, class ident.Class, outcome meter.Outcome, queueing, firstToken, duration time.Duration)
	ObserveRecomputed(team ident.TeamID, class ident.Class, tokens unit.Tokens)
}

// Callreporter measures calls and logs their outcome.
type Callreporter struct {
	meter  Meter
	log    *logger.Logger
	timers *timer.Service
}

// New returns the filter.
func New(m Meter, log *logger.Logger, timers *timer.Service) *Callreporter {
	return &Callreporter{meter: m, log: log, timers: timers}
}

// Serve measures a call from its arrival at this VM to its end. Other requests are
// passed on unmeasured.
func (c *Callreporter) Serve(ctx context.Context, x *chain.Exchange, next chain.Handler) error {
	call, ok := x.Request.(request.Call)
	if !ok {
		return next(ctx, x)
	}
	inner := x.Sink
	s := &timingSink{Sink: inner, timers: c.timers, arrived: c.timers.Now()}
	x.Sink = s
	err := next(ctx, x)
	x.Sink = inner
	c.observeCall(x, call, s, err)
	return err
}

// observeCall records the metrics of an ended call and logs its outcome.
func (c *Callreporter) observeCall(x *chain.Exchange, call request.Call, s *timingSink, err error) {
	duration := c.timers.Now().Sub(s.arrived)
	c.meter.ObserveCall(x.Account.Team, x.Run.Class, result(x, err), x.Queued, s.firstChunk, duration)
	if recomputed := x.Run.HistoryTokens - x.Answer.Usage.CachedTokens; err == nil && x.Cached && recomputed > 0 {
		c.meter.ObserveRecomputed(x.Account.Team, x.Run.Class, recomputed)
	}
	line := c.log.Call(call.Call).Program(call.Program).Team(x.Account.Team).
		Attempt(max(x.Run.Attempt, s.end.Attempt)).Upstream(x.Granted.Upstream.ID).
		Duration("queueing", x.Queued).Duration("first_token", s.firstChunk).Duration("duration", duration)
	if err == nil {
		line.Kind(meter.Label(result(x, err))).Info("call ended")
		return
	}
	line.Failure(err).Warn("call ended")
}

// result classifies the outcome of a call. A call without an attempt on this VM was
// answered with a recorded answer.
func result(x *chain.Exchange, err error) meter.Outcome {
	switch {
	case err != nil:
		return meter.Failed{Kind: failure.From(err).Kind}
	case x.Run.Attempt == 0:
		return meter.Replayed{}
	default:
		return meter.Answered{}
	}
}

// timingSink records the time to the first chunk of an answer, and its end marker.
type timingSink struct {
	chain.Sink
	timers     *timer.Service
	arrived    time.Time
	firstChunk time.Duration
	end        chain.End
}

// Chunk forwards a chunk and records the time of the first one.
func (s *timingSink) Chunk(index int, text string) error {
	if s.firstChunk == 0 {
		s.firstChunk = s.timers.Now().Sub(s.arrived)
	}
	return s.Sink.Chunk(index, text)
}

// End records and forwards the end marker.
func (s *timingSink) End(end chain.End) error {
	s.end = end
	return s.Sink.End(end)
}
