package balancer

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

// remoteWeight is the weight of a VM in another region when VMs divide a limit; that of
// a VM in the upstream's region is 1. Its calls prefer upstreams of its own region.
const remoteWeight unit.Ratio = 0.25

// holdersPerRate is the number of VMs, for each request per second of an upstream's
// limit, that share the limit beside the first one. Each of them may send one request
// at any moment and the others at its share of the rate, so that in four seconds the
// upstream gets at most six times its limit and one request.
const holdersPerRate = 2

// maxInterval bounds the time between two requests. The interval of a rate close to 0
// exceeds a duration.
const maxInterval = time.Hour

// allowance is this VM's share of the request limit of an upstream. It is used at even
// intervals.
type allowance struct {
	// rate is 0 if other VMs share the limit.
	rate unit.Rate
	// nextAt is the time from which the next request may be sent.
	nextAt time.Time
}

// newAllowance returns an allowance. Its first request waits as after setRate.
func newAllowance(now time.Time, rate unit.Rate, random *rand.Rand) *allowance {
	a := &allowance{}
	a.setRate(now, rate, random)
	return a
}

// interval returns the time between two requests.
func (a *allowance) interval() time.Duration {
	if a.rate <= 0 {
		return 0
	}
	return time.Duration(min(float64(time.Second)/float64(a.rate), float64(maxInterval)))
}

// setRate changes the rate. A VM that begins to share the limit waits for a random part
// of its interval, since the VMs that share a limit learn of it together. Otherwise the
// next request need not wait longer than the new interval.
func (a *allowance) setRate(now time.Time, rate unit.Rate, random *rand.Rand) {
	begins := a.rate <= 0
	a.rate = rate
	switch {
	case rate <= 0:
	case begins:
		first := now.Add(time.Duration(random.Float64() * float64(a.interval())))
		a.nextAt = later(a.nextAt, first)
	default:
		if next := now.Add(a.interval()); next.Before(a.nextAt) {
			a.nextAt = next
		}
	}
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// allows reports whether a request may be sent now. An upstream without a limit has a
// nil allowance.
func (a *allowance) allows(now time.Time) bool {
	return a == nil || a.rate > 0 && !now.Before(a.nextAt)
}

// use takes one request from the allowance.
func (a *allowance) use(now time.Time) {
	if a != nil {
		a.nextAt = now.Add(a.interval())
	}
}

// updateAllowances divides the limits of upstreams among the VMs that serve callers.
// A small limit is shared by few VMs, since an even division would leave each VM with
// less than one request in many seconds.
func (b *Balancer) updateAllowances(now time.Time) {
	for id, s := range b.records {
		limit, limited := b.limits[id]
		switch {
		case !limited:
			s.allowance = nil
		case s.allowance != nil:
			s.allowance.setRate(now, b.share(s, limit), b.random)
		}
	}
	b.addAllowances(now)
}

// addAllowances sets the allowances of limited upstreams that have none.
func (b *Balancer) addAllowances(now time.Time) {
	for id, limit := range b.limits {
		if s, known := b.records[id]; known && s.allowance == nil {
			s.allowance = newAllowance(now, b.share(s, limit), b.random)
		}
	}
}

// share returns this VM's part of an upstream's limit.
func (b *Balancer) share(s *upstreamState, limit unit.Rate) unit.Rate {
	if len(b.serving) == 0 {
		// The first list of entry VMs has not been read.
		return limit
	}
	// The minimum is taken before the conversion: a large limit exceeds an int.
	holders := min(1+math.Floor(holdersPerRate*float64(limit)), float64(len(b.serving)))
	var own, sum unit.Ratio
	for _, h := range b.nearest(s)[:int(holders)] {
		sum += h.weight
		if h.vm == b.location.VM {
			own = h.weight
		}
	}
	return limit * unit.Rate(own/sum)
}

// holder is a VM that may share the limit of an upstream.
type holder struct {
	vm       ident.VMID
	distance int
	weight   unit.Ratio
	hash     uint64
}

// nearest returns the VMs that serve callers, the nearest to an upstream first. VMs at
// the same distance are ordered by a hash, so that all VMs know the same order.
func (b *Balancer) nearest(s *upstreamState) []holder {
	holders := make([]holder, 0, len(b.serving))
	for _, m := range b.serving {
		h := holder{vm: m.VM, distance: 2, weight: remoteWeight, hash: xxhash.Sum64String(string(m.VM) + "/" + string(s.ID))}
		switch {
		case m.Domain == s.Domain:
			h.distance, h.weight = 0, 1
		case b.location.Regions[m.Domain] == b.location.Regions[s.Domain]:
			h.distance, h.weight = 1, 1
		}
		holders = append(holders, h)
	}
	slices.SortFunc(holders, func(x, y holder) int {
		return cmp.Or(cmp.Compare(x.distance, y.distance), cmp.Compare(x.hash, y.hash))
	})
	return holders
}

// nextAllowed returns the time until an upstream of a pool may get a request under its
// limit, false if this VM may send to none of them.
func (b *Balancer) nextAllowed(now time.Time, pool ident.PoolID) (time.Duration, bool) {
	var next time.Time
	for _, s := range b.upstreams[pool] {
		if a := s.allowance; a != nil && a.rate > 0 && !s.Leaving && (next.IsZero() || a.nextAt.Before(next)) {
			next = a.nextAt
		}
	}
	return next.Sub(now), !next.IsZero()
}
