// Package crashcounter has the controller that counts, for all VMs together, the
// upstreams that crashed while they had a request.
//
// A request that crashes each upstream that runs it comes again at any VM, with another
// id. Each VM writes a row for each of its calls whose upstream crashed before it
// answered, and all VMs watch these rows. A request with which several upstreams
// crashed is quarantined; one that an upstream answers is cleared, since it only ran
// beside another.
//
// A repeat may have another body, since the prompt of a later turn begins with that of
// an earlier one. It is recognized by its target alone, unless requests with the same
// target are answered: where many requests share a target, only those with the same
// body count as repeats.
package crashcounter

import (
	"encoding/json"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/effect"
	"github.com/sassafrasspur/sassafrasspur/internal/message"
	"github.com/sassafrasspur/sassafrasspur/internal/outcome"
	"github.com/sassafrasspur/sassafrasspur/internal/pacer"
	"github.com/sassafrasspur/sassafrasspur/internal/rows"
	"github.com/sassafrasspur/sassafrasspur/internal/rowwatcher"
	"github.com/sassafrasspur/sassafrasspur/internal/snapshot"
)

const (
	// table has one row for each call whose upstream crashed.
	table rows.Table = "request_crashes"
	// maxCrashes is the number of upstreams after which a request is quarantined. A
	// sound request that is repeated beside the same poisonous one may meet two.
	maxCrashes = 3
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
	crashes map[ident.Fingerprint]map[rows.Key]*crash
	// answers counts the answered calls, and answered has the targets of the last of
	// them, in the order in recent.
	answers  int
	answered map[ident.Fingerprint]bool
	recent   []ident.Fingerprint
}

// crash is one call whose upstream crashed, under one of the fingerprints of its request.
type crash struct {
	upstream ident.UpstreamID
	// byTarget is true if the fingerprint is that of the target.
	byTarget bool
	seenAt   time.Time
	// stored is true once the row is known to be in the store.
	stored bool
}

// crashRow is the stored form of a crash.
type crashRow struct {
	Upstream ident.UpstreamID `json:"upstream"`
	ByTarget bool             `json:"by_target"`
}

// New returns the controller. The seed is that of the retention, which differs between
// VMs. Rows that can't be read are ignored, and their errors are passed to reject.
func New(seed uint64, reject func(error)) *Crashcounter {
	jitter := rand.New(rand.NewPCG(seed, seed)).Int64N(int64(retentionJitter))
	return &Crashcounter{
		reject: reject, retention: retention + time.Duration(jitter), watcher: rowwatcher.New(table),
		crashes: map[ident.Fingerprint]map[rows.Key]*crash{}, answered: map[ident.Fingerprint]bool{},
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
		c.add(f, key, crash{upstream: m.Upstream, byTarget: byTarget, seenAt: now})
		t.Puts = append(t.Puts, c.put(f, key)...)
		quarantined = quarantined || c.suspect(f).Quarantined
	}
	if c.answers >= minAnswers && !c.answered[m.Target] {
		add(m.Target, true)
	}
	// The fingerprints of a request without a body are equal.
	if m.Contents != m.Target {
		add(m.Contents, false)
	}
	effects := []effect.Effect{effect.Answer{Ticket: m.Ticket, Outcome: outcome.CrashCounted{Quarantined: quarantined}}, effect.Publish{}}
	if len(t.Puts) > 0 {
		effects = append(effects, effect.WriteRows{Transaction: t})
	}
	return effects
}

func (c *Crashcounter) add(f ident.Fingerprint, key rows.Key, added crash) {
	if c.crashes[f] == nil {
		c.crashes[f] = map[rows.Key]*crash{}
	}
	c.crashes[f][key] = &added
}

// put returns the row of a crash. It needs no condition: the key names one call at one
// upstream.
func (c *Crashcounter) put(f ident.Fingerprint, key rows.Key) []rows.Put {
	crash := c.crashes[f][key]
	value, err := json.Marshal(crashRow{Upstream: crash.upstream, ByTarget: crash.byTarget})
	if err != nil {
		// Unreachable: strings can always be encoded.
		c.reject(errors.Annotatef(err, "encode the crash of a request"))
		return nil
	}
	return []rows.Put{{ID: rowID(key), Value: value}}
}

// writeAgain writes the rows that could not be written.
func (c *Crashcounter) writeAgain() []effect.Effect {
	var t rows.Transaction
	for f, crashes := range c.crashes {
		for key, crash := range crashes {
			if !crash.stored && len(t.Puts) < maxChanges {
				t.Puts = append(t.Puts, c.put(f, key)...)
			}
		}
	}
	if len(t.Puts) == 0 {
		return nil
	}
	return []effect.Effect{effect.WriteRows{Transaction: t}}
}

// forget clears a request that an upstream has answered.
func (c *Crashcounter) forget(f ident.Fingerprint) []effect.Effect {
	crashes, ok := c.crashes[f]
	if !ok {
		return nil
	}
	var t rows.Transaction
	for key, crash := range crashes {
		if crash.stored && len(t.Removes) < maxChanges {
			t.Removes = append(t.Removes, rowID(key))
		}
	}
	delete(c.crashes, f)
	effects := []effect.Effect{effect.Publish{}}
	if len(t.Removes) > 0 {
		effects = append(effects, effect.WriteRows{Transaction: t})
	}
	return effects
}

// handleRows applies the rows that this and other VMs wrote.
func (c *Crashcounter) handleRows(now time.Time, u rowwatcher.Update) []effect.Effect {
	if u.Complete {
		c.dropMissing(u.Page)
	}
	for _, row := range u.Rows {
		f, _, ok := strings.Cut(string(row.Key), "/")
		var stored crashRow
		if err := json.Unmarshal(row.Value, &stored); err != nil || !ok {
			c.reject(errors.Errorf("row %s of a crash can't be used: %s", row.Key, row.Value))
			continue
		}
		seenAt := now
		if known := c.crashes[ident.Fingerprint(f)][row.Key]; known != nil {
			seenAt = known.seenAt
		}
		c.add(ident.Fingerprint(f), row.Key, crash{upstream: stored.Upstream, byTarget: stored.ByTarget, seenAt: seenAt, stored: true})
	}
	for _, id := range u.Removed {
		c.drop(id.Key)
	}
	return append(c.expire(now), effect.Publish{})
}

// dropMissing forgets the crashes whose rows were removed.
func (c *Crashcounter) dropMissing(page rows.Page) {
	for _, crashes := range c.crashes {
		for key, crash := range crashes {
			if _, present := rows.Find(page.Rows, rowID(key)); crash.stored && !present {
				c.drop(key)
			}
		}
	}
}

func (c *Crashcounter) drop(key rows.Key) {
	f, _, _ := strings.Cut(string(key), "/")
	delete(c.crashes[ident.Fingerprint(f)], key)
	if len(c.crashes[ident.Fingerprint(f)]) == 0 {
		delete(c.crashes, ident.Fingerprint(f))
	}
}

// expire removes the crashes whose retention is over.
func (c *Crashcounter) expire(now time.Time) []effect.Effect {
	var t rows.Transaction
	for _, crashes := range c.crashes {
		for key, crash := range crashes {
			if now.Sub(crash.seenAt) > c.retention && len(t.Removes) < maxChanges {
				t.Removes = append(t.Removes, rowID(key))
				c.drop(key)
			}
		}
	}
	if len(t.Removes) == 0 {
		return nil
	}
	return []effect.Effect{effect.WriteRows{Transaction: t}}
}

// handleWrite records which rows were written. The others are written again.
func (c *Crashcounter) handleWrite(now time.Time, m message.RowsWritten) []effect.Effect {
	for _, put := range m.Transaction.Puts {
		if put.Table != table {
			return nil
		}
		if m.Err != nil {
			return []effect.Effect{c.writer.Set(now.Add(retryInterval))}
		}
		f, _, _ := strings.Cut(string(put.Key), "/")
		if crash := c.crashes[ident.Fingerprint(f)][put.Key]; crash != nil {
			crash.stored = true
		}
	}
	return nil
}

func rowID(key rows.Key) rows.ID { return rows.ID{Table: table, Key: key} }

// suspect returns what is known of a request. Calls that one crash of an
// upstream broke count once. A target whose requests this VM has answered identifies none.
func (c *Crashcounter) suspect(f ident.Fingerprint) snapshot.Suspect {
	upstreams := map[ident.UpstreamID]bool{}
	isIdentified := true
	for _, crash := range c.crashes[f] {
		upstreams[crash.upstream] = true
		isIdentified = !crash.byTarget || !c.answered[f]
	}
	return snapshot.Suspect{Crashes: len(upstreams), Quarantined: isIdentified && len(upstreams) >= maxCrashes}
}

// Describe adds the requests with which upstreams crashed to a snapshot.
func (c *Crashcounter) Describe(view *snapshot.Snapshot) {
	if len(c.crashes) == 0 {
		return
	}
	view.Entry.Suspects = make(map[ident.Fingerprint]snapshot.Suspect, len(c.crashes))
	for f := range c.crashes {
		view.Entry.Suspects[f] = c.suspect(f)
	}
}
