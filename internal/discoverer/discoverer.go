// Package discoverer has the controller that keeps the list of upstreams.
//
// It reads the whole list at an interval, so that no change can be lost. In a
// large failure domain one VM reads it, and the others ask that one how it
// changed: the rows of the list change all the time, although the upstreams that
// they name hardly do.
//
// An entry that is missing from the first list after an outage of the store may
// have lapsed although its upstream lives; it is kept until the store has been
// back long enough for the upstream to register again. An entry that disappears
// later is gone.
package discoverer

import (
	"time"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/domainreader"
	"github.com/sassafrasspur/sassafrasspur/internal/effect"
	"github.com/sassafrasspur/sassafrasspur/internal/message"
	"github.com/sassafrasspur/sassafrasspur/internal/pacer"
	"github.com/sassafrasspur/sassafrasspur/internal/rows"
	"github.com/sassafrasspur/sassafrasspur/internal/snapshot"
	"github.com/sassafrasspur/sassafrasspur/internal/upstream"
)

const (
	// defaultLimit is the time after which an upstream that leaves gets no new
	// work on the known deployments.
	defaultLimit = 2500 * time.Millisecond
	// longestInterval spaces reads of the list. The limit is kept also if one
	// read gets no answer in 0.6 s.
	longestInterval = time.Second
	// readShare is the part of a shorter limit that may pass between two reads.
	readShare = 0.4
	// outageAge is the age of the newest list from which an outage of the store
	// is assumed.
	outageAge = 2500 * time.Millisecond
	// returnGrace is how long entries that lapsed in an outage take to return:
	// about 2 s, and one interval of reads.
	returnGrace = 2200 * time.Millisecond
	// longList is the number of upstreams from which one VM reads for others,
	// whatever the limit is. A shorter list takes one answer of the store.
	longList = 400
	// sharedLimit is the limit from which one VM of a large failure domain reads
	// a shorter list, too: a change is known after 3.4 s if the VM that reads
	// stops at that moment.
	sharedLimit = 3500 * time.Millisecond
)

// Discoverer keeps the upstreams.
type Discoverer struct {
	decode func(rows.Row) (upstream.Upstream, error)
	reject func(error)

	limit time.Duration
	// interval spaces reads of the list.
	interval time.Duration
	// readers are the VMs that may read for the failure domain.
	readers   domainreader.Domainreader
	published *upstream.List
	// all is what is published in the order of the ids, sent at sentAt.
	all    []upstream.Upstream
	sentAt time.Time

	known map[ident.UpstreamID]upstream.Upstream
	asOf  time.Time
	// lapsed has the entries that were missing from the first list after an
	// outage; they are kept until lapsedUntil.
	lapsed      map[ident.UpstreamID]upstream.Upstream
	lapsedUntil time.Time
	table       rows.Table
	pacer       pacer.Pacer
	rejected    map[rows.Key]bool
}

// Option changes how New builds a Discoverer.
type Option func(*Discoverer)

// WithLimit sets the time after which an upstream that leaves gets no new work.
func WithLimit(limit time.Duration) Option { return func(d *Discoverer) { d.limit = limit } }

// New returns the controller of a VM for the list in a table. The reason of each
// entry that names no upstream is given to reject once.
func New(self snapshot.Member, table rows.Table, decode func(rows.Row) (upstream.Upstream, error), reject func(error), options ...Option) *Discoverer {
	d := &Discoverer{
		readers: domainreader.New(self, table), table: table, decode: decode, reject: reject, published: upstream.NewList(), limit: defaultLimit,
		known: map[ident.UpstreamID]upstream.Upstream{}, rejected: map[rows.Key]bool{},
	}
	for _, option := range options {
		option(d)
	}
	d.interval = min(longestInterval, time.Duration(readShare*float64(d.limit)))
	return d
}

// Handle follows the list.
func (d *Discoverer) Handle(now time.Time, m message.Message) []effect.Effect {
	switch m := m.(type) {
	case message.Started:
		return d.read()
	case message.Tick:
		due, effects := d.pacer.Tick(now)
		if due {
			return d.ask(now)
		}
		return effects
	case message.MembersListed:
		d.readers.Update(m.Serving)
	case message.RowsRead:
		if m.Range.Table == d.table {
			return d.took(now, m)
		}
	case message.UpstreamsCopied:
		return d.copy(now, m)
	}
	return nil
}

func (d *Discoverer) read() []effect.Effect {
	return []effect.Effect{effect.ReadRows{Range: rows.Range{Table: d.table}}}
}

// ask asks the VM that reads for the failure domain, or reads.
func (d *Discoverer) ask(now time.Time) []effect.Effect {
	address, ok := d.readers.Other(now)
	if !ok || !d.sharesReads() {
		return d.read()
	}
	return []effect.Effect{effect.AskUpstreams{Address: address, Known: d.published.Digest()}}
}

// sharesReads reports whether one VM reads for the failure domain.
func (d *Discoverer) sharesReads() bool {
	return len(d.known) >= longList || d.readers.IsLarge() && d.limit >= sharedLimit
}

// copy takes over how the list of another VM differs. If that does not lead to
// the other VM's list, the list is read.
func (d *Discoverer) copy(now time.Time, m message.UpstreamsCopied) []effect.Effect {
	if m.Err != nil || m.Change.Age > domainreader.CopyAge {
		d.readers.Avoid(now)
		return d.read()
	}
	asOf := m.SentAt.Add(-m.Change.Age)
	if asOf.Before(d.asOf) {
		// A VM that reads again may know less than this one.
		return []effect.Effect{d.pacer.Set(now.Add(domainreader.AskInterval))}
	}
	changed := m.Change.Digest != d.published.Digest()
	if changed {
		known := m.Change.Apply(d.known)
		if d.published.Next(known).Digest() != m.Change.Digest {
			d.readers.Avoid(now)
			return d.read()
		}
		d.known = known
	}
	d.asOf, d.lapsed = asOf, nil
	effects := []effect.Effect{d.pacer.Set(now.Add(domainreader.AskInterval))}
	if !changed && now.Sub(d.sentAt) < d.interval {
		return append(effects, effect.Publish{})
	}
	return append(effects, d.publish(now)...)
}

// publish passes the list on.
func (d *Discoverer) publish(now time.Time) []effect.Effect {
	if next := d.published.Next(d.known); next != d.published || d.all == nil {
		d.published, d.all = next, next.All()
	}
	d.sentAt = now
	return []effect.Effect{
		effect.Publish{}, effect.Send{Message: message.UpstreamsRead{Upstreams: d.all, AsOf: d.asOf}},
	}
}

func (d *Discoverer) took(now time.Time, m message.RowsRead) []effect.Effect {
	next := m.SentAt.Add(d.interval)
	if earliest := now.Add(d.interval / 4); next.Before(earliest) {
		next = earliest
	}
	if m.Err != nil {
		return []effect.Effect{d.pacer.Set(next)}
	}
	before := d.known
	d.known = d.decodeAll(m.Page.Rows)
	if !d.asOf.IsZero() && m.SentAt.Sub(d.asOf) > outageAge {
		d.lapsed, d.lapsedUntil = before, now.Add(returnGrace)
	}
	d.asOf = m.SentAt
	d.keepLapsed(now)
	if len(d.lapsed) > 0 && d.lapsedUntil.Before(next) {
		next = d.lapsedUntil
	}
	return append([]effect.Effect{d.pacer.Set(next)}, d.publish(now)...)
}

// decodeAll returns the upstreams of rows.
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

// keepLapsed adds the lapsed entries that have not returned. One that was
// listed since is no longer lapsed.
func (d *Discoverer) keepLapsed(now time.Time) {
	if !now.Before(d.lapsedUntil) {
		d.lapsed = nil
	}
	lapsed := map[ident.UpstreamID]upstream.Upstream{}
	for id, u := range d.lapsed {
		if _, listed := d.known[id]; !listed {
			lapsed[id], d.known[id] = u, u
		}
	}
	d.lapsed = lapsed
}

// Describe adds the size and age of the list to a snapshot. A list with lapsed
// entries is not for peers: they may know that an upstream is gone that this VM
// keeps for its return.
func (d *Discoverer) Describe(view *snapshot.Snapshot) {
	view.Entry.UpstreamsAsOf = d.asOf
	if !d.asOf.IsZero() && len(d.lapsed) == 0 {
		view.Entry.UpstreamList = d.published
	}
	for _, u := range d.known {
		if !u.Leaving {
			view.Entry.Upstreams++
		}
	}
}
