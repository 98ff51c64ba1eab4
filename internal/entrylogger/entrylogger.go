// Package entrylogger logs what changes an entry VM's belief: routes, the
// configuration, upstreams, other VMs, and the loss and return of the platform's
// store.
//
// It sees each message after the controllers. The controllers know nothing of
// it.
package entrylogger

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/message"
	"github.com/sassafrasspur/sassafrasspur/internal/snapshot"
	"github.com/sassafrasspur/sassafrasspur/internal/upstream"
)

// Meter receives the measurements.
type Meter interface {
	ObserveControlLoop(time.Duration)
}

// Entrylogger watches the control goroutine, which is the only one to call it.
type Entrylogger struct {
	log   zerolog.Logger
	meter Meter

	upstreams map[ident.UpstreamID]upstream.Upstream
	// lostAt is when the first of a row of failed reads was sent, zero if the
	// last read succeeded.
	lostAt time.Time
}

// New returns an Entrylogger.
func New(log zerolog.Logger, meter Meter) *Entrylogger {
	return &Entrylogger{log: log, meter: meter, upstreams: map[ident.UpstreamID]upstream.Upstream{}}
}

// Handled logs a message that changed a belief.
func (e *Entrylogger) Handled(now time.Time, m message.Message, took time.Duration) {
	e.meter.ObserveControlLoop(took)
	switch m := m.(type) {
	case message.RoutesChanged:
		e.log.Info().Uint64("version", uint64(m.Table.Version)).Dur("age_ms", now.Sub(m.AsOf)).Msg("routes in force")
	case message.ConfigurationRead:
		e.log.Info().Uint64("version", uint64(m.Configuration.Version)).Str("plan", string(m.Configuration.Plan)).
			Dur("age_ms", now.Sub(m.StartedAt)).Msg("configuration in force")
	case message.UpstreamsRead:
		e.compare(now, m)
	case message.RowsRead:
		e.reached(now, m.SentAt, m.Err)
	case message.RowsChanged:
		e.reached(now, m.SentAt, m.Err)
	case message.RowsWritten:
		if m.Err != nil {
			e.log.Warn().Err(m.Err).Msg("row of this VM not written")
		}
	}
}

// compare logs how the list of upstreams changed.
func (e *Entrylogger) compare(now time.Time, m message.UpstreamsRead) {
	listed := make(map[ident.UpstreamID]upstream.Upstream, len(m.Upstreams))
	for _, u := range m.Upstreams {
		listed[u.ID] = u
		before, known := e.upstreams[u.ID]
		switch {
		case !known:
			e.upstream(now, m, u).Msg("upstream listed")
		case before.Leaving != u.Leaving || before.Address != u.Address || before.Pool != u.Pool:
			e.upstream(now, m, u).Msg("upstream changed")
		}
	}
	for id, u := range e.upstreams {
		if _, ok := listed[id]; !ok {
			e.upstream(now, m, u).Msg("upstream gone")
		}
	}
	e.upstreams = listed
}

func (e *Entrylogger) upstream(now time.Time, m message.UpstreamsRead, u upstream.Upstream) *zerolog.Event {
	return e.log.Info().Str("upstream", string(u.ID)).Str("pool", string(u.Pool)).Str("address", u.Address).
		Bool("leaving", u.Leaving).Dur("age_ms", now.Sub(m.AsOf))
}

// reached logs the loss and the return of the store.
func (e *Entrylogger) reached(now, sent time.Time, err error) {
	switch {
	case err != nil && e.lostAt.IsZero():
		e.lostAt = sent
		e.log.Warn().Err(err).Msg("store lost")
	case err == nil && !e.lostAt.IsZero():
		e.log.Info().Dur("duration_ms", now.Sub(e.lostAt)).Msg("store regained")
		e.lostAt = time.Time{}
	}
}

// Published logs a change of the entry VMs that serve callers.
func (e *Entrylogger) Published(before, after *snapshot.Snapshot) {
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
