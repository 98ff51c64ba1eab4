package crashcounter

import (
	"slices"
	"time"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/snapshot"
)

// entry is an event under a fingerprint of a request.
type entry struct {
	event event
	// seenAt is the time at which this VM learned of the event.
	seenAt time.Time
	// stored is true once the row is known to be in the store.
	stored bool
}

// event is what an entry records. The interface is sealed: the variants are crash and
// trial.
type event interface{ event() }

// crash is one call whose upstream crashed.
type crash struct {
	start start
	// byTarget is true if the fingerprint is that of the target.
	byTarget bool
	// sentAt and crashedAt are the times at which the call was sent and its connection
	// broke, by the clock of the VM that made it.
	sentAt, crashedAt time.Time
}

// trial is one quarantined request that was passed on, to find out whether upstreams
// still crash with it.
type trial struct{}

func (crash) event() {}
func (trial) event() {}

// start is one start of an upstream, which can crash once.
type start struct {
	upstream    ident.UpstreamID
	incarnation ident.Incarnation
}

// suspect returns what is known of a request. A target whose requests this VM has
// answered identifies none.
func (c *Crashcounter) suspect(f ident.Fingerprint) snapshot.Suspect {
	var crashes []crash
	var latest time.Time
	trials, isIdentified := 0, true
	for _, e := range c.entries[f] {
		if e.seenAt.After(latest) {
			latest = e.seenAt
		}
		switch event := e.event.(type) {
		case crash:
			crashes = append(crashes, event)
			isIdentified = isIdentified && (!event.byTarget || !c.answered[f])
		case trial:
			trials++
		}
	}
	s := snapshot.Suspect{Crashes: countIndependent(crashes)}
	s.Quarantined = isIdentified && s.Crashes >= maxCrashes
	if s.Quarantined && trials < len(trialDelays) {
		s.TrialAt = latest.Add(trialDelays[trials])
	}
	return s
}

// countIndependent counts the crashes of different upstreams, in the order of their
// times, of which none may have the cause of another: its call was sent after the last
// counted one, or it happened later than upstreams crash for one cause. The clocks of VMs
// may differ, so that crashes for one cause may count once for each differing clock.
func countIndependent(crashes []crash) int {
	slices.SortFunc(crashes, func(a, b crash) int { return a.crashedAt.Compare(b.crashedAt) })
	counted := map[start]bool{}
	count := 0
	var last time.Time
	for _, c := range crashes {
		if counted[c.start] {
			continue
		}
		counted[c.start] = true
		if count == 0 || c.sentAt.After(last) || c.crashedAt.Sub(last) > eventSpread {
			count++
			last = c.crashedAt
		}
	}
	return count
}

// Describe adds the requests with which upstreams crashed to a snapshot.
func (c *Crashcounter) Describe(view *snapshot.Snapshot) {
	if len(c.entries) == 0 {
		return
	}
	view.Entry.Suspects = make(map[ident.Fingerprint]snapshot.Suspect, len(c.entries))
	for f := range c.entries {
		view.Entry.Suspects[f] = c.suspect(f)
	}
}
