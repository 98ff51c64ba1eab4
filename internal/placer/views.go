package placer

import (
	"maps"
	"slices"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/configuration"
	"github.com/sassafrasspur/sassafrasspur/internal/effect"
	"github.com/sassafrasspur/sassafrasspur/internal/limiter"
	"github.com/sassafrasspur/sassafrasspur/internal/message"
)

// read asks for the loads once per interval.
func (r *round) read() {
	c := r.placer
	if r.now.Before(c.nextRead) {
		return
	}
	c.nextRead = r.now.Add(c.reportInterval)
	r.changed = true
	if c.configuration == nil {
		return
	}
	for _, u := range c.configuration.Upstreams {
		r.readLoad(c.upstreams[u.ID])
	}
}

func (r *round) readLoad(u *upstream) {
	if u.loading.due(r.now, r.placer.viewLimit) {
		u.inFlightAtRead = u.inFlight
		r.emit(effect.ReadLoad{Upstream: u.configuration.ID, Address: u.configuration.Address})
	}
}

// configure replaces the configuration. Grants of removed upstreams stay until
// they are returned.
func (r *round) configure(next *configuration.Configuration) {
	c := r.placer
	if c.configuration != nil && next.Version <= c.configuration.Version {
		return
	}
	c.configuration = next
	c.pools = map[ident.PoolID][]*upstream{}
	present := map[ident.UpstreamID]bool{}
	for _, configured := range next.Upstreams {
		present[configured.ID] = true
		pool, _ := next.Pool(configured.Pool)
		u, known := c.upstreams[configured.ID]
		fresh := !known || u.configuration.Address != configured.Address
		if fresh {
			// A new address is a new process: its views start unknown.
			u = newUpstream(u, r.now)
			c.upstreams[configured.ID] = u
		}
		u.configuration, u.kind, u.removed = configured, pool.Kind, false
		c.pools[configured.Pool] = append(c.pools[configured.Pool], u)
		if fresh {
			r.readLoad(u)
		}
	}
	maps.DeleteFunc(c.upstreams, func(id ident.UpstreamID, u *upstream) bool {
		u.removed = !present[id]
		return u.removed && u.inFlight == 0
	})
	maps.DeleteFunc(c.budgets, func(k budgetKey, _ limiter.Budget) bool { return !present[k.upstream] })
	r.changed = true
	r.passAll()
}

func (r *round) listed(m message.UpstreamsRead) {
	c := r.placer
	leaving := map[string]bool{}
	for _, u := range m.Upstreams {
		leaving[u.Address] = u.Leaving
	}
	for _, u := range c.upstreams {
		// An upstream that is not in the list keeps its old view, which ages.
		if flag, ok := leaving[u.configuration.Address]; ok && !m.AsOf.Before(u.listedAt) {
			u.listedAt, u.listLeaving = m.AsOf, flag
		}
	}
	r.passAll()
}

func (r *round) reported(m message.UpstreamReported) {
	u, ok := r.placer.upstreams[m.Upstream]
	if !ok {
		return
	}
	u.report(m)
	if _, waiting := r.placer.queues[u.configuration.Pool]; !waiting {
		// Each upstream reports once per interval, so that looking at the whole
		// pool each time would take the square of its size.
		r.check([]*upstream{u})
		return
	}
	r.pass(u.configuration.Pool)
}

// check updates which upstreams of a pool may get new work.
func (r *round) check(upstreams []*upstream) {
	for _, u := range upstreams {
		unusable := u.check(r.now, r.placer.viewLimit)
		if unusable != u.unusable {
			u.unusable, r.changed = unusable, true
		}
	}
}

func (r *round) passAll() {
	// The order is fixed, because each pass draws random numbers.
	for _, pool := range slices.Sorted(maps.Keys(r.placer.pools)) {
		r.pass(pool)
	}
	for _, pool := range slices.Sorted(maps.Keys(r.placer.queues)) {
		if _, ok := r.placer.pools[pool]; !ok {
			r.pass(pool)
		}
	}
}
