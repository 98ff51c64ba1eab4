// Package crashcounter has the controller that counts, for all VMs together, the
// upstreams that crashed while they had a request.
//
// A request that crashes each upstream that runs it comes again at any VM, with another
// id. Each VM writes a row for each of its calls whose upstream crashed before it
// answered, and all VMs watch these rows. A request with which several upstreams
// crashed is quarantined; one that an upstream answers is cleared, since it only ran
// beside another. Upstreams that crash for one cause, such as the loss of a failure
// domain, count once: calls that were under way at the first of these crashes are no
// evidence against their request. A few times, a quarantined request is passed on after
// a pause, so that an answer can clear it.
//
// A repeat has the account, target and body of the first copy. It may also have another
// body, since the prompt of a later turn begins with that of an earlier one. It is then
// recognized by its account and target alone, unless requests with both are answered:
// where many requests share a target, only those with the same body count as repeats.
package crashcounter

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/effect"
	"github.com/sassafrasspur/sassafrasspur/internal/message"
	"github.com/sassafrasspur/sassafrasspur/internal/outcome"
	"github.com/sassafrasspur/sassafrasspur/internal/pacer"
	"github.com/sassafrasspur/sassafrasspur/internal/rows"
	"github.com/sassafrasspur/sassafrasspur/internal/rowwatcher"
)

const (
	// table has one row for each call whose upstream crashed, and for each trial.
	table rows.Table = "request_crashes"
	// maxCrashes is the number of upstreams after which a request is quarantined. A
	// sound request that is repeated beside the same poisonous one may meet two.
	maxCrashes = 3
	// eventSpread is the time within which the connections to upstreams that crash for
	// one cause break. The delay between regions is 12 ms; the rest is for VMs and
	// clocks that lag.
	eventSpread = 100 * time.Millisecond
	// retention is how long a crash is counted, and retentionJitter the part of it
	// that differs between VMs, so that one VM removes a row for all.
	retention       = 10 * time.Minute
	retentionJitter = time.Minute
	// maxTargets is the number of targets that a VM remembers as answered.
	maxTargets = 4096
	// minAnswers is the number of answers from which a VM knows whether many requests
	// share a target. Before, it counts crashes by the body only.
	minAnswers = 20
	// retryInterval is the delay after a failed write.
	retryInterval = time.Second
	// maxChanges bounds the rows of one transaction. The platform's store accepts 100
	// entries.
	maxChanges = 90
)

// Crashcounter counts the upstreams that crashed with requests.
type Crashcounter struct {
	reject    func(error)
	retention time.Duration
	watcher   *rowwatcher.Rowwatcher
	// writer schedules the next write of rows that could not be written.
	writer  pacer.Pacer
	entries map[ident.Fingerprint]map[rows.Key]*entry
	// pendingTrials has the requests that wait for the row of their trial.
	pendingTrials map[rows.Key]ident.Ticket
	// answers counts the answered calls, and answered has the targets of the last of
	// them, in the order in recent.
	answers  int
	answered map[ident.Fingerprint]bool
	recent   []ident.Fingerprint
}

// New returns the controller. The seed is that of the retention, which differs between
// VMs. Rows that can't be read are ignored, and their errors are passed to reject.
func New(seed uint64, reject func(error)) *Crashcounter {
	jitter := rand.New(rand.NewPCG(seed, seed)).Int64N(int64(retentionJitter))
	return &Crashcounter{
		reject: reject, retention: retention + time.Duration(jitter), watcher: rowwatcher.New(table),
		entries: map[ident.Fingerprint]map[rows.Key]*entry{}, pendingTrials: map[rows.Key]ident.Ticket{}, answered: map[ident.Fingerprint]bool{},
	}
}

// Handle processes a message and returns the resulting effects.
func (c *Crashcounter) Handle(now time.Time, m message.Message) []effect.Effect {
	update, effects := c.watcher.Handle(now, m)
	if update != nil {
		return append(effects, c.handleRows(now, *update)...)
	}
	switch m := m.(type) {
	case message.Tick:
		due, wake := c.writer.Tick(now)
		effects = append(effects, wake...)
		if due {
			effects = append(effects, c.writeAgain()...)
		}
	case message.CallEnded:
		if _, ok := m.Result.(message.UpstreamAnswered); ok {
			c.remember(m.Target)
		}
	case message.UpstreamCrashed:
		return c.count(now, m)
	case message.TrialRequested:
		return c.startTrial(now, m)
	case message.SuspectAnswered:
		return c.forget(m.Fingerprint)
	case message.RowsWritten:
		return c.handleWrite(now, m)
	}
	return effects
}

// remember records that a request with a target was answered.
func (c *Crashcounter) remember(target ident.Fingerprint) {
	c.answers++
	if c.answered[target] {
		return
	}
	c.answered[target] = true
	c.recent = append(c.recent, target)
	if len(c.recent) > maxTargets {
		delete(c.answered, c.recent[0])
		c.recent = c.recent[1:]
	}
}

// count records a crash and answers whether the request is quarantined.
func (c *Crashcounter) count(now time.Time, m message.UpstreamCrashed) []effect.Effect {
	call := strconv.FormatUint(xxhash.Sum64String(string(m.Request)+"/"+string(m.Upstream)), 16)
	var t rows.Transaction
	quarantined := false
	add := func(f ident.Fingerprint, byTarget bool) {
		key := rows.Key(string(f) + "/" + call)
		c.add(f, key, entry{
			event: crash{
				start: start{m.Upstream, m.Incarnation}, byTarget: byTarget, sentAt: toMicrosecond(m.SentAt), crashedAt: toMicrosecond(m.CrashedAt),
			},
			seenAt: now,
		})
		t.Puts = append(t.Puts, c.put(f, key)...)
		quarantined = quarantined || c.suspect(f).Quarantined
	}
	if c.answers >= minAnswers && !c.answered[m.Target] {
		add(m.Target, true)
	}
	add(m.Contents, false)
	return []effect.Effect{
		effect.Answer{Ticket: m.Ticket, Outcome: outcome.CrashCounted{Quarantined: quarantined}}, effect.Publish{}, effect.WriteRows{Transaction: t},
	}
}

func (c *Crashcounter) add(f ident.Fingerprint, key rows.Key, added entry) {
	if c.entries[f] == nil {
		c.entries[f] = map[rows.Key]*entry{}
	}
	c.entries[f][key] = &added
}

// forget clears a request that an upstream has answered.
func (c *Crashcounter) forget(f ident.Fingerprint) []effect.Effect {
	entries, ok := c.entries[f]
	if !ok {
		return nil
	}
	var t rows.Transaction
	for key, e := range entries {
		if e.stored && len(t.Removes) < maxChanges {
			t.Removes = append(t.Removes, rowID(key))
		}
	}
	delete(c.entries, f)
	effects := []effect.Effect{effect.Publish{}}
	if len(t.Removes) > 0 {
		effects = append(effects, effect.WriteRows{Transaction: t})
	}
	return effects
}
