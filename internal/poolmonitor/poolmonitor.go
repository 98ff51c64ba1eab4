// Package poolmonitor has the controller that measures the load of each pool by the
// calls of this VM.
//
// It learns the usual time to the first event of each route while a pool has room, and
// compares later calls with it. While a pool is short of capacity it publishes the load
// at a fixed interval; otherwise it publishes nothing and needs no timer.
package poolmonitor

import (
	"maps"
	"time"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/effect"
	"github.com/sassafrasspur/sassafrasspur/internal/loadshedder"
	"github.com/sassafrasspur/sassafrasspur/internal/message"
	"github.com/sassafrasspur/sassafrasspur/internal/pacer"
	"github.com/sassafrasspur/sassafrasspur/internal/routing"
	"github.com/sassafrasspur/sassafrasspur/internal/snapshot"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

const (
	// interval is the time between two measurements of a pool. Levels and decisions
	// follow a shortage within a second.
	interval = 250 * time.Millisecond
	// cleanInterval is the time between two removals of calls and routes that are no
	// longer in use.
	cleanInterval = 10 * time.Second
	// routeRetention is how long a route is remembered after its last call.
	routeRetention = 10 * time.Minute
	// endDelay is how long after its time limit a call is expected to have ended.
	endDelay = 5 * time.Second
)

// Poolmonitor measures the load of pools.
type Poolmonitor struct {
	routes        *routing.Table
	serving       int
	membersAsOf   time.Time
	upstreamsAsOf time.Time
	cleanedAt     time.Time

	pools map[ident.PoolID]*pool
	calls map[ident.Ticket]call
	// wakeup is set while a level has to be lowered although no call starts or ends.
	wakeup pacer.Pacer
	// published is immutable.
	published map[ident.PoolID]snapshot.PoolLoad
}

// call is a call whose upstream was requested and that has not ended.
type call struct {
	pool      ident.PoolID
	route     *routing.Route
	work      unit.Tokens
	output    unit.Tokens
	startedAt time.Time
	// idle is true if the pool had room when the call started.
	idle bool
	// begun is true if the time to the first event was reported while the call went on.
	begun bool
}

// New returns the controller.
func New() *Poolmonitor {
	return &Poolmonitor{pools: map[ident.PoolID]*pool{}, calls: map[ident.Ticket]call{}}
}

// Handle processes a message and returns the resulting effects.
func (m *Poolmonitor) Handle(now time.Time, received message.Message) []effect.Effect {
	switch r := received.(type) {
	case message.RoutesChanged:
		m.routes = r.Table
	case message.UpstreamsRead:
		m.handleUpstreams(now, r)
	case message.MembersListed:
		m.serving, m.membersAsOf = len(r.Serving), r.AsOf
	case message.ChooseUpstream:
		return m.handleStart(now, r)
	case message.CallProgressed:
		return m.handleProgressed(now, r)
	case message.CallEnded:
		return m.handleEnd(now, r)
	case message.WaitAbandoned:
		if c, ok := m.calls[r.Ticket]; ok {
			delete(m.calls, r.Ticket)
			m.pool(c.pool).setInFlight(now, -1)
		}
	case message.Tick:
		due, effects := m.wakeup.Tick(now)
		if !due {
			return effects
		}
		for id := range m.published {
			effects = append(effects, m.measure(now, id)...)
		}
		return effects
	}
	return nil
}

// handleUpstreams sets the slots of the usable upstreams of each pool.
func (m *Poolmonitor) handleUpstreams(now time.Time, r message.UpstreamsRead) {
	m.upstreamsAsOf = r.AsOf
	for _, p := range m.pools {
		p.totalSlots = 0
	}
	for _, u := range r.Upstreams {
		if !u.Leaving {
			m.pool(u.Pool).totalSlots += m.slots(u.Pool, u.Slots)
		}
	}
	if now.Sub(m.cleanedAt) >= cleanInterval {
		m.cleanedAt = now
		m.clean(now)
	}
}

// slots returns the slots of an upstream: those that it registered, or those that the
// configuration has for its pool.
func (m *Poolmonitor) slots(id ident.PoolID, registered int) int {
	if registered > 0 || m.routes == nil || m.routes.Pools[id].Engine == nil {
		return registered
	}
	return m.routes.Pools[id].Engine.Slots
}

// clean removes calls whose end was not reported, and routes without calls.
func (m *Poolmonitor) clean(now time.Time) {
	for ticket, c := range m.calls {
		if c.route.Timeout > 0 && now.Sub(c.startedAt) > c.route.Timeout+endDelay {
			delete(m.calls, ticket)
			m.pool(c.pool).setInFlight(now, -1)
		}
	}
	for id, p := range m.pools {
		maps.DeleteFunc(p.routes, func(_ ident.RouteID, r *route) bool { return now.Sub(r.usedAt) > routeRetention })
		if len(p.routes) == 0 && p.inFlight == 0 && p.totalSlots == 0 && p.load.Level == 0 {
			delete(m.pools, id)
		}
	}
}

func (m *Poolmonitor) pool(id ident.PoolID) *pool {
	if m.pools[id] == nil {
		m.pools[id] = &pool{routes: map[ident.RouteID]*route{}}
	}
	return m.pools[id]
}

func (m *Poolmonitor) handleStart(now time.Time, r message.ChooseUpstream) []effect.Effect {
	c := call{pool: r.Pool, route: r.Route, startedAt: now}
	if r.Prompt != nil {
		c.work, c.output = r.Prompt.Input+r.Prompt.Output, r.Prompt.Output
	}
	p := m.pool(r.Pool)
	p.setInFlight(now, 1)
	c.idle = p.isIdle()
	m.calls[r.Ticket] = c
	return m.measureIfDue(now, r.Pool)
}

// handleProgressed processes the first event of a stream. Streams last for seconds, so that
// a shortage would otherwise be known late.
func (m *Poolmonitor) handleProgressed(now time.Time, r message.CallProgressed) []effect.Effect {
	c, ok := m.calls[r.Ticket]
	if !ok || c.begun || r.Progress.FirstEvent <= 0 {
		return nil
	}
	c.begun = true
	m.calls[r.Ticket] = c
	m.pool(c.pool).callBegan(now, c, r.Progress.FirstEvent)
	return m.measureIfDue(now, c.pool)
}

func (m *Poolmonitor) handleEnd(now time.Time, r message.CallEnded) []effect.Effect {
	c, ok := m.calls[r.Ticket]
	if !ok {
		return nil
	}
	delete(m.calls, r.Ticket)
	p := m.pool(c.pool)
	p.setInFlight(now, -1)
	p.callEnded(now, c, r.Result)
	return m.measureIfDue(now, c.pool)
}

func (m *Poolmonitor) measureIfDue(now time.Time, id ident.PoolID) []effect.Effect {
	if now.Sub(m.pool(id).load.AsOf) < interval {
		return nil
	}
	return m.measure(now, id)
}

// measure updates the load of a pool and publishes it while something is shed.
func (m *Poolmonitor) measure(now time.Time, id ident.PoolID) []effect.Effect {
	p, serving := m.pool(id), max(m.serving, 1)
	previous := p.load
	next := p.measure(now, float64(p.totalSlots)/float64(serving))
	next.UpstreamsAsOf, next.MembersAsOf = m.upstreamsAsOf, m.membersAsOf
	// After a pause without measurements, such as a freeze, the level changes by no
	// more than it would have at the usual interval.
	next.Level = loadshedder.NextLevel(previous, next, min(now.Sub(previous.AsOf), 2*interval))
	p.load = next
	if previous.Level == 0 && next.Level == 0 {
		return nil
	}
	published := maps.Clone(m.published)
	if published == nil {
		published = map[ident.PoolID]snapshot.PoolLoad{}
	}
	published[id] = next
	if next.Level == 0 {
		delete(published, id)
	}
	m.published = published
	effects := []effect.Effect{effect.Publish{}}
	if len(published) > 0 && !m.wakeup.IsSet() {
		effects = append(effects, m.wakeup.Set(now.Add(interval)))
	}
	return effects
}

// Describe adds the loads to a snapshot.
func (m *Poolmonitor) Describe(s *snapshot.Snapshot) { s.Entry.PoolLoads = m.published }
