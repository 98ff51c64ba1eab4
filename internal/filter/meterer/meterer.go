// Package meterer has the filter that measures calls and logs how they ended.
package meterer

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

// Meter receives the measurements.
type Meter interface {
	ObserveCall(team ident.TeamID, class ident.Class, outcome meter.Outcome, queueing, firstToken, duration time.Duration)
	ObserveRecomputed(team ident.TeamID, class ident.Class, tokens unit.Tokens)
}

// Meterer measures calls.
type Meterer struct {
	meter  Meter
	log    *logger.Logger
	timers *timer.Service
}

// New returns the filter.
func New(m Meter, log *logger.Logger, timers *timer.Service) *Meterer {
	return &Meterer{meter: m, log: log, timers: timers}
}

// Serve measures a call from its arrival at this VM to its end.
func (m *Meterer) Serve(ctx context.Context, x *chain.Exchange, next chain.Handler) error {
	call, ok := x.Request.(request.Call)
	if !ok {
		return next(ctx, x)
	}
	inner := x.Sink
	s := &sink{Sink: inner, timers: m.timers, arrived: m.timers.Now()}
	x.Sink = s
	err := next(ctx, x)
	x.Sink = inner
	m.ended(x, call, s, err)
	return err
}

// ended measures and logs a call of which nothing more is sent.
func (m *Meterer) ended(x *chain.Exchange, call request.Call, s *sink, err error) {
	duration := m.timers.Now().Sub(s.arrived)
	m.meter.ObserveCall(x.Account.Team, x.Run.Class, result(x, err), x.Queued, s.first, duration)
	if recomputed := x.Run.HistoryTokens - x.Answer.Usage.CachedTokens; err == nil && x.Resident && recomputed > 0 {
		m.meter.ObserveRecomputed(x.Account.Team, x.Run.Class, recomputed)
	}
	line := m.log.Call(call.Call).Program(call.Program).Team(x.Account.Team).
		Attempt(max(x.Run.Attempt, s.end.Attempt)).Upstream(x.Granted.Upstream.ID).
		Duration("queueing", x.Queued).Duration("first_token", s.first).Duration("duration", duration)
	if err == nil {
		line.Kind(meter.Label(result(x, err))).Info("call ended")
		return
	}
	line.Failure(err).Warn("call ended")
}

// result classifies the end of a call. A replayed answer has no run here.
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

// sink notes when the first part of an answer and its end were sent.
type sink struct {
	chain.Sink
	timers  *timer.Service
	arrived time.Time
	first   time.Duration
	end     chain.End
}

// Chunk passes a part of the answer on.
func (s *sink) Chunk(index int, text string) error {
	if s.first == 0 {
		s.first = s.timers.Now().Sub(s.arrived)
	}
	return s.Sink.Chunk(index, text)
}

// End passes the end marker on.
func (s *sink) End(end chain.End) error {
	s.end = end
	return s.Sink.End(end)
}
