// Package discoverer has the controller that keeps the list of upstreams.
//
// It reads the whole list at an interval, so that no change can be lost. An
// entry that is missing from the first list after an outage of the store may
// have lapsed although its upstream lives; it is kept until the store has been
// back long enough for the upstream to register again. An entry that disappears
// later is gone.
package discoverer

import (
	"slices"
	"strings"
	"time"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/effect"
	"github.com/sassafrasspur/sassafrasspur/internal/message"
	"github.com/sassafrasspur/sassafrasspur/internal/pacer"
	"github.com/sassafrasspur/sassafrasspur/internal/rows"
	"github.com/sassafrasspur/sassafrasspur/internal/snapshot"
	"github.com/sassafrasspur/sassafrasspur/internal/upstream"
)

const (
	// readInterval spaces reads of the list. An upstream that leaves is to get
	// no new work 2.5 s after it said so, also if one read gets no answer in
	// 0.6 s.
	readInterval = time.Second
	// outageAge is the age of the newest list from which an outage of the store
	// is assumed.
	outageAge = 2500 * time.Millisecond
	// returnGrace is how long entries that lapsed in an outage take to return:
	// about 2 s, and one interval of reads.
	returnGrace = 2200 * time.Millisecond
)

// Discoverer keeps the upstreams.
type Discoverer struct {
	decode func(rows.Row) (upstream.Upstream, error)
	reject func(error)

	known map[ident.UpstreamID]upstream.Upstream
	asOf  time.Time
	// lapsed has the entries that were missing from the first list after an
	// outage; they are kept until lapsedUntil.
	lapsed      map[ident.UpstreamID]upstream.Upstream
	lapsedUntil time.Time
	reader      pacer.Reader
	rejected    map[rows.Key]bool
}

// New returns the controller for the list in a table. The reason of each entry
// that names no upstream is given to reject once.
func New(table rows.Table, decode func(rows.Row) (upstream.Upstream, error), reject func(error)) *Discoverer {
	return &Discoverer{
		reader: pacer.NewReader(table), decode: decode, reject: reject,
		known: map[ident.UpstreamID]upstream.Upstream{}, rejected: map[rows.Key]bool{},
	}
}

// Handle follows the list.
func (d *Discoverer) Handle(now time.Time, m message.Message) []effect.Effect {
	switch m := m.(type) {
	case message.Started, message.Tick:
		return d.reader.Handle(now, m)
	case message.RowsRead:
		if d.reader.Answers(m) {
			return d.took(now, m)
		}
	}
	return nil
}

func (d *Discoverer) took(now time.Time, m message.RowsRead) []effect.Effect {
	next := m.SentAt.Add(readInterval)
	if earliest := now.Add(readInterval / 4); next.Before(earliest) {
		next = earliest
	}
	if m.Err != nil {
		return []effect.Effect{d.reader.Set(next)}
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
	return []effect.Effect{
		d.reader.Set(next), effect.Publish{},
		effect.Send{Message: message.UpstreamsRead{Upstreams: d.list(), AsOf: d.asOf}},
	}
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

// list returns the upstreams in the order of their ids.
func (d *Discoverer) list() []upstream.Upstream {
	list := make([]upstream.Upstream, 0, len(d.known))
	for _, u := range d.known {
		list = append(list, u)
	}
	slices.SortFunc(list, func(a, b upstream.Upstream) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return list
}

// Describe adds the size and age of the list to a snapshot.
func (d *Discoverer) Describe(view *snapshot.Snapshot) {
	view.Entry.UpstreamsAsOf = d.asOf
	for _, u := range d.known {
		if !u.Leaving {
			view.Entry.Upstreams++
		}
	}
}
