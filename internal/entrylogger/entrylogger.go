// Package entrylogger logs changes to the state that an entry VM knows: routes,
// the configuration, upstreams, other entry VMs, and whether the platform's store
// can be reached.
//
// It observes each message after the controllers have handled it. The controllers
// do not depend on it.
package entrylogger

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/message"
	"github.com/sassafrasspur/sassafrasspur/internal/rows"
	"github.com/sassafrasspur/sassafrasspur/internal/snapshot"
	"github.com/sassafrasspur/sassafrasspur/internal/upstream"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

// Meter receives the durations of control loop iterations.
type Meter interface {
	ObserveControlLoop(time.Duration)
}

// Entrylogger logs the messages of the control loop. It must only be called from
// the control goroutine.
type Entrylogger struct {
	log   zerolog.Logger
	meter Meter

	upstreams map[ident.UpstreamID]upstream.Upstream
	limits    map[ident.UpstreamID]unit.Rate
	// storeLostAt is the time at which the first of consecutive failed reads was
	// sent. It is zero if the last read succeeded.
	storeLostAt time.Time
}

// New returns an Entrylogger.
func New(log zerolog.Logger, meter Meter) *Entrylogger {
	return &Entrylogger{log: log, meter: meter, upstreams: map[ident.UpstreamID]upstream.Upstream{}}
}

// Handled records the duration of a message's handling, and logs the message if
// it changed the known state.
func (e *Entrylogger) Handled(now time.Time, m message.Message, took time.Duration) {
	e.meter.ObserveControlLoop(took)
	switch m := m.(type) {
	case message.RoutesChanged:
		e.log.Info().Uint64("version", uint64(m.Table.Version)).Dur("age_ms", now.Sub(m.AsOf)).Msg("routes in force")
	case message.ConfigurationRead:
		e.log.Info().Uint64("version", uint64(m.Configuration.Version)).Str("plan", string(m.Configuration.Plan)).
			Dur("age_ms", now.Sub(m.StartedAt)).Msg("configuration in force")
	case message.UpstreamsRead:
		e.logUpstreamChanges(now, m)
	case message.RowsRead:
		e.logStoreState(now, m.SentAt, m.Err)
	case message.RowsChanged:
		e.logStoreState(now, m.SentAt, m.Err)
	case message.RowsWritten:
		if m.Err != nil {
			e.log.Warn().Err(m.Err).Str("table", writtenTable(m.Transaction)).Msg("row of this VM not written")
		}
	case message.UpstreamCrashed:
		e.log.Warn().Str("request", string(m.Request)).Str("fingerprint", string(m.Contents)).Str("target_fingerprint", string(m.Target)).Str("upstream", string(m.Upstream)).
			Msg("upstream crashed with a request")
	case message.TrialRequested:
		e.log.Info().Str("fingerprint", string(m.Fingerprint)).Msg("trial of a quarantined request")
	case message.UpstreamNoticed:
		if m.Notice.Leaving {
			e.log.Info().Str("upstream", string(m.Upstream)).Uint64("incarnation", uint64(m.Incarnation)).Msg("upstream says that it leaves")
		}
	case message.UpstreamLimitsChanged:
		e.logLimitChanges(m)
	}
}

// logUpstreamChanges logs the upstreams that were added, changed or removed.
func (e *Entrylogger) logUpstreamChanges(now time.Time, m message.UpstreamsRead) {
	listed := make(map[ident.UpstreamID]upstream.Upstream, len(m.Upstreams))
	for _, u := range m.Upstreams {
		listed[u.ID] = u
		before, listedBefore := e.upstreams[u.ID]
		switch {
		case !listedBefore:
			e.upstreamEvent(now, m, u).Msg("upstream listed")
		case before.Leaving != u.Leaving || before.Address != u.Address || before.Pool != u.Pool || before.Incarnation != u.Incarnation:
			e.upstreamEvent(now, m, u).Msg("upstream changed")
		}
	}
	for id, u := range e.upstreams {
		if _, ok := listed[id]; !ok {
			e.upstreamEvent(now, m, u).Msg("upstream gone")
		}
	}
	e.upstreams = listed
}

func (e *Entrylogger) upstreamEvent(now time.Time, m message.UpstreamsRead, u upstream.Upstream) *zerolog.Event {
	return e.log.Info().Str("upstream", string(u.ID)).Str("pool", string(u.Pool)).Str("address", u.Address).
		Uint64("incarnation", uint64(u.Incarnation)).Bool("leaving", u.Leaving).Dur("age_ms", now.Sub(m.AsOf))
}

// logLimitChanges logs the request limits that were added, changed or removed.
func (e *Entrylogger) logLimitChanges(m message.UpstreamLimitsChanged) {
	for id, limit := range m.Limits {
		if before := e.limits[id]; before != limit {
			e.limitEvent(id, before, limit)
		}
	}
	for id, before := range e.limits {
		if _, ok := m.Limits[id]; !ok {
			e.limitEvent(id, before, 0)
		}
	}
	e.limits = m.Limits
}

// limitEvent logs a change of the request limit of an upstream; 0 stands for no limit.
func (e *Entrylogger) limitEvent(id ident.UpstreamID, before, limit unit.Rate) {
	e.log.Info().Str("upstream", string(id)).Float64("before_per_s", float64(before)).Float64("limit_per_s", float64(limit)).
		Msg("request limit changed")
}

// writtenTable returns the table of the first row of a transaction.
func writtenTable(t rows.Transaction) string {
	for _, c := range t.Conditions {
		return string(c.Table)
	}
	return ""
}

// logStoreState logs transitions between failed and successful reads of the store.
func (e *Entrylogger) logStoreState(now, sentAt time.Time, err error) {
	switch {
	case err != nil && e.storeLostAt.IsZero():
		e.storeLostAt = sentAt
		e.log.Warn().Err(err).Msg("store lost")
	case err == nil && !e.storeLostAt.IsZero():
		e.log.Info().Dur("duration_ms", now.Sub(e.storeLostAt)).Msg("store regained")
		e.storeLostAt = time.Time{}
	}
}

// Published logs requests that are quarantined, and a change in the number of entry VMs
// that serve callers.
func (e *Entrylogger) Published(before, after *snapshot.Snapshot) {
	for f, suspect := range after.Entry.Suspects {
		if suspect.Quarantined && !before.Entry.Suspects[f].Quarantined {
			e.log.Warn().Str("fingerprint", string(f)).Int("upstreams", suspect.Crashes).Msg("request quarantined")
		}
	}
	e.logShortages(before.Entry.PoolLoads, after.Entry.PoolLoads)
	old, current := before.Entry.Members, after.Entry.Members
	if len(old) == len(current) {
		return
	}
	names := make([]string, 0, len(current))
	for _, m := range current {
		names = append(names, string(m.VM))
	}
	e.log.Info().Strs("members", names).Time("as_of", after.Entry.MembersAsOf).Msg("serving entry VMs changed")
}

// logShortages logs the pools in which shedding began or ended.
func (e *Entrylogger) logShortages(before, after map[ident.PoolID]snapshot.PoolLoad) {
	for id, load := range after {
		if _, known := before[id]; !known {
			e.log.Warn().Str("pool", string(id)).Int("in_flight", load.InFlight).Float64("slots", load.Slots).
				Float64("occupancy", float64(load.Occupancy)).Float64("delay_targets", float64(load.RelativeDelay)).
				Float64("refused_share", float64(load.RefusedShare)).Float64("calls_per_s", float64(load.CallsPerSecond)).
				Float64("tokens_per_s", load.TokensPerSecond).Dur("upstreams_age_ms", load.AsOf.Sub(load.UpstreamsAsOf)).
				Dur("members_age_ms", load.AsOf.Sub(load.MembersAsOf)).Msg("pool short of capacity")
		}
	}
	for id := range before {
		if _, short := after[id]; !short {
			e.log.Info().Str("pool", string(id)).Msg("pool has capacity again")
		}
	}
}
