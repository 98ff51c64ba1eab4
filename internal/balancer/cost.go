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
	// prefillTokensPerMs is the number of prompt tokens that an engine processes
	// in a millisecond.
	prefillTokensPerMs = 30.6
	// connectionSetupCost is the cost of opening a connection: its round trips
	// and its price. It makes a VM concentrate its calls on few upstreams.
	connectionSetupCost cost = 15
	// maxJitter bounds a random cost that keeps VMs from all choosing the same
	// upstream among equal ones.
	maxJitter cost = 4
)

// cheapest returns the upstream with the lowest cost, or nil if there is none.
func (b *Balancer) cheapest(now time.Time, m message.ChooseUpstream) *upstreamState {
	preferred := b.affinityUpstream(m)
	limit := b.connectionLimit(m.Pool)
	var best *upstreamState
	var lowest cost
	for _, s := range b.upstreams[m.Pool] {
		if s.Leaving || slices.Contains(m.Tried, s.ID) || s.inFlight >= limit {
			continue
		}
		c := b.cost(now, s, m, s.ID == preferred) + cost(b.random.Float64())*maxJitter
		if best == nil || c < lowest {
			best, lowest = s, c
		}
	}
	return best
}

// connectionLimit returns how many connections this VM may have to one upstream.
// The serving VMs divide the connections that an upstream accepts.
func (b *Balancer) connectionLimit(pool ident.PoolID) int {
	if b.routes == nil || b.routes.Pools[pool].Connections <= 0 {
		return 1 << 20
	}
	return max(b.routes.Pools[pool].Connections/b.servingVMs, 2)
}

// cost returns the expected cost of a call at an upstream.
func (b *Balancer) cost(now time.Time, s *upstreamState, m message.ChooseUpstream, isPreferred bool) cost {
	c := b.distanceCost(s)
	if now.Before(s.avoidUntil) || s.isSuspect(now) && !m.Route.Repeatable() {
		c += avoidanceCost
	}
	if !s.hasIdleConnection(now) {
		c += connectionSetupCost
	}
	if m.Prompt == nil {
		return c + cost(s.inFlight+1)*milliseconds(b.expectedFirstByte(m.Route.ID))*cost(s.currentRelativeLatency(now))
	}
	c += cost(s.inFlight) * inFlightCost
	if !isPreferred {
		c += cost(unsharedTokens(m)) / prefillTokensPerMs
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
// upstream without coordination.
func (b *Balancer) affinityUpstream(m message.ChooseUpstream) ident.UpstreamID {
	if m.Affinity == "" {
		return ""
	}
	var selected ident.UpstreamID
	var highest uint64
	for _, regional := range []bool{true, false} {
		for _, s := range b.upstreams[m.Pool] {
			if s.Leaving || regional && b.location.Regions[s.Domain] != b.location.Region {
				continue
			}
			if hash := xxhash.Sum64String(m.Affinity + "/" + string(s.ID)); selected == "" || hash > highest {
				selected, highest = s.ID, hash
			}
		}
		if selected != "" {
			return selected
		}
	}
	return selected
}

func milliseconds(d time.Duration) cost {
	return cost(d) / cost(time.Millisecond)
}
