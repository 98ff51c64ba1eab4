package balancer

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/message"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

// cost is an expected delay in milliseconds, or a penalty in the same unit.
type cost float64

const (
	// crossDomainCost and crossRegionCost are the costs of distance: the round
	// trips of a call, with 1.4 and 12 ms one way, and the price of its bytes.
	crossDomainCost cost = 5
	crossRegionCost cost = 60
	// avoidanceCost is far above the usual costs, so that an upstream to be avoided
	// is used only if all others are to be avoided as well.
	avoidanceCost cost = 10_000
	// inFlightCost is the cost of each call that this VM has in flight at an
	// engine.
	inFlightCost cost = 12
	// limitedDiscount lowers the cost of an upstream whose request limit allows the
	// call now. It outweighs the recomputation of a usual prompt: what a limit allows
	// and nobody uses is load on the upstreams without a limit.
	limitedDiscount cost = 60
	// connectionSetupCost is the cost of opening a connection: its round trips
	// and its price. It makes a VM concentrate its calls on few upstreams.
	connectionSetupCost cost = 15
	// maxJitter bounds a random cost that keeps VMs from all choosing the same
	// upstream among equal ones.
	maxJitter cost = 4
)

// cheapest returns the upstream with the lowest cost, or nil if there is none, given the
// one that has the call's prompt in its cache.
func (b *Balancer) cheapest(now time.Time, m message.ChooseUpstream, preferred ident.UpstreamID) *upstreamState {
	limit := b.connectionLimit(m.Pool)
	var best *upstreamState
	var lowest cost
	for _, s := range b.upstreams[m.Pool] {
		if !s.accepts(now, m, limit) {
			continue
		}
		c := b.cost(now, s, m, s.ID == preferred) + cost(b.random.Float64())*maxJitter
		if best == nil || c < lowest {
			best, lowest = s, c
		}
	}
	return best
}

// accepts reports whether a call can be sent to the upstream, given the number of
// connections that this VM may have to it.
func (s *upstreamState) accepts(now time.Time, m message.ChooseUpstream, connections int) bool {
	return !s.Leaving && !slices.Contains(m.Tried, s.ID) && s.InFlight() < connections && s.allowance.allows(now)
}

// mustAvoid reports whether a call is sent to the upstream only if there is no other.
func (s *upstreamState) mustAvoid(now time.Time, m message.ChooseUpstream) bool {
	return s.IsAvoided(now) || s.IsSuspect(now) && !m.Route.Repeatable()
}

// connectionLimit returns how many connections this VM may have to one upstream.
// The serving VMs divide the connections that an upstream accepts.
func (b *Balancer) connectionLimit(pool ident.PoolID) int {
	if b.routes == nil || b.routes.Pools[pool].Connections <= 0 {
		return 1 << 20
	}
	return max(b.routes.Pools[pool].Connections/max(len(b.serving), 1), 2)
}

// cost returns the expected cost of a call at an upstream.
func (b *Balancer) cost(now time.Time, s *upstreamState, m message.ChooseUpstream, isPreferred bool) cost {
	c := b.distanceCost(s)
	if s.mustAvoid(now, m) {
		c += avoidanceCost
	}
	if !s.HasIdleConnection(now) {
		c += connectionSetupCost
	}
	if s.allowance != nil {
		c -= limitedDiscount
	}
	if m.Prompt == nil {
		return c + cost(s.InFlight()+1)*milliseconds(b.expectedFirstByte(m.Route.ID))*cost(s.RelativeLatency(now))
	}
	c += cost(s.InFlight()) * inFlightCost
	if !isPreferred {
		c += cost(float64(unsharedTokens(m)) / b.pool(m.Pool).PrefillRate(now))
	}
	return c
}

// unsharedTokens returns the length of the prompt without its first part, which
// many programs share and every engine has cached.
func unsharedTokens(m message.ChooseUpstream) unit.Tokens {
	unshared := m.Prompt.Input
	if len(m.Prompt.Parts) > 1 {
		unshared -= m.Prompt.Parts[0].Tokens
	}
	return max(unshared, 0)
}

// distanceCost returns the cost of the distance to an upstream.
func (b *Balancer) distanceCost(s *upstreamState) cost {
	switch {
	case s.Domain == b.location.Domain:
		return 0
	case b.location.Regions[s.Domain] == b.location.Region:
		return crossDomainCost
	default:
		return crossRegionCost
	}
}

// affinityUpstream returns the preferred upstream of an affinity key: the one in
// the VM's region with the highest hash of key and upstream, or in any region if
// there is none. This is rendezvous hashing: all VMs of a region choose the same
// upstream without coordination. While the limit of that upstream allows no call, the
// keys spread over the upstreams of all regions that have no limit.
func (b *Balancer) affinityUpstream(now time.Time, m message.ChooseUpstream) ident.UpstreamID {
	if m.Affinity == "" {
		return ""
	}
	preferred := b.highestHash(m, b.isInRegion)
	if preferred == nil {
		preferred = b.highestHash(m, func(*upstreamState) bool { return true })
	}
	if preferred != nil && !preferred.allowance.allows(now) {
		if unlimited := b.highestHash(m, func(s *upstreamState) bool { return s.allowance == nil }); unlimited != nil {
			preferred = unlimited
		}
	}
	if preferred == nil {
		return ""
	}
	return preferred.ID
}

// highestHash returns the upstream with the highest hash of the affinity key and its id
// among the eligible ones that are not leaving, or nil if there is none.
func (b *Balancer) highestHash(m message.ChooseUpstream, eligible func(*upstreamState) bool) *upstreamState {
	var selected *upstreamState
	var highest uint64
	for _, s := range b.upstreams[m.Pool] {
		if s.Leaving || !eligible(s) {
			continue
		}
		if hash := affinityHash(m, s); selected == nil || hash > highest {
			selected, highest = s, hash
		}
	}
	return selected
}

// affinityHash returns the hash by which an affinity key prefers an upstream.
func affinityHash(m message.ChooseUpstream, s *upstreamState) uint64 {
	return xxhash.Sum64String(m.Affinity + "/" + string(s.ID))
}

// isInRegion reports whether an upstream is in the VM's region.
func (b *Balancer) isInRegion(s *upstreamState) bool {
	return b.location.Regions[s.Domain] == b.location.Region
}

func milliseconds(d time.Duration) cost {
	return cost(d) / cost(time.Millisecond)
}
