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
	// smoothingFactor is the weight of a new observation in an estimate.
	smoothingFactor = 0.2
	// promptTokensPerOutputToken is how many prompt tokens an engine processes in
	// the time of one output token.
	promptTokensPerOutputToken = 16
)

// defaultEstimate is used before the first call: the speed of a typical engine.
var defaultEstimate = router.Estimate{
	Service: 500 * time.Millisecond,
	Prefill: 200 * time.Microsecond,
	Output:  20 * time.Millisecond,
}

// loadRead tracks the periodic read of an upstream's load report.
type loadRead struct {
	startedAt time.Time
	pending   bool
}

// due reports whether to start a read now, and records it as pending if so. A
// read that has not been answered within the limit is repeated.
func (l *loadRead) due(now time.Time, limit time.Duration) bool {
	if l.pending && now.Sub(l.startedAt) < limit {
		return false
	}
	l.startedAt, l.pending = now, true
	return true
}

// upstream is this VM's view of an upstream and its own calls there.
type upstream struct {
	configuration configuration.Upstream
	kind          configuration.PoolKind
	// removed is true if the upstream is no longer configured.
	removed bool
	// configuredAt is when the upstream was configured at its present address.
	// Reports of reads that started before may be of another process.
	configuredAt time.Time
	// listedAt and reportedAt are the start times of the last successful reads of
	// the platform's list and of the load report.
	listedAt   time.Time
	reportedAt time.Time
	// leavingInList and leavingInReport are the results of these reads.
	leavingInList   bool
	leavingInReport bool
	// refusedAt is when the upstream last refused a call because it is leaving.
	// It is cleared by a later load report that does not say so.
	refusedAt time.Time

	reportedCalls int
	waitingTokens unit.Tokens
	lastRead      loadRead
	// inFlightAtRead is inFlight at the start of the current load read;
	// inFlightAtReport is its value for the last report.
	inFlightAtRead   int
	inFlightAtReport int

	inFlight       int
	inFlightByTeam map[ident.TeamID]int
	limit          limiter.State
	estimate       router.Estimate
	// unusable is the result of the last check, empty if the upstream is usable.
	unusable snapshot.UnusableReason
}

// newUpstream returns an upstream with unknown views. Calls in flight at its
// previous address, if there was one, still count.
func newUpstream(previous *upstream, now time.Time) *upstream {
	u := &upstream{inFlightByTeam: map[ident.TeamID]int{}, estimate: defaultEstimate, configuredAt: now, unusable: snapshot.NoLoadReport}
	if previous != nil {
		u.inFlight, u.inFlightByTeam = previous.inFlight, previous.inFlightByTeam
	}
	return u
}

func (u *upstream) bounds() limiter.Bounds { return limiter.BoundsFor(u.configuration.Slots) }

func (u *upstream) leaving() bool {
	return u.configuration.Drain || u.leavingInList || u.leavingInReport || !u.refusedAt.IsZero()
}

// unusableReason returns why the upstream may not get new work, or "" if it may.
func (u *upstream) unusableReason(now time.Time, limit time.Duration) snapshot.UnusableReason {
	switch {
	case u.configuration.Drain:
		return snapshot.Drained
	case u.leaving():
		return snapshot.UpstreamLeaving
	case u.reportedAt.IsZero() || now.Sub(u.reportedAt) > limit:
		return snapshot.NoLoadReport
	case u.listedAt.IsZero() || now.Sub(u.listedAt) > limit:
		return snapshot.NotInPlatformList
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
		ReportedLoad:     u.reportedCalls,
		WaitingTokens:    u.waitingTokens,
		InFlight:         u.inFlight,
		InFlightAtReport: u.inFlightAtReport,
		Cached:           cached,
		Estimate:         u.estimate,
	}
}

// applyReport applies a load report, unless its read started before that of the
// last report or before the upstream was configured at its present address.
func (u *upstream) applyReport(m message.UpstreamReported) {
	u.lastRead.pending = false
	if m.Err != nil || m.StartedAt.Before(u.reportedAt) || m.StartedAt.Before(u.configuredAt) {
		return
	}
	u.reportedAt, u.leavingInReport = m.StartedAt, m.Leaving
	u.reportedCalls, u.waitingTokens = m.Running+m.Waiting, m.WaitingTokens
	u.inFlightAtReport = u.inFlightAtRead
	if !m.Leaving && m.StartedAt.After(u.refusedAt) {
		u.refusedAt = time.Time{}
	}
}

// observe updates the estimate and the limit after a call that was sent to the
// upstream.
func (u *upstream) observe(now time.Time, g *grant, m message.GrantReturned) {
	if m.Duration <= 0 {
		return
	}
	latency := m.Duration
	if u.kind == configuration.EnginePool && !m.Failed {
		work := unit.Tokens(0)
		if work = u.updateEstimate(g, m); work <= 0 {
			return
		}
		latency = max(1, m.Duration/time.Duration(work))
	}
	if !m.Failed {
		u.estimate.Service = ewma(u.estimate.Service, u.serviceTime(m))
	}
	u.limit = u.limit.Observe(now, u.bounds(), limiter.Observation{
		Latency: latency, Duration: m.Duration, Failed: m.Failed,
	})
}

// serviceTime returns the time for which a call occupied a slot. For an engine,
// the time in its queue is left out: the prediction of a wait from the number of
// calls ahead would otherwise count it twice.
func (u *upstream) serviceTime(m message.GrantReturned) time.Duration {
	if u.kind != configuration.EnginePool {
		return m.Duration
	}
	return m.Duration - m.FirstByte + time.Duration(uncachedTokens(m.Usage))*u.estimate.Prefill
}

// updateEstimate updates an engine's time per token and returns the work of the
// call, in equivalents of output tokens.
func (u *upstream) updateEstimate(g *grant, m message.GrantReturned) unit.Tokens {
	uncached := uncachedTokens(m.Usage)
	if uncached > 0 && m.FirstByte > g.predictedWait {
		u.estimate.Prefill = ewma(u.estimate.Prefill, (m.FirstByte-g.predictedWait)/time.Duration(uncached))
	}
	if m.Usage.OutputTokens > 0 && m.Duration > m.FirstByte {
		u.estimate.Output = ewma(u.estimate.Output, (m.Duration-m.FirstByte)/time.Duration(m.Usage.OutputTokens))
	}
	return m.Usage.OutputTokens + (uncached+promptTokensPerOutputToken-1)/promptTokensPerOutputToken
}

// uncachedTokens returns the prompt tokens that the engine had to compute.
func uncachedTokens(usage record.Usage) unit.Tokens {
	return max(0, usage.PromptTokens-usage.CachedTokens)
}

// ewma returns the exponentially weighted moving average with one more observation.
func ewma(old, observed time.Duration) time.Duration {
	return old + time.Duration(float64(observed-old)*smoothingFactor)
}
