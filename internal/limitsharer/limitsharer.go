// Package limitsharer has the controller that shares the request limits of upstreams
// among VMs.
//
// An upstream names the rate of requests that it accepts from all VMs together in
// its answers, and omits it when the limit ends. The VM that first receives a change
// writes it to a row of the store, and all VMs watch these rows: a VM that gets no
// answer of an upstream learns of its limit and of the end of the limit. While the
// store is away, a VM goes by the answers that it receives itself.
package limitsharer

import (
	"encoding/json"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/effect"
	"github.com/sassafrasspur/sassafrasspur/internal/message"
	"github.com/sassafrasspur/sassafrasspur/internal/pacer"
	"github.com/sassafrasspur/sassafrasspur/internal/rows"
	"github.com/sassafrasspur/sassafrasspur/internal/rowwatcher"
	"github.com/sassafrasspur/sassafrasspur/internal/snapshot"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

const (
	// table has one row for each upstream with a request limit.
	table rows.Table = "upstream_limits"
	// retryInterval is the delay after a failed write.
	retryInterval = time.Second
	// maxWriteDelay bounds the random delay of a write. Most VMs that receive the
	// same change then see the row of the first one and write nothing.
	maxWriteDelay = 200 * time.Millisecond
	// tolerance is the relative difference up to which two limits count as equal.
	tolerance = 0.1
	// maxChanges is the number of rows that one transaction changes. The platform's
	// store accepts 100 entries, of which each change needs two.
	maxChanges = 40
	// retention is how long the limit of an upstream is kept after the list of
	// upstreams no longer has it.
	retention = 30 * time.Second
)

// Limitsharer keeps the request limits of upstreams.
type Limitsharer struct {
	reject  func(error)
	random  *rand.Rand
	watcher *rowwatcher.Rowwatcher
	// writer schedules the next write of changes.
	writer pacer.Pacer
	limits map[ident.UpstreamID]*entry
	// listed has the incarnations of the listed upstreams.
	listed map[ident.UpstreamID]ident.Incarnation
}

// entry is what the VM knows of the limit of one upstream.
type entry struct {
	// limit is 0 if the upstream is not limited.
	limit unit.Rate
	// incarnation is the start of the upstream that stated the limit.
	incarnation ident.Incarnation
	// version is that of the row, 0 if there is none.
	version rows.Version
	// changed is true if the row differs from what this VM has learned since.
	changed bool
	// unlistedSince is when the list of upstreams first lacked the upstream, zero if
	// it has it.
	unlistedSince time.Time
}

// limitRow is the stored form of a limit.
type limitRow struct {
	RequestsPerSecond unit.Rate         `json:"requests_per_second"`
	Incarnation       ident.Incarnation `json:"incarnation,omitempty"`
}

// New returns the controller. The seed is that of the random delays of writes. Rows
// that can't be decoded are ignored, and their errors are passed to reject.
func New(seed uint64, reject func(error)) *Limitsharer {
	return &Limitsharer{
		reject: reject, random: rand.New(rand.NewPCG(seed, seed)), watcher: rowwatcher.New(table),
		limits: map[ident.UpstreamID]*entry{},
	}
}

// Handle processes a message and returns the resulting effects.
func (l *Limitsharer) Handle(now time.Time, m message.Message) []effect.Effect {
	update, effects := l.watcher.Handle(now, m)
	if update != nil {
		return append(effects, l.handleRows(now, *update)...)
	}
	switch m := m.(type) {
	case message.Tick:
		due, wake := l.writer.Tick(now)
		effects = append(effects, wake...)
		if due {
			effects = append(effects, l.write()...)
		}
	case message.RowsWritten:
		return l.handleWrite(now, m)
	case message.UpstreamNoticed:
		return l.handleNotice(now, m)
	case message.UpstreamsRead:
		return l.handleList(now, m)
	}
	return effects
}

// handleNotice applies what an upstream stated in an answer to this VM.
func (l *Limitsharer) handleNotice(now time.Time, m message.UpstreamNoticed) []effect.Effect {
	known := l.limits[m.Upstream]
	switch {
	case l.listed[m.Upstream].Replaces(m.Incarnation):
		// A late answer of a process that has ended.
		return nil
	case known == nil && m.Notice.Limit == 0:
		return nil
	case known != nil && isSimilar(known.limit, m.Notice.Limit) && !m.Incarnation.Replaces(known.incarnation):
		return nil
	}
	e := l.entry(m.Upstream)
	e.limit, e.incarnation, e.changed = m.Notice.Limit, m.Incarnation, true
	return append(l.scheduleWrite(now), l.announce()...)
}

// handleRows applies rows of the store, which go before what this VM has learned
// itself: if they are older, the next answer of the upstream corrects them.
func (l *Limitsharer) handleRows(now time.Time, u rowwatcher.Update) []effect.Effect {
	before := l.known()
	if u.Complete {
		l.forgetRows(u.Page)
	}
	for _, row := range u.Rows {
		var stored limitRow
		if err := json.Unmarshal(row.Value, &stored); err != nil || stored.RequestsPerSecond <= 0 {
			l.reject(errors.Errorf("row of the request limit of upstream %s can't be used: %s", row.Key, row.Value))
			continue
		}
		*l.entry(ident.UpstreamID(row.Key)) = entry{limit: stored.RequestsPerSecond, incarnation: stored.Incarnation, version: row.Version}
	}
	for _, id := range u.Removed {
		delete(l.limits, ident.UpstreamID(id.Key))
	}
	var effects []effect.Effect
	if l.endReplaced() {
		effects = l.scheduleWrite(now)
	}
	if maps.Equal(before, l.known()) {
		return effects
	}
	return append(effects, l.announce()...)
}

// forgetRows forgets the limits that others have removed from the table. Those that
// this VM has not written yet stay.
func (l *Limitsharer) forgetRows(page rows.Page) {
	for id, e := range l.limits {
		if _, stored := rows.Find(page.Rows, rowID(id)); stored {
			continue
		}
		e.version = 0
		if !e.changed || e.limit == 0 {
			delete(l.limits, id)
		}
	}
}

// write writes the changes that this VM has learned.
func (l *Limitsharer) write() []effect.Effect {
	var t rows.Transaction
	for _, id := range slices.Sorted(maps.Keys(l.limits)) {
		e := l.limits[id]
		switch {
		case len(t.Conditions) == maxChanges:
			return []effect.Effect{effect.WriteRows{Transaction: t}}
		case !e.changed:
			continue
		case e.limit == 0 && e.version == 0:
			delete(l.limits, id)
			continue
		case e.limit == 0:
			t.Removes = append(t.Removes, rowID(id))
		default:
			value, err := json.Marshal(limitRow{RequestsPerSecond: e.limit, Incarnation: e.incarnation})
			if err != nil {
				// Unreachable: limits are finite numbers.
				l.reject(errors.Annotatef(err, "encode the request limit of upstream %s", id))
				continue
			}
			t.Puts = append(t.Puts, rows.Put{ID: rowID(id), Value: value})
		}
		t.Conditions = append(t.Conditions, rows.Condition{ID: rowID(id), Version: e.version})
	}
	if len(t.Conditions) == 0 {
		return nil
	}
	return []effect.Effect{effect.WriteRows{Transaction: t}}
}

// handleWrite processes the result of a write. After a conflict or an unknown outcome
// the watch returns the rows, and what still differs is written again.
func (l *Limitsharer) handleWrite(now time.Time, m message.RowsWritten) []effect.Effect {
	if len(m.Transaction.Conditions) == 0 || m.Transaction.Conditions[0].Table != table {
		return nil
	}
	if m.Err != nil {
		return []effect.Effect{l.writer.Set(now.Add(retryInterval))}
	}
	if committed, ok := m.Outcome.(rows.Committed); ok {
		l.markWritten(m.Transaction, committed.Version)
	}
	for _, e := range l.limits {
		if e.changed {
			return l.scheduleWrite(now)
		}
	}
	return nil
}

// markWritten records the rows of a committed transaction. A limit that has changed
// since it was sent is written again.
func (l *Limitsharer) markWritten(t rows.Transaction, version rows.Version) {
	for _, put := range t.Puts {
		var stored limitRow
		e, ok := l.limits[ident.UpstreamID(put.Key)]
		if err := json.Unmarshal(put.Value, &stored); ok && err == nil {
			e.version, e.changed = version, !isSimilar(e.limit, stored.RequestsPerSecond)
		}
	}
	for _, id := range t.Removes {
		if e, ok := l.limits[ident.UpstreamID(id.Key)]; ok {
			e.version, e.changed = 0, e.limit > 0
		}
	}
}

// handleList ends the limits of upstreams that are no longer listed, and of those that
// have started again.
func (l *Limitsharer) handleList(now time.Time, m message.UpstreamsRead) []effect.Effect {
	l.listed = make(map[ident.UpstreamID]ident.Incarnation, len(m.Upstreams))
	for _, u := range m.Upstreams {
		l.listed[u.ID] = u.Incarnation
	}
	ended := l.endReplaced()
	for id, e := range l.limits {
		_, listed := l.listed[id]
		switch {
		case listed:
			e.unlistedSince = time.Time{}
		case e.unlistedSince.IsZero():
			e.unlistedSince = now
		case now.Sub(e.unlistedSince) > retention && e.limit > 0:
			e.limit, e.changed, ended = 0, true, true
		}
	}
	if !ended {
		return nil
	}
	return append(l.scheduleWrite(now), l.announce()...)
}

// endReplaced ends the limits that were stated before their upstream started again. It
// reports whether there are any.
func (l *Limitsharer) endReplaced() bool {
	ended := false
	for id, e := range l.limits {
		if e.limit > 0 && l.listed[id].Replaces(e.incarnation) {
			e.limit, e.changed, ended = 0, true, true
		}
	}
	return ended
}

func (l *Limitsharer) entry(id ident.UpstreamID) *entry {
	if l.limits[id] == nil {
		l.limits[id] = &entry{}
	}
	return l.limits[id]
}

// scheduleWrite schedules a write unless one is scheduled.
func (l *Limitsharer) scheduleWrite(now time.Time) []effect.Effect {
	if l.writer.IsSet() {
		return nil
	}
	return []effect.Effect{l.writer.Set(now.Add(time.Duration(l.random.Int64N(int64(maxWriteDelay)))))}
}

// announce sends the known limits to the other controllers.
func (l *Limitsharer) announce() []effect.Effect {
	return []effect.Effect{effect.Send{Message: message.UpstreamLimitsChanged{Limits: l.known()}}}
}

// known returns the limits of the limited upstreams.
func (l *Limitsharer) known() map[ident.UpstreamID]unit.Rate {
	limits := map[ident.UpstreamID]unit.Rate{}
	for id, e := range l.limits {
		if e.limit > 0 {
			limits[id] = e.limit
		}
	}
	return limits
}

// isSimilar reports whether two limits differ too little to be shared again.
func isSimilar(a, b unit.Rate) bool {
	return math.Abs(float64(a-b)) <= tolerance*float64(max(a, b))
}

func rowID(id ident.UpstreamID) rows.ID { return rows.ID{Table: table, Key: rows.Key(id)} }

// Describe adds nothing to a snapshot.
func (l *Limitsharer) Describe(*snapshot.Snapshot) {}
