// Package discoverer has the controller that maintains the list of upstreams.
//
// It reads the whole list periodically, so that no change can be lost. In a large
// failure domain one VM reads the list, and the others ask it for changes, because
// the rows of the list change all the time while the upstreams in them rarely do.
//
// An entry that is missing from the first list after an outage of the store may
// have expired although its upstream is alive. It is kept until the upstream had
// time to register again. An entry that disappears later is removed at once.
package discoverer

import (
	"time"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/effect"
	"github.com/sassafrasspur/sassafrasspur/internal/message"
	"github.com/sassafrasspur/sassafrasspur/internal/pacer"
	"github.com/sassafrasspur/sassafrasspur/internal/readerselector"
	"github.com/sassafrasspur/sassafrasspur/internal/rows"
	"github.com/sassafrasspur/sassafrasspur/internal/snapshot"
	"github.com/sassafrasspur/sassafrasspur/internal/upstream"
)

const (
	// defaultDrainLimit is the time within which a leaving upstream must stop
	// getting new work. The known deployments have this limit.
	defaultDrainLimit = 2500 * time.Millisecond
	// maxReadInterval bounds the interval between reads of the list. The drain limit
	// is met even if one read times out after 0.6 s.
	maxReadInterval = time.Second
	// readIntervalRatio is the ratio of the read interval to a shorter drain limit.
	readIntervalRatio = 0.4
	// outageThreshold is the age of the latest list above which an outage of the
	// store is assumed.
	outageThreshold = 2500 * time.Millisecond
	// reregistrationGrace is how long entries that expired in an outage are kept.
	// Upstreams register again after about 2 s, plus one read interval.
	reregistrationGrace = 2200 * time.Millisecond
	// longListLength is the number of upstreams from which one VM reads for others,
	// regardless of the drain limit. A shorter list fits into one response of the
	// store.
	longListLength = 400
	// minSharedDrainLimit is the drain limit from which one VM of a large failure
	// domain reads shorter lists as well. If that VM stops at the time of a change,
	// the others learn of the change after 3.4 s.
	minSharedDrainLimit = 3500 * time.Millisecond
)

// Discoverer maintains the list of upstreams.
type Discoverer struct {
	decode func(rows.Row) (upstream.Upstream, error)
	reject func(error)

	drainLimit time.Duration
	// interval is the interval between reads of the list.
	interval time.Duration
	// readerSelector selects the VM that reads for the failure domain.
	readerSelector readerselector.Readerselector
	published      *upstream.List
	// publishedUpstreams has the upstreams of published in the order of their IDs.
	// They were last sent to other controllers at publishedAt.
	publishedUpstreams []upstream.Upstream
	publishedAt        time.Time

	upstreams map[ident.UpstreamID]upstream.Upstream
	asOf      time.Time
	// lapsed has the entries that were missing from the first list after an outage.
	// They are kept until lapsedUntil.
	lapsed      map[ident.UpstreamID]upstream.Upstream
	lapsedUntil time.Time
	table       rows.Table
	pacer       pacer.Pacer
	rejected    map[rows.Key]bool
}

// Option configures a Discoverer.
type Option func(*Discoverer)

// WithDrainLimit sets the time within which a leaving upstream must stop getting
// new work.
func WithDrainLimit(drainLimit time.Duration) Option {
	return func(d *Discoverer) { d.drainLimit = drainLimit }
}

// New returns the controller of a VM for the list in a table. An entry that can't
// be decoded is ignored, and its error is passed to reject once.
func New(self snapshot.Member, table rows.Table, decode func(rows.Row) (upstream.Upstream, error), reject func(error), options ...Option) *Discoverer {
	d := &Discoverer{
		readerSelector: readerselector.New(self, table), table: table, decode: decode, reject: reject, published: upstream.NewList(), drainLimit: defaultDrainLimit,
		upstreams: map[ident.UpstreamID]upstream.Upstream{}, rejected: map[rows.Key]bool{},
	}
	for _, option := range options {
		option(d)
	}
	d.interval = min(maxReadInterval, time.Duration(readIntervalRatio*float64(d.drainLimit)))
	return d
}

// Handle processes a message and returns the resulting effects.
func (d *Discoverer) Handle(now time.Time, m message.Message) []effect.Effect {
	switch m := m.(type) {
	case message.Started:
		return d.read()
	case message.Tick:
		due, effects := d.pacer.Tick(now)
		if due {
			return d.requestList(now)
		}
		return effects
	case message.MembersListed:
		d.readerSelector.Update(m.Serving)
	case message.RowsRead:
		if m.Range.Table == d.table {
			return d.handleRows(now, m)
		}
	case message.UpstreamsFetched:
		return d.copy(now, m)
	}
	return nil
}

func (d *Discoverer) read() []effect.Effect {
	return []effect.Effect{effect.ReadRows{Range: rows.Range{Table: d.table}}}
}

// requestList asks the reader of the failure domain for changes, or reads the
// table.
func (d *Discoverer) requestList(now time.Time) []effect.Effect {
	address, ok := d.readerSelector.RemoteReader(now)
	if !ok || !d.sharesReads() {
		return d.read()
	}
	return []effect.Effect{effect.FetchUpstreams{Address: address, Known: d.published.Digest()}}
}

// sharesReads reports whether one VM reads for the failure domain.
func (d *Discoverer) sharesReads() bool {
	return len(d.upstreams) >= longListLength || d.readerSelector.IsLarge() && d.drainLimit >= minSharedDrainLimit
}

// copy applies the changes of another VM's list. If the result differs from that
// list, it reads the table.
func (d *Discoverer) copy(now time.Time, m message.UpstreamsFetched) []effect.Effect {
	if m.Err != nil || m.Change.Age > readerselector.MaxCopyAge {
		d.readerSelector.Suspend(now)
		return d.read()
	}
	asOf := m.SentAt.Add(-m.Change.Age)
	if asOf.Before(d.asOf) {
		// The list of a VM that has just resumed reading may be older than this one.
		return []effect.Effect{d.pacer.Set(now.Add(readerselector.PollInterval))}
	}
	changed := m.Change.Digest != d.published.Digest()
	if changed {
		known := m.Change.Apply(d.upstreams)
		if d.published.Next(known).Digest() != m.Change.Digest {
			d.readerSelector.Suspend(now)
			return d.read()
		}
		d.upstreams = known
	}
	d.asOf, d.lapsed = asOf, nil
	effects := []effect.Effect{d.pacer.Set(now.Add(readerselector.PollInterval))}
	if !changed && now.Sub(d.publishedAt) < d.interval {
		return append(effects, effect.Publish{})
	}
	return append(effects, d.publish(now)...)
}

// publish sends the list to other controllers.
func (d *Discoverer) publish(now time.Time) []effect.Effect {
	if next := d.published.Next(d.upstreams); next != d.published || d.publishedUpstreams == nil {
		d.published, d.publishedUpstreams = next, next.All()
	}
	d.publishedAt = now
	return []effect.Effect{
		effect.Publish{}, effect.Send{Message: message.UpstreamsRead{Upstreams: d.publishedUpstreams, AsOf: d.asOf}},
	}
}

func (d *Discoverer) handleRows(now time.Time, m message.RowsRead) []effect.Effect {
	next := m.SentAt.Add(d.interval)
	if earliest := now.Add(d.interval / 4); next.Before(earliest) {
		next = earliest
	}
	if m.Err != nil {
		return []effect.Effect{d.pacer.Set(next)}
	}
	previous := d.upstreams
	d.upstreams = d.decodeAll(m.Page.Rows)
	if !d.asOf.IsZero() && m.SentAt.Sub(d.asOf) > outageThreshold {
		d.lapsed, d.lapsedUntil = previous, now.Add(reregistrationGrace)
	}
	d.asOf = m.SentAt
	d.keepLapsed(now)
	if len(d.lapsed) > 0 && d.lapsedUntil.Before(next) {
		next = d.lapsedUntil
	}
	return append([]effect.Effect{d.pacer.Set(next)}, d.publish(now)...)
}

// decodeAll decodes the rows of the list, and rejects invalid ones.
func (d *Discoverer) decodeAll(listed []rows.Row) map[ident.UpstreamID]upstream.Upstream {
	known := map[ident.UpstreamID]upstream.Upstream{}
	for _, row := range listed {
		u, err := d.decode(row)
		if err != nil {
			if !d.rejected[row.Key] {
				d.rejected[row.Key] = true
				d.reject(err)
			}
			continue
		}
		delete(d.rejected, row.Key)
		known[u.ID] = u
	}
	return known
}

// keepLapsed adds the lapsed entries that were not registered again. An entry that
// was listed since is no longer lapsed.
func (d *Discoverer) keepLapsed(now time.Time) {
	if !now.Before(d.lapsedUntil) {
		d.lapsed = nil
	}
	lapsed := map[ident.UpstreamID]upstream.Upstream{}
	for id, u := range d.lapsed {
		if _, listed := d.upstreams[id]; !listed {
			lapsed[id], d.upstreams[id] = u, u
		}
	}
	d.lapsed = lapsed
}

// Describe adds the size and age of the list to a snapshot. A list with lapsed
// entries is not offered to peers, because they may know that an upstream is gone
// that this VM still keeps.
func (d *Discoverer) Describe(view *snapshot.Snapshot) {
	view.Entry.UpstreamsAsOf = d.asOf
	if !d.asOf.IsZero() && len(d.lapsed) == 0 {
		view.Entry.UpstreamList = d.published
	}
	for _, u := range d.upstreams {
		if !u.Leaving {
			view.Entry.Upstreams++
		}
	}
}
