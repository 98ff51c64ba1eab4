// Package reporter has the filter that logs and measures how each exchange
// ended, with the decisions that led there.
package reporter

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"github.com/sassafrasspur/sassafrasspur/internal/failure"
	"github.com/sassafrasspur/sassafrasspur/internal/routing"
	"github.com/sassafrasspur/sassafrasspur/internal/timer"
	"github.com/sassafrasspur/sassafrasspur/internal/traffic"
)

// Meter receives the measurements.
type Meter interface {
	// ObserveExchange counts an exchange with its route's class and outcome. A
	// first event of 0 is not observed.
	ObserveExchange(class, outcome string, first, whole time.Duration)
}

// Reporter logs and measures.
type Reporter struct {
	log    zerolog.Logger
	meter  Meter
	timers *timer.Service
}

// New returns the filter.
func New(log zerolog.Logger, meter Meter, timers *timer.Service) *Reporter {
	return &Reporter{log: log, meter: meter, timers: timers}
}

// Serve reports after the exchange has ended.
func (r *Reporter) Serve(ctx context.Context, x *traffic.Exchange, next traffic.Handler) error {
	err := next(ctx, x)
	whole := r.timers.Now().Sub(x.Arrived)
	outcome := "answered"
	line := r.log.Info()
	if known := failure.From(err); known != nil {
		outcome = string(known.Kind)
		line = r.log.Warn().Bool("not_run", known.NotRun).Dur("retry_after_ms", known.RetryAfter).Str("reason", known.Message)
	}
	left := ctx.Err() != nil
	line.Str("request", string(x.Request.ID)).Str("outcome", outcome).Int("status", x.Trace.Status).
		Bool("caller_left", left).Dur("took_ms", whole)
	r.describe(line, x)
	line.Msg("request ended")
	r.meter.ObserveExchange(class(x), outcome, x.Trace.FirstEvent, whole)
	return err
}

// describe adds the inputs of the decisions on an exchange.
func (r *Reporter) describe(line *zerolog.Event, x *traffic.Exchange) {
	if x.Route != nil {
		line.Str("route", string(x.Route.ID)).Uint64("routes_version", uint64(x.Table.Version)).Str("pool", string(x.Pool))
	}
	if p := x.Request.Program; p != nil {
		line.Str("program", string(p.ID)).Int64("budget", int64(p.Budget)).Dur("program_left_ms", p.Left)
		if p.Previous != "" {
			line.Str("previous", string(p.Previous))
		}
	}
	t := x.Trace
	for i, id := range t.Upstreams {
		if i == 0 {
			line.Str("upstream", string(id))
			continue
		}
		line.Str("next_upstream", string(id))
	}
	if len(t.Failures) > 0 {
		line.Strs("failures", t.Failures)
	}
	line.Int("refusals", t.Refusals).Int("events", t.Events).Dur("upstreams_age_ms", t.ViewAge)
	if t.Reserved > 0 {
		line.Dur("reserved_ms", t.Reserved).Str("budget_holder", string(t.Holder))
	}
	if t.FirstEvent > 0 {
		line.Dur("first_event_ms", t.FirstEvent)
	}
	if t.Kept > 0 {
		line.Dur("kept_ms", t.Kept)
	}
}

// class names the kind of request of a histogram.
func class(x *traffic.Exchange) string {
	if x.Route == nil {
		return "none"
	}
	switch k := x.Route.Kind.(type) {
	case routing.Stream:
		if k.Retained {
			return "retained_turn"
		}
		return "stream"
	case routing.Idempotent:
		return "idempotent"
	case routing.NonIdempotent:
		return "non_idempotent"
	}
	return "none"
}
