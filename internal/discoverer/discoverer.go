// Package discoverer has the controller that keeps the list of upstreams.
//
// It reads the whole list at an interval, so that no change can be lost. An
// entry that disappears while the store is away, or shortly after, may have
// lapsed although its upstream lives; it is kept until the store has been back
// long enough for the upstream to register again.
package discoverer

import (
	"slices"
	"strings"
	"time"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/effect"
	"github.com/sassafrasspur/sassafrasspur/internal/message"
	"github.com/sassafrasspur/sassafrasspur/internal/rows"
	"github.com/sassafrasspur/sassafrasspur/internal/snapshot"
	"github.com/sassafrasspur/sassafrasspur/internal/upstream"
)

const (
	// readInterval spaces reads of the list. An upstream that leaves is to get
	// no new work 2.5 s after it said so.
	readInterval = 700 * time.Millisecond
	// outageAge is the age of the newest list from which an outage of the store
	// is assumed.
	outageAge = 2500 * time.Millisecond
	// returnGrace is how long entries that lapsed in an outage take to return:
	// about 2 s, and one interval of reads.
	returnGrace = 2200 * time.Millisecond
)

// Discoverer keeps the upstreams.
type Discoverer struct {
	table  rows.Table
	decode func(rows.Row) (upstream.Upstream, error)
	reject func(error)

	known map[ident.UpstreamID]upstream.Upstream
	asOf  time.Time
	// graceUntil is the end of the time in which entries are kept that are
	// missing after an outage.
	graceUntil time.Time
	readAt     time.Time
	rejected   map[rows.Key]bool
}

// New returns the controller for the list in a table. The reason of each entry
// that names no upstream is given to reject once.
func New(table rows.Table, decode func(rows.Row) (upstream.Upstream, error), reject func(error)) *Discoverer {
	return &Discoverer{
		table: table, decode: decode, reject: reject,
		known: map[ident.UpstreamID]upstream.Upstream{}, rejected: map[rows.Key]bool{},
	}
}

// Handle follows the list.
func (d *Discoverer) Handle(now time.Time, m message.Message) []effect.Effect {
	switch m := m.(type) {
	case message.Started:
		return d.read()
	case message.Tick:
		if !d.readAt.IsZero() && !now.Before(d.readAt) {
			return d.read()
		}
	case message.RowsRead:
		if m.Range.Table == d.table {
			return d.took(now, m)
		}
	}
	return nil
}

func (d *Discoverer) read() []effect.Effect {
	d.readAt = time.Time{}
	return []effect.Effect{effect.ReadRows{Range: rows.Range{Table: d.table}}}
}

func (d *Discoverer) took(now time.Time, m message.RowsRead) []effect.Effect {
	d.readAt = m.SentAt.Add(readInterval)
	if earliest := now.Add(readInterval / 4); d.readAt.Before(earliest) {
		d.readAt = earliest
	}
	effects := []effect.Effect{effect.WakeAt{Time: d.readAt}}
	if m.Err != nil {
		return effects
	}
	if !d.asOf.IsZero() && m.SentAt.Sub(d.asOf) > outageAge {
		d.graceUntil = now.Add(returnGrace)
	}
	d.asOf = m.SentAt
	d.replace(now, m.Page.Rows)
	return append(effects, effect.Publish{}, effect.Send{Message: message.UpstreamsRead{Upstreams: d.list(), AsOf: d.asOf}})
}

// replace makes the rows the new list.
func (d *Discoverer) replace(now time.Time, listed []rows.Row) {
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
	if now.Before(d.graceUntil) {
		for id, u := range d.known {
			if _, ok := known[id]; !ok {
				known[id] = u
			}
		}
	}
	d.known = known
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
