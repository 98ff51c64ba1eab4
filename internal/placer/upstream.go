package placer

import (
	"time"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/configuration"
	"github.com/sassafrasspur/sassafrasspur/internal/limiter"
	"github.com/sassafrasspur/sassafrasspur/internal/message"
	"github.com/sassafrasspur/sassafrasspur/internal/record"
	"github.com/sassafrasspur/sassafrasspur/internal/router"
	"github.com/sassafrasspur/sassafrasspur/internal/snapshot"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

const (
	// weight is the part of a new observation in an estimate.
	weight = 0.2
	// prefillRatio is how many prompt tokens take the time of one output token.
	prefillRatio = 16
)

// unobserved is the estimate before the first call: a usual engine.
var unobserved = router.Estimate{
	Service: 500 * time.Millisecond,
	Prefill: 200 * time.Microsecond,
	Output:  20 * time.Millisecond,
}

// reading is a read that is asked for at an interval.
type reading struct {
	askedAt time.Time
	pending bool
}

// due reports whether to ask now. A read without an answer is asked for again
// after the limit.
func (p *reading) due(now time.Time, limit time.Duration) bool {
	if p.pending && now.Sub(p.askedAt) < limit {
		return false
	}
	p.askedAt, p.pending = now, true
	return true
}

// upstream is the node's view of an upstream and its own work there.
type upstream struct {
	configuration configuration.Upstream
	kind          configuration.PoolKind
	// removed is true if the configuration has the upstream no longer.
	removed bool
	// createdAt is when the upstream came into the configuration; an earlier
	// report is of a process at another address.
	createdAt time.Time
	// listedAt and reportedAt are when the reads started that last succeeded.
	listedAt   time.Time
	reportedAt time.Time
	// listLeaving and reportLeaving are what these reads said.
	listLeaving   bool
	reportLeaving bool
	// refusedAt is when the upstream refused because it is leaving. A later
	// report of the upstream itself settles it.
	refusedAt time.Time

	running       int
	waitingTokens unit.Tokens
	loading       reading
	// inFlightAtRead is the own work when the load was asked for.
	inFlightAtRead   int
	inFlightAtReport int

	inFlight int
	held     map[ident.TeamID]int
	limit    limiter.State
	estimate router.Estimate
	// unusable is the result of the last check; empty if the upstream is usable.
	unusable snapshot.Unusable
}

// newUpstream returns an upstream with unknown views. The calls in flight at its
// earlier address, if there was one, still count.
func newUpstream(earlier *upstream, now time.Time) *upstream {
	u := &upstream{held: map[ident.TeamID]int{}, estimate: unobserved, createdAt: now, unusable: snapshot.Silent}
	if earlier != nil {
		u.inFlight, u.held = earlier.inFlight, earlier.held
	}
	return u
}

func (u *upstream) bounds() limiter.Bounds { return limiter.BoundsFor(u.configuration.Slots) }

func (u *upstream) leaving() bool {
	return u.configuration.Drain || u.listLeaving || u.reportLeaving || !u.refusedAt.IsZero()
}

// check returns why the upstream may not get new work; empty if it may.
func (u *upstream) check(now time.Time, limit time.Duration) snapshot.Unusable {
	switch {
	case u.configuration.Drain:
		return snapshot.Drained
	case u.leaving():
		return snapshot.UpstreamLeaving
	case u.reportedAt.IsZero() || now.Sub(u.reportedAt) > limit:
		return snapshot.Silent
	case u.listedAt.IsZero() || now.Sub(u.listedAt) > limit:
		return snapshot.Unlisted
	}
	return ""
}

func (u *upstream) usable() bool { return u.unusable == "" }

func (u *upstream) candidate(cached unit.Tokens, free bool) router.Candidate {
	return router.Candidate{
		Upstream:         u.configuration.ID,
		Region:           u.configuration.Region,
		Slots:            u.configuration.Slots,
		Free:             free,
		Reported:         u.running,
		WaitingTokens:    u.waitingTokens,
		InFlight:         u.inFlight,
		InFlightAtReport: u.inFlightAtReport,
		Cached:           cached,
		Estimate:         u.estimate,
	}
}

func (u *upstream) report(m message.UpstreamReported) {
	u.loading.pending = false
	if m.Err != nil || m.StartedAt.Before(u.reportedAt) || m.StartedAt.Before(u.createdAt) {
		return
	}
	u.reportedAt, u.reportLeaving = m.StartedAt, m.Leaving
	u.running, u.waitingTokens = m.Running+m.Waiting, m.WaitingTokens
	u.inFlightAtReport = u.inFlightAtRead
	if !m.Leaving && m.StartedAt.After(u.refusedAt) {
		u.refusedAt = time.Time{}
	}
}

// observe learns from a call that was dispatched.
func (u *upstream) observe(now time.Time, g *grant, m message.GrantReturned) {
	if m.Duration <= 0 {
		return
	}
	latency := m.Duration
	if u.kind == configuration.EnginePool && !m.Failed {
		work := unit.Tokens(0)
		if work = u.learn(g, m); work <= 0 {
			return
		}
		latency = max(1, m.Duration/time.Duration(work))
	}
	if !m.Failed {
		u.estimate.Service = mean(u.estimate.Service, u.serviceTime(m))
	}
	u.limit = u.limit.Observe(now, u.bounds(), limiter.Observation{
		Latency: latency, Duration: m.Duration, Failed: m.Failed,
	})
}

// serviceTime is the time for which a call held a slot. An engine's answer also
// waited in its queue, which would be counted twice when a wait is predicted
// from the number of calls before it.
func (u *upstream) serviceTime(m message.GrantReturned) time.Duration {
	if u.kind != configuration.EnginePool {
		return m.Duration
	}
	return m.Duration - m.FirstByte + time.Duration(uncachedOf(m.Usage))*u.estimate.Prefill
}

// learn updates the estimates of an engine and returns the work of the call in
// output tokens.
func (u *upstream) learn(g *grant, m message.GrantReturned) unit.Tokens {
	uncached := uncachedOf(m.Usage)
	if uncached > 0 && m.FirstByte > g.wait {
		u.estimate.Prefill = mean(u.estimate.Prefill, (m.FirstByte-g.wait)/time.Duration(uncached))
	}
	if m.Usage.OutputTokens > 0 && m.Duration > m.FirstByte {
		u.estimate.Output = mean(u.estimate.Output, (m.Duration-m.FirstByte)/time.Duration(m.Usage.OutputTokens))
	}
	return m.Usage.OutputTokens + (uncached+prefillRatio-1)/prefillRatio
}

func uncachedOf(usage record.Usage) unit.Tokens {
	return max(0, usage.PromptTokens-usage.CachedTokens)
}

func mean(old, observed time.Duration) time.Duration {
	return old + time.Duration(float64(observed-old)*weight)
}
