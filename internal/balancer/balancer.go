package balancer

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/effect"
	"github.com/sassafrasspur/sassafrasspur/internal/failure"
	"github.com/sassafrasspur/sassafrasspur/internal/message"
	"github.com/sassafrasspur/sassafrasspur/internal/outcome"
	"github.com/sassafrasspur/sassafrasspur/internal/poolestimator"
	"github.com/sassafrasspur/sassafrasspur/internal/readerselector"
	"github.com/sassafrasspur/sassafrasspur/internal/routing"
	"github.com/sassafrasspur/sassafrasspur/internal/snapshot"
	"github.com/sassafrasspur/sassafrasspur/internal/upstream"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

// Location is the location of this VM, with the region of each failure domain.
type Location struct {
	VM      ident.VMID
	Domain  ident.Domain
	Region  ident.Region
	Regions map[ident.Domain]ident.Region
}

// Balancer is the controller that chooses the upstream of each call.
type Balancer struct {
	location Location
	random   *rand.Rand

	routes    *routing.Table
	upstreams map[ident.PoolID][]*upstreamState
	byID      map[ident.UpstreamID]*upstreamState
	// records has the newest known process of each upstream, also if the list lacks it.
	records map[ident.UpstreamID]*upstreamState
	asOf    time.Time
	// serving has the VMs that serve callers, none before the first list.
	serving []snapshot.Member
	// placesPrograms is true if the engines of programs are remembered and new programs
	// are placed by load: in large failure domains.
	placesPrograms bool
	// limits has the request limits of upstreams. It is immutable.
	limits map[ident.UpstreamID]unit.Rate
	// leaving has the upstreams that said in an answer that they leave.
	leaving map[ident.UpstreamID]*leavingNotice
	// calls has the calls in flight by the ticket of the request for an upstream.
	calls map[ident.Ticket]call
	// firstByteTimes is the smoothed time to the first byte of each route.
	firstByteTimes map[ident.RouteID]time.Duration
	// pools has the usual figures of the engines of each pool.
	pools map[ident.PoolID]*poolestimator.Estimator
	// reporter receives what is learned.
	reporter   Reporter
	reportedAt time.Time
}

// New returns the balancer of a VM. The seed is that of the random numbers that
// decide among upstreams of equal cost.
func New(location Location, seed uint64, options ...Option) *Balancer {
	b := &Balancer{
		location:       location,
		random:         rand.New(rand.NewPCG(seed, seed)),
		upstreams:      map[ident.PoolID][]*upstreamState{},
		byID:           map[ident.UpstreamID]*upstreamState{},
		records:        map[ident.UpstreamID]*upstreamState{},
		leaving:        map[ident.UpstreamID]*leavingNotice{},
		calls:          map[ident.Ticket]call{},
		firstByteTimes: map[ident.RouteID]time.Duration{},
		pools:          map[ident.PoolID]*poolestimator.Estimator{},
		reporter:       noReporter{},
	}
	for _, option := range options {
		option(b)
	}
	return b
}

// Handle applies a message to the state and answers requests for an upstream.
func (b *Balancer) Handle(now time.Time, m message.Message) []effect.Effect {
	switch m := m.(type) {
	case message.RoutesChanged:
		b.routes = m.Table
		b.firstByteTimes = map[ident.RouteID]time.Duration{}
	case message.UpstreamsRead:
		b.setUpstreams(now, m)
		b.addAllowances(now)
		b.applyLeaving(now)
	case message.EngineLoadsRead:
		b.setLoads(m)
	case message.UpstreamNoticed:
		b.noteLeaving(now, m)
	case message.MembersListed:
		changed := !slices.Equal(b.serving, m.Serving)
		b.serving = m.Serving
		b.placesPrograms = readerselector.IsLargeDomain(b.location.Domain, m.Serving)
		if changed {
			b.updateAllowances(now)
		}
	case message.UpstreamLimitsChanged:
		b.limits = m.Limits
		b.updateAllowances(now)
	case message.ChooseUpstream:
		return []effect.Effect{effect.Answer{Ticket: m.Ticket, Outcome: b.choose(now, m)}}
	case message.CallProgressed:
		b.handleProgressed(now, m)
		b.report(now)
	case message.CallEnded:
		b.handleCallEnded(now, m)
	case message.WaitAbandoned:
		b.handleWaitAbandoned(now, m)
	}
	return nil
}

// choose answers a request for an upstream and counts the call as in flight.
func (b *Balancer) choose(now time.Time, m message.ChooseUpstream) outcome.Outcome {
	chosen := b.selectUpstream(now, m)
	if chosen.upstreamState == nil {
		return outcome.Refused{Err: failure.Refusal(failure.NoUpstream, b.retryAfter(now, m.Pool),
			"no upstream of pool %s can accept the request; retry later", m.Pool)}
	}
	b.startCall(now, chosen.upstreamState, m, chosen.isCached)
	return outcome.UpstreamChosen{
		Upstream: chosen.Upstream, Urgency: urgency(m.Route, m.Priority), Basis: chosen.basis, ListAge: now.Sub(b.asOf), IdleTimeout: b.idleTimeout(now, m),
		Limit: b.limits[chosen.ID],
	}
}

// idleTimeout returns the time without data after which a repeatable call should
// be sent to another upstream. It grows with the observed latency, so that
// retries do not make an overload worse.
func (b *Balancer) idleTimeout(now time.Time, m message.ChooseUpstream) time.Duration {
	limit := max(minIdleTimeout, idleTimeoutFactor*b.expectedFirstByte(m.Route.ID))
	if m.Prompt != nil {
		limit += time.Duration(float64(m.Prompt.Input) / b.pool(m.Pool).PrefillRate(now) * float64(time.Millisecond))
	}
	return limit
}

const (
	// noUpstreamRetryAfter is the retry delay given to callers if no upstream is
	// usable. The list is read again within this time.
	noUpstreamRetryAfter = 700 * time.Millisecond
	// minRetryAfter is the shortest retry delay under the limits of upstreams.
	minRetryAfter = 100 * time.Millisecond
)

// retryAfter returns the retry delay of a request that no upstream can accept.
func (b *Balancer) retryAfter(now time.Time, pool ident.PoolID) time.Duration {
	if next, ok := b.nextAllowed(now, pool); ok {
		return min(max(next, minRetryAfter), noUpstreamRetryAfter)
	}
	return noUpstreamRetryAfter
}

// firstEngineUrgency is the urgency of the most important calls at an engine. Less
// important ones have higher numbers; 5 is the engine's default.
const firstEngineUrgency = 3

// urgency returns the urgency of a call of a priority at an engine, or -1 if its route
// does not serve streams.
func urgency(r *routing.Route, priority int) upstream.Urgency {
	if _, ok := r.Kind.(routing.Stream); !ok {
		return -1
	}
	return upstream.Urgency(min(firstEngineUrgency+max(priority, 0), 9))
}

// Describe adds nothing to a snapshot: the controller that reads the list of
// upstreams describes them.
func (b *Balancer) Describe(*snapshot.Snapshot) {}
