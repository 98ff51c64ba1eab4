package balancer

import (
	"time"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/message"
	"github.com/sassafrasspur/sassafrasspur/internal/poolestimator"
)

// crossRegionRoundTrip is the network round trip between regions. The time to the first
// event contains it without the engine being slow.
const crossRegionRoundTrip = 24 * time.Millisecond

// pool returns the usual figures of the engines of a pool.
func (b *Balancer) pool(id ident.PoolID) *poolestimator.Estimator {
	p, ok := b.pools[id]
	if !ok {
		p = poolestimator.New()
		b.pools[id] = p
	}
	return p
}

// handleProgressed learns from the events of a call that is under way.
func (b *Balancer) handleProgressed(now time.Time, m message.CallProgressed) {
	if c, known := b.calls[m.Ticket]; known {
		b.learn(now, m.Ticket, c, m.Progress)
	}
}

// learn updates the figures of an engine and of its pool.
func (b *Balancer) learn(now time.Time, t ident.Ticket, c call, p message.Progress) {
	if !c.hasPrompt {
		return
	}
	s, pool := c.upstream, b.pool(c.upstream.Pool)
	if p.FirstEvent > 0 {
		uncached := s.FirstEventReceived(t).Uncached
		took := p.FirstEvent
		if !b.isInRegion(s) {
			took -= crossRegionRoundTrip
		}
		s.FirstEvent.Observe(now, pool.ObserveFirstEvent(now, uncached, max(took, time.Millisecond)))
	}
	if p.Events > 0 {
		mean := p.Took / time.Duration(p.Events)
		s.Interval.Observe(now, pool.ObserveIntervals(now, mean, b.meanLoad(s.Pool)))
		b.reportEngine(now, s)
	}
}

// meanLoad estimates the mean number of calls that all VMs have in flight at an engine
// of a pool. The VMs get about equal shares of the callers.
func (b *Balancer) meanLoad(id ident.PoolID) float64 {
	engines := b.upstreams[id]
	own := 0
	for _, s := range engines {
		own += s.InFlight()
	}
	return float64(own*max(len(b.serving), 1)) / float64(max(len(engines), 1))
}
