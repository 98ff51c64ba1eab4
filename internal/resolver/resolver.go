// Package resolver asks upstreams for the results of calls whose outcome is
// unknown.
//
// The platform's store lists the calls that have an intent and no outcome. The
// outcome of a call is unknown if its attempt has ended or the process that holds
// it has stopped. Only a result that is found settles an outcome. A result that is
// not found may still be produced, so the look-up is repeated until the call is no
// longer listed.
package resolver

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/committer"
	"github.com/sassafrasspur/sassafrasspur/internal/configuration"
	"github.com/sassafrasspur/sassafrasspur/internal/effect"
	"github.com/sassafrasspur/sassafrasspur/internal/message"
	"github.com/sassafrasspur/sassafrasspur/internal/pacer"
	"github.com/sassafrasspur/sassafrasspur/internal/partitioner"
	"github.com/sassafrasspur/sassafrasspur/internal/record"
	"github.com/sassafrasspur/sassafrasspur/internal/rows"
	"github.com/sassafrasspur/sassafrasspur/internal/snapshot"
)

const (
	// initialRetryDelay is the time between the first two look-ups of a call. It
	// doubles with each look-up.
	initialRetryDelay = time.Second
	// maxRetryDelay bounds the time between two look-ups of a call.
	maxRetryDelay = time.Minute
	// listInterval is the time between two reads of the list. It is short because
	// callers that ask for an unknown outcome give up after some seconds.
	listInterval = 2 * time.Second
)

// Resolver is the controller that looks up unknown outcomes.
type Resolver struct {
	isRunning     func(record.Holder) bool
	reportError   func(error)
	partition     partitioner.Partitioner
	configuration *configuration.Configuration
	listPacer     pacer.Pacer
	// listedIntents holds the intents of each range of the list.
	listedIntents map[rows.Range][]committer.Intent
	// unknown holds the calls whose outcome is unknown.
	unknown map[key]*lookUp
}

type key struct {
	program ident.ProgramID
	call    ident.CallID
}

// lookUp is the state of the look-ups of one call.
type lookUp struct {
	intent     committer.Intent
	retryDelay time.Duration
	retryAt    time.Time
	inFlight   bool
}

// New returns the resolver of a VM. The function isRunning reports whether a
// process is running; reportError receives the errors of rows that can't be
// decoded.
func New(self ident.VMID, isRunning func(record.Holder) bool, reportError func(error)) *Resolver {
	r := &Resolver{
		isRunning: isRunning, reportError: reportError, partition: partitioner.New(self),
		listedIntents: map[rows.Range][]committer.Intent{}, unknown: map[key]*lookUp{},
	}
	return r
}

// Handle applies a message to the state and returns the resulting effects.
func (r *Resolver) Handle(now time.Time, m message.Message) []effect.Effect {
	switch m := m.(type) {
	case message.Started:
		return r.readIntents(now)
	case message.Tick:
		due, effects := r.listPacer.Tick(now)
		if due {
			effects = append(effects, r.readIntents(now)...)
		}
		return append(effects, r.sendDue(now)...)
	case message.RowsRead:
		return r.handleIntents(now, m)
	case message.LookUpDone:
		return r.handleResult(now, m)
	case message.MembersListed:
		r.partition.Update(m)
	case message.ConfigurationRead:
		r.configuration = m.Configuration
	}
	return nil
}

// Describe adds the calls whose outcome is unknown.
func (r *Resolver) Describe(s *snapshot.Snapshot) {
	for _, k := range slices.SortedFunc(maps.Keys(r.unknown), compareKeys) {
		s.UnknownCalls = append(s.UnknownCalls, snapshot.UnknownCall{Team: r.unknown[k].intent.Team, Program: k.program, Call: k.call})
	}
}

// readIntents requests all ranges of the list and schedules the next read.
func (r *Resolver) readIntents(now time.Time) []effect.Effect {
	effects := []effect.Effect{r.listPacer.Set(now.Add(listInterval))}
	for _, part := range committer.IntentRanges() {
		effects = append(effects, effect.ReadRows{Range: part})
	}
	return effects
}

// handleIntents replaces the intents of one range of the list.
func (r *Resolver) handleIntents(now time.Time, m message.RowsRead) []effect.Effect {
	if !slices.Contains(committer.IntentRanges(), m.Range) || m.Err != nil {
		return nil
	}
	var intents []committer.Intent
	for _, row := range m.Page.Rows {
		intent, err := committer.ReadIntent(row)
		if err != nil {
			r.reportError(err)
			continue
		}
		intents = append(intents, intent)
	}
	r.listedIntents[m.Range] = intents
	if !r.updateUnknown(now) {
		return r.sendDue(now)
	}
	return append(r.sendDue(now), effect.Publish{})
}

// updateUnknown determines the calls whose outcome is unknown, and reports whether
// they changed.
func (r *Resolver) updateUnknown(now time.Time) bool {
	updated := map[key]*lookUp{}
	changed := false
	for _, intents := range r.listedIntents {
		for _, intent := range intents {
			if !intent.Doubted && r.isRunning(intent.Holder) {
				continue
			}
			k := key{intent.Program, intent.Call}
			updated[k] = r.unknown[k]
			if updated[k] == nil || updated[k].intent != intent {
				updated[k] = &lookUp{intent: intent, retryDelay: initialRetryDelay, retryAt: now}
				changed = true
			}
		}
	}
	changed = changed || len(updated) != len(r.unknown)
	r.unknown = updated
	return changed
}

// sendDue sends the look-ups that are due, of the calls assigned to this VM.
func (r *Resolver) sendDue(now time.Time) []effect.Effect {
	var effects []effect.Effect
	for _, k := range slices.SortedFunc(maps.Keys(r.unknown), compareKeys) {
		l := r.unknown[k]
		if l.inFlight || !r.partition.Owns(string(k.program)) {
			continue
		}
		if now.Before(l.retryAt) {
			effects = append(effects, effect.WakeAt{Time: l.retryAt})
			continue
		}
		effects = append(effects, r.send(now, l)...)
	}
	return effects
}

func compareKeys(a, b key) int {
	return cmp.Or(cmp.Compare(a.program, b.program), cmp.Compare(a.call, b.call))
}

func (r *Resolver) send(now time.Time, l *lookUp) []effect.Effect {
	upstream, ok := r.upstreamFor(l.intent)
	if !ok {
		return r.scheduleRetry(now, l)
	}
	l.inFlight = true
	return []effect.Effect{effect.LookUp{
		Program: l.intent.Program,
		Call:    l.intent.Call,
		Attempt: l.intent.Attempt,
		Address: upstream.Address,
	}}
}

// upstreamFor returns the upstream that can look up a call, and false if there is
// none. A later plan may add one, so the call is kept until its outcome is settled.
func (r *Resolver) upstreamFor(intent committer.Intent) (configuration.Upstream, bool) {
	if r.configuration == nil {
		return configuration.Upstream{}, false
	}
	pool, known := r.configuration.Pool(intent.Pool)
	upstream, listed := r.configuration.Upstream(intent.Upstream)
	return upstream, known && listed && pool.LookUp
}

func (r *Resolver) scheduleRetry(now time.Time, l *lookUp) []effect.Effect {
	l.retryAt = now.Add(l.retryDelay)
	l.retryDelay = min(2*l.retryDelay, maxRetryDelay)
	return []effect.Effect{effect.WakeAt{Time: l.retryAt}}
}

func (r *Resolver) handleResult(now time.Time, m message.LookUpDone) []effect.Effect {
	k := key{m.Program, m.Call}
	l, ok := r.unknown[k]
	if !ok {
		return nil
	}
	if m.Recorded {
		delete(r.unknown, k)
		return []effect.Effect{effect.Publish{}}
	}
	l.inFlight = false
	return r.scheduleRetry(now, l)
}
