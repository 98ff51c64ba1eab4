// Package resolver asks upstreams for the results of calls whose outcome is
// unknown.
//
// Calls that have an intent and no outcome are listed in the platform's store.
// The outcome of one whose attempt has ended, or whose process is gone, is
// unknown. Only a result that is found settles an outcome. One that is not found
// may still come, so that the look-up is repeated until the call is no longer
// listed.
package resolver

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/bookkeeper"
	"github.com/sassafrasspur/sassafrasspur/internal/configuration"
	"github.com/sassafrasspur/sassafrasspur/internal/effect"
	"github.com/sassafrasspur/sassafrasspur/internal/message"
	"github.com/sassafrasspur/sassafrasspur/internal/pacer"
	"github.com/sassafrasspur/sassafrasspur/internal/record"
	"github.com/sassafrasspur/sassafrasspur/internal/rows"
	"github.com/sassafrasspur/sassafrasspur/internal/sharer"
	"github.com/sassafrasspur/sassafrasspur/internal/snapshot"
)

const (
	// firstDelay is the time between the first two look-ups of a call; it doubles
	// with each one.
	firstDelay = time.Second
	// maxDelay bounds the time between two look-ups of a call.
	maxDelay = time.Minute
	// listInterval spaces the reads of the list. Callers that ask for an unknown
	// outcome give up after some seconds.
	listInterval = 2 * time.Second
)

// Resolver is the controller of look-ups.
type Resolver struct {
	runs          func(record.Holder) bool
	report        func(error)
	share         sharer.Sharer
	configuration *configuration.Configuration
	list          pacer.Pacer
	// listed has the intents of each range of the list.
	listed map[rows.Range][]bookkeeper.Intent
	// known has the calls whose outcome is unknown.
	known map[key]*lookUp
}

type key struct {
	program ident.ProgramID
	call    ident.CallID
}

type lookUp struct {
	intent  bookkeeper.Intent
	delay   time.Duration
	nextAt  time.Time
	waiting bool
}

// New returns the resolver of a VM. The function runs reports whether a process
// runs. Rows that can't be decoded are given to report.
func New(self ident.VMID, runs func(record.Holder) bool, report func(error)) *Resolver {
	r := &Resolver{
		runs: runs, report: report, share: sharer.New(self),
		listed: map[rows.Range][]bookkeeper.Intent{}, known: map[key]*lookUp{},
	}
	return r
}

// Handle takes part in the control loop.
func (r *Resolver) Handle(now time.Time, m message.Message) []effect.Effect {
	switch m := m.(type) {
	case message.Started:
		return r.read(now)
	case message.Tick:
		due, effects := r.list.Tick(now)
		if due {
			effects = append(effects, r.read(now)...)
		}
		return append(effects, r.tick(now)...)
	case message.RowsRead:
		return r.took(now, m)
	case message.LookedUp:
		return r.done(now, m)
	case message.MembersListed:
		r.share.Update(m)
	case message.ConfigurationRead:
		r.configuration = m.Configuration
	}
	return nil
}

// Describe adds the calls whose outcome is unknown.
func (r *Resolver) Describe(s *snapshot.Snapshot) {
	for _, k := range slices.SortedFunc(maps.Keys(r.known), compareKeys) {
		s.Unknown = append(s.Unknown, snapshot.UnknownCall{Team: r.known[k].intent.Team, Program: k.program, Call: k.call})
	}
}

func (r *Resolver) read(now time.Time) []effect.Effect {
	effects := []effect.Effect{r.list.Set(now.Add(listInterval))}
	for _, part := range bookkeeper.IntentRanges() {
		effects = append(effects, effect.ReadRows{Range: part})
	}
	return effects
}

// took takes a range of the list over.
func (r *Resolver) took(now time.Time, m message.RowsRead) []effect.Effect {
	if !slices.Contains(bookkeeper.IntentRanges(), m.Range) || m.Err != nil {
		return nil
	}
	var intents []bookkeeper.Intent
	for _, row := range m.Page.Rows {
		intent, err := bookkeeper.ReadIntent(row)
		if err != nil {
			r.report(err)
			continue
		}
		intents = append(intents, intent)
	}
	r.listed[m.Range] = intents
	if !r.compare(now) {
		return r.tick(now)
	}
	return append(r.tick(now), effect.Publish{})
}

// compare finds the calls whose outcome is unknown, and reports whether they
// changed.
func (r *Resolver) compare(now time.Time) bool {
	next := map[key]*lookUp{}
	changed := false
	for _, intents := range r.listed {
		for _, intent := range intents {
			if !intent.Doubted && r.runs(intent.Holder) {
				continue
			}
			k := key{intent.Program, intent.Call}
			next[k] = r.known[k]
			if next[k] == nil || next[k].intent != intent {
				next[k] = &lookUp{intent: intent, delay: firstDelay, nextAt: now}
				changed = true
			}
		}
	}
	changed = changed || len(next) != len(r.known)
	r.known = next
	return changed
}

// tick looks up the calls of this VM's share that are due.
func (r *Resolver) tick(now time.Time) []effect.Effect {
	var effects []effect.Effect
	for _, k := range slices.SortedFunc(maps.Keys(r.known), compareKeys) {
		l := r.known[k]
		if l.waiting || !r.share.Owns(string(k.program)) {
			continue
		}
		if now.Before(l.nextAt) {
			effects = append(effects, effect.WakeAt{Time: l.nextAt})
			continue
		}
		effects = append(effects, r.try(now, l)...)
	}
	return effects
}

func compareKeys(a, b key) int {
	return cmp.Or(cmp.Compare(a.program, b.program), cmp.Compare(a.call, b.call))
}

func (r *Resolver) try(now time.Time, l *lookUp) []effect.Effect {
	upstream, ok := r.offers(l.intent)
	if !ok {
		return r.later(now, l)
	}
	l.waiting = true
	return []effect.Effect{effect.LookUp{
		Program: l.intent.Program,
		Call:    l.intent.Call,
		Attempt: l.intent.Attempt,
		Address: upstream.Address,
	}}
}

// offers returns the upstream that can be asked for a call. A later plan may add
// one, so that the call stays until its outcome is settled.
func (r *Resolver) offers(intent bookkeeper.Intent) (configuration.Upstream, bool) {
	if r.configuration == nil {
		return configuration.Upstream{}, false
	}
	pool, known := r.configuration.Pool(intent.Pool)
	upstream, listed := r.configuration.Upstream(intent.Upstream)
	return upstream, known && listed && pool.LookUp
}

func (r *Resolver) later(now time.Time, l *lookUp) []effect.Effect {
	l.nextAt = now.Add(l.delay)
	l.delay = min(2*l.delay, maxDelay)
	return []effect.Effect{effect.WakeAt{Time: l.nextAt}}
}

func (r *Resolver) done(now time.Time, m message.LookedUp) []effect.Effect {
	k := key{m.Program, m.Call}
	l, ok := r.known[k]
	if !ok {
		return nil
	}
	if m.Settled {
		delete(r.known, k)
		return []effect.Effect{effect.Publish{}}
	}
	l.waiting = false
	return r.later(now, l)
}
