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

// readLoads requests the load reports of all upstreams once per interval.
func (t *transition) readLoads() {
	p := t.placer
	if t.now.Before(p.nextRead) {
		return
	}
	p.nextRead = t.now.Add(p.reportInterval)
	t.changed = true
	if p.configuration == nil {
		return
	}
	for _, u := range p.configuration.Upstreams {
		t.readLoad(p.upstreams[u.ID])
	}
}

func (t *transition) readLoad(u *upstream) {
	if u.lastRead.due(t.now, t.placer.viewLimit) {
		u.inFlightAtRead = u.inFlight
		t.emit(effect.ReadLoad{Upstream: u.configuration.ID, Address: u.configuration.Address})
	}
}

// applyConfiguration replaces the configuration. Grants of removed upstreams
// remain until they are returned.
func (t *transition) applyConfiguration(next *configuration.Configuration) {
	p := t.placer
	if p.configuration != nil && next.Version <= p.configuration.Version {
		return
	}
	p.configuration = next
	p.pools = map[ident.PoolID][]*upstream{}
	configuredIDs := map[ident.UpstreamID]bool{}
	for _, configured := range next.Upstreams {
		configuredIDs[configured.ID] = true
		pool, _ := next.Pool(configured.Pool)
		u, known := p.upstreams[configured.ID]
		replaced := !known || u.configuration.Address != configured.Address
		if replaced {
			// A new address means a new process, whose views are unknown.
			u = newUpstream(u, t.now)
			p.upstreams[configured.ID] = u
		}
		u.configuration, u.kind, u.removed = configured, pool.Kind, false
		p.pools[configured.Pool] = append(p.pools[configured.Pool], u)
		if replaced {
			t.readLoad(u)
		}
	}
	maps.DeleteFunc(p.upstreams, func(id ident.UpstreamID, u *upstream) bool {
		u.removed = !configuredIDs[id]
		return u.removed && u.inFlight == 0
	})
	maps.DeleteFunc(p.budgets, func(k budgetKey, _ limiter.Budget) bool { return !configuredIDs[k.upstream] })
	t.changed = true
	t.dispatchAll()
}

func (t *transition) handleUpstreamList(m message.UpstreamsRead) {
	p := t.placer
	leaving := map[string]bool{}
	for _, u := range m.Upstreams {
		leaving[u.Address] = u.Leaving
	}
	for _, u := range p.upstreams {
		// An upstream missing from the list keeps its previous view until that
		// exceeds the view limit.
		if isLeaving, ok := leaving[u.configuration.Address]; ok && !m.AsOf.Before(u.listedAt) {
			u.listedAt, u.leavingInList = m.AsOf, isLeaving
		}
	}
	t.dispatchAll()
}

func (t *transition) handleLoadReport(m message.UpstreamReported) {
	u, ok := t.placer.upstreams[m.Upstream]
	if !ok {
		return
	}
	u.applyReport(m)
	if _, waiting := t.placer.queues[u.configuration.Pool]; !waiting {
		// Each upstream reports once per interval. Checking the whole pool with
		// each report would be quadratic in its size.
		t.checkUsable([]*upstream{u})
		return
	}
	t.dispatch(u.configuration.Pool)
}

// checkUsable updates whether upstreams may get new work.
func (t *transition) checkUsable(upstreams []*upstream) {
	for _, u := range upstreams {
		unusable := u.unusableReason(t.now, t.placer.viewLimit)
		if unusable != u.unusable {
			u.unusable, t.changed = unusable, true
		}
	}
}

func (t *transition) dispatchAll() {
	// The order is fixed for reproducible runs: each pass draws random numbers.
	for _, pool := range slices.Sorted(maps.Keys(t.placer.pools)) {
		t.dispatch(pool)
	}
	for _, pool := range slices.Sorted(maps.Keys(t.placer.queues)) {
		if _, ok := t.placer.pools[pool]; !ok {
			t.dispatch(pool)
		}
	}
}
