package balancer

import (
	"time"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/message"
)

const (
	// leavingRetention is how long an upstream gets no calls after an answer that says
	// that it leaves. Known upstreams end within seconds.
	leavingRetention = 2 * time.Minute
	// restartDelay is the time for which a leaving upstream of unknown incarnation must
	// be missing from the list to count as a new process when it is listed again.
	// Entries that lapsed in an outage of the store are back within 2 s.
	restartDelay = 5 * time.Second
)

// leavingNotice is the last answer in which an upstream said that it leaves.
type leavingNotice struct {
	at          time.Time
	incarnation ident.Incarnation
	// unlistedSince is when the list first lacked the upstream, zero if it has it.
	unlistedSince time.Time
}

// noteLeaving records that an upstream said in an answer that it leaves.
func (b *Balancer) noteLeaving(now time.Time, m message.UpstreamNoticed) {
	if !m.Notice.Leaving {
		return
	}
	s, listed := b.byID[m.Upstream]
	if listed && s.Incarnation.Replaces(m.Incarnation) {
		return
	}
	notice := &leavingNotice{at: now, incarnation: m.Incarnation}
	if earlier := b.leaving[m.Upstream]; earlier != nil {
		notice.incarnation = max(notice.incarnation, earlier.incarnation)
	}
	b.leaving[m.Upstream] = notice
	if listed {
		s.Leaving = true
	}
}

// applyLeaving marks the listed upstreams that said that they leave, and forgets those
// that have been replaced by another process.
func (b *Balancer) applyLeaving(now time.Time) {
	for id, l := range b.leaving {
		s, listed := b.byID[id]
		replaced := listed && (s.Incarnation.Replaces(l.incarnation) ||
			!l.unlistedSince.IsZero() && now.Sub(l.unlistedSince) > restartDelay)
		switch {
		case replaced || now.Sub(l.at) > leavingRetention:
			delete(b.leaving, id)
		case listed:
			l.unlistedSince, s.Leaving = time.Time{}, true
		case l.unlistedSince.IsZero():
			l.unlistedSince = now
		}
	}
}
