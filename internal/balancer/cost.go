package balancer

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/message"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

// cost is an expected delay in milliseconds, or something that is weighed
// against one.
type cost float64

const (
	// otherDomain and otherRegion are the cost of distance: the round trips of
	// a call, of 1.4 and 12 ms one way, and the price of its bytes.
	otherDomain cost = 5
	otherRegion cost = 60
	// avoided is the cost of an upstream that is to be avoided; it is used only
	// if all others are as well.
	avoided cost = 10_000
	// perCall is the cost of a call that this VM has under way at an engine.
	perCall cost = 12
	// prefillRate is the number of prompt tokens that an engine reads in a
	// millisecond.
	prefillRate = 30.6
	// newConnection is the cost of a call without an idle connection: the round
	// trips of its opening and its price, by which VMs keep to few upstreams.
	newConnection cost = 15
	// jitter keeps VMs from choosing the same upstream among equal ones.
	jitter cost = 4
)

// best returns the upstream with the lowest cost, nil if there is none.
func (b *Balancer) best(now time.Time, m message.ChooseUpstream) *state {
	home := b.home(m)
	connections := b.connections(m.Pool)
	var best *state
	var lowest cost
	for _, s := range b.upstreams[m.Pool] {
		if s.Leaving || slices.Contains(m.Tried, s.ID) || s.inFlight >= connections {
			continue
		}
		c := b.cost(now, s, m, s.ID == home) + cost(b.random.Float64())*jitter
		if best == nil || c < lowest {
			best, lowest = s, c
		}
	}
	return best
}

// connections is the share of this VM in the connections of one upstream, which
// all VMs share.
func (b *Balancer) connections(pool ident.PoolID) int {
	if b.routes == nil || b.routes.Pools[pool].Connections <= 0 {
		return 1 << 20
	}
	return max(b.routes.Pools[pool].Connections/b.serving, 2)
}

// cost is the expected cost of a call at an upstream.
func (b *Balancer) cost(now time.Time, s *state, m message.ChooseUpstream, isHome bool) cost {
	c := b.distance(s)
	if now.Before(s.avoidUntil) || s.isSuspect(now) && !m.Route.Repeatable() {
		c += avoided
	}
	if !s.isConnected(now) {
		c += newConnection
	}
	if m.Prompt == nil {
		return c + cost(s.inFlight+1)*milliseconds(b.usualTime(m.Route.ID))*cost(s.currentSlowness(now))
	}
	c += cost(s.inFlight) * perCall
	if !isHome {
		c += cost(ownTokens(m)) / prefillRate
	}
	return c
}

// ownTokens is the length of the prompt without the part that many programs
// share, which every engine has.
func ownTokens(m message.ChooseUpstream) unit.Tokens {
	own := m.Prompt.Input
	if len(m.Prompt.Parts) > 1 {
		own -= m.Prompt.Parts[0].Tokens
	}
	return max(own, 0)
}

func (b *Balancer) distance(s *state) cost {
	switch {
	case s.Domain == b.place.Domain:
		return 0
	case b.place.Regions[s.Domain] == b.place.Region:
		return otherDomain
	default:
		return otherRegion
	}
}

// home is the upstream at which calls of one affinity meet, whatever VM they
// enter at: the one of the VM's region with the highest hash. All VMs of the
// region choose the same one without talking to each other.
func (b *Balancer) home(m message.ChooseUpstream) ident.UpstreamID {
	if m.Affinity == "" {
		return ""
	}
	var home ident.UpstreamID
	var highest uint64
	for _, regional := range []bool{true, false} {
		for _, s := range b.upstreams[m.Pool] {
			if s.Leaving || regional && b.place.Regions[s.Domain] != b.place.Region {
				continue
			}
			if hash := xxhash.Sum64String(m.Affinity + "/" + string(s.ID)); home == "" || hash > highest {
				home, highest = s.ID, hash
			}
		}
		if home != "" {
			return home
		}
	}
	return home
}

func milliseconds(d time.Duration) cost {
	return cost(d) / cost(time.Millisecond)
}
