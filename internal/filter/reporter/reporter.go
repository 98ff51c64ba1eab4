// Package reporter has the filter that logs and measures the outcome of each
// exchange, together with the decisions that led to it.
package reporter

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/failure"
	"github.com/sassafrasspur/sassafrasspur/internal/routing"
	"github.com/sassafrasspur/sassafrasspur/internal/timer"
	"github.com/sassafrasspur/sassafrasspur/internal/traffic"
	"github.com/sassafrasspur/sassafrasspur/internal/upstream"
)

// Meter records metrics of exchanges.
type Meter interface {
	// ObserveExchange records an exchange under the class of its route and its
	// outcome. The time to the first event is not observed if first is 0.
	ObserveExchange(class, outcome string, first, totalTime time.Duration)
	// ObserveAccount records the outcome of an exchange of a client account.
	ObserveAccount(account ident.AccountID, outcome string)
	// CountPlacement counts an exchange by the basis on which its upstream was chosen.
	// moved is true if its program left the engine that was remembered.
	CountPlacement(basis upstream.Basis, moved bool)
}

// Reporter logs and measures exchanges.
type Reporter struct {
	log    zerolog.Logger
	meter  Meter
	timers *timer.Service
}

// New returns the filter.
func New(log zerolog.Logger, meter Meter, timers *timer.Service) *Reporter {
	return &Reporter{log: log, meter: meter, timers: timers}
}

// Serve passes the exchange on and reports its outcome.
func (r *Reporter) Serve(ctx context.Context, x *traffic.Exchange, next traffic.Handler) error {
	err := next(ctx, x)
	totalTime := r.timers.Now().Sub(x.Arrived)
	outcome := "answered"
	line := r.log.Info()
	if known := failure.From(err); known != nil {
		outcome = string(known.Kind)
		line = r.log.Warn().Bool("not_run", known.NotRun).Dur("retry_after_ms", known.RetryAfter).Str("reason", known.Message)
	}
	callerLeft := ctx.Err() != nil
	line.Str("request", string(x.Request.ID)).Str("outcome", outcome).Int("status", x.Trace.Status).
		Bool("caller_left", callerLeft).Dur("took_ms", totalTime)
	r.describe(line, x)
	if len(x.Trace.Failures) > 0 || failure.Is(err, failure.Quarantined) {
		line.Str("fingerprint", string(x.Fingerprint())).Str("target_fingerprint", string(x.TargetFingerprint()))
	}
	line.Msg("request ended")
	r.meter.ObserveExchange(class(x), outcome, x.Trace.FirstEvent, totalTime)
	if x.AccountsListed {
		r.meter.ObserveAccount(x.AccountID(), outcome)
	}
	if x.Trace.Basis != "" {
		_, moved := leftEngine(x)
		r.meter.CountPlacement(x.Trace.Basis, moved)
	}
	return err
}

// describe adds the decisions on an exchange and their inputs to a log line.
func (r *Reporter) describe(line *zerolog.Event, x *traffic.Exchange) {
	if x.Route != nil {
		line.Str("route", string(x.Route.ID)).Uint64("routes_version", uint64(x.Table.Version)).Str("pool", string(x.Pool))
	}
	if x.AccountsListed {
		line.Str("account", string(x.AccountID())).Dur("configuration_age_ms", x.Trace.ConfigurationAge)
	}
	if p := x.Request.Program; p != nil {
		line.Str("program", string(p.ID)).Int64("budget", int64(p.Budget)).Dur("program_left_ms", p.TimeLeft)
		if p.Previous != "" {
			line.Str("previous", string(p.Previous))
		}
	}
	t := x.Trace
	if t.Basis != "" {
		line.Str("upstream_basis", string(t.Basis))
	}
	if left, moved := leftEngine(x); moved {
		line.Str("left_upstream", string(left))
	}
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
	line.Int("refusals", t.Refusals).Int("events", t.Events).Dur("upstreams_age_ms", t.ListAge)
	if t.UpstreamLimit > 0 {
		line.Float64("upstream_limit_per_s", float64(t.UpstreamLimit))
	}
	if t.PrepareDuration > 0 {
		line.Dur("reserved_ms", t.PrepareDuration).Str("budget_holder", string(t.Holder))
	}
	if t.FirstEvent > 0 {
		line.Dur("first_event_ms", t.FirstEvent)
	}
	if t.StoreDuration > 0 {
		line.Dur("kept_ms", t.StoreDuration)
	}
	if t.Shed != nil {
		describeShed(line, *t.Shed)
	}
}

// describeShed adds the figures that decided on a refusal for load.
func describeShed(line *zerolog.Event, s traffic.Shed) {
	line.Str("shed", s.Reason).Int("priority", s.Priority).Str("account", string(s.Account)).
		Float64("rank", float64(s.Rank)).Float64("level", float64(s.Load.Level)).Float64("account_excess", float64(s.Excess)).
		Dur("left_ms", s.TimeLeft).Dur("program_use_left_ms", s.ProgramTimeLeft).Dur("estimate_ms", s.Estimate).
		Int("pool_in_flight", s.Load.InFlight).Float64("pool_slots", s.Load.Slots).Float64("pool_occupancy", float64(s.Load.Occupancy)).
		Float64("pool_delay_targets", float64(s.Load.RelativeDelay)).Float64("pool_refused_share", float64(s.Load.RefusedShare)).
		Float64("pool_calls_per_s", float64(s.Load.CallsPerSecond)).Float64("pool_tokens_per_s", s.Load.TokensPerSecond).
		Dur("evidence_age_ms", s.LoadAge)
}

// leftEngine returns the remembered engine of the exchange's program if the request was
// first sent to another one.
func leftEngine(x *traffic.Exchange) (ident.UpstreamID, bool) {
	remembered, ok := x.Placement.(traffic.RememberedEngine)
	if !ok || len(x.Trace.Upstreams) == 0 || x.Trace.Upstreams[0] == remembered.ID {
		return "", false
	}
	return remembered.ID, true
}

// class returns the label under which metrics group the exchange.
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
