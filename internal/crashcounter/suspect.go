package crashcounter

import (
	"maps"
	"slices"
	"time"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/snapshot"
)

// start is one start of an upstream, which can crash once.
type start struct {
	upstream    ident.UpstreamID
	incarnation ident.Incarnation
}

// crash is one call whose upstream crashed, under one of the fingerprints of its request.
type crash struct {
	start start
	// byTarget is true if the fingerprint is that of the target.
	byTarget bool
	// sentAt and crashedAt are the times at which the call was sent and its connection
	// broke, by the clock of the VM that made it.
	sentAt, crashedAt time.Time
	// seenAt is the time at which this VM learned of the crash.
	seenAt time.Time
	// stored is true once the row is known to be in the store.
	stored bool
}

// suspect returns what is known of a request. A target whose requests this VM has
// answered identifies none.
func (c *Crashcounter) suspect(f ident.Fingerprint) snapshot.Suspect {
	crashes := slices.SortedFunc(maps.Values(c.crashes[f]), func(a, b *crash) int { return a.crashedAt.Compare(b.crashedAt) })
	isIdentified := true
	for _, crash := range crashes {
		isIdentified = isIdentified && (!crash.byTarget || !c.answered[f])
	}
	count := countIndependent(crashes)
	return snapshot.Suspect{Crashes: count, Quarantined: isIdentified && count >= maxCrashes}
}

// countIndependent counts the crashes of different upstreams, in the order of their
// times, of which none may have the cause of another: its call was sent after the last
// counted one, or it happened later than upstreams crash for one cause. The clocks of VMs
// may differ, so that crashes for one cause may count once for each differing clock.
func countIndependent(crashes []*crash) int {
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
	if len(c.crashes) == 0 {
		return
	}
	view.Entry.Suspects = make(map[ident.Fingerprint]snapshot.Suspect, len(c.crashes))
	for f := range c.crashes {
		view.Entry.Suspects[f] = c.suspect(f)
	}
}
