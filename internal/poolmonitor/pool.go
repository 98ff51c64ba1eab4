package poolmonitor

import (
	"math"
	"time"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/message"
	"github.com/sassafrasspur/sassafrasspur/internal/snapshot"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

const (
	// occupancyWindow is the time constant of the smoothed occupancy. A VM has the
	// share of a few slots, so that its calls in flight vary by chance.
	occupancyWindow = 500 * time.Millisecond
	// rateWindow is the time constant of the rates of completed work.
	rateWindow = 5 * time.Second
	// evidenceWindow is the time constant at which evidence of a shortage loses weight.
	evidenceWindow = 2 * time.Second
	// smoothingFactor is the weight of the newest call in a mean, and learningFactor
	// that in the usual time to the first event.
	smoothingFactor = 0.2
	learningFactor  = 0.05
	// idleOccupancy is the occupancy up to which calls do not wait for a slot. Above
	// it, nothing is learned about the idle pool.
	idleOccupancy unit.Ratio = 0.5
	// maxRelativeDelay bounds the contribution of one call, in targets. With the
	// smoothing factor, it takes three slow calls in a row to start shedding.
	maxRelativeDelay = 2
	// defaultTarget is the target of a route that states none.
	defaultTarget = time.Second
	// silenceTolerance is the difference of two clock readings up to which an
	// abandoned call has received nothing at all.
	silenceTolerance = 20 * time.Millisecond
)

// pool is the state of one pool.
type pool struct {
	totalSlots int
	inFlight   int
	// occupancy is the smoothed occupancy as of occupiedAt.
	occupancy     unit.Ratio
	occupiedAt    time.Time
	relativeDelay float64
	delay         time.Duration
	refusedShare  float64
	evidenceAt    time.Time
	calls, tokens rate
	routes        map[ident.RouteID]*route
	load          snapshot.PoolLoad
}

// route is the state of the calls of one route in a pool.
type route struct {
	snapshot.RouteLoad
	usedAt time.Time
	// delayedAt is the time of the newest call that contributed to the delay.
	delayedAt time.Time
}

// rate is the rate of events, smoothed over rateWindow, as of a time.
type rate struct {
	perSecond float64
	asOf      time.Time
}

func (r *rate) at(now time.Time) float64 {
	return r.perSecond * decay(now.Sub(r.asOf), rateWindow)
}

func (r *rate) add(now time.Time, n float64) {
	r.perSecond, r.asOf = r.at(now)+n/rateWindow.Seconds(), now
}

func decay(elapsed, window time.Duration) float64 {
	return math.Exp(-max(elapsed, 0).Seconds() / window.Seconds())
}

// setInFlight updates the occupancy and then changes the number of calls in flight.
func (p *pool) setInFlight(now time.Time, change int) {
	p.updateOccupancy(now)
	p.inFlight = max(p.inFlight+change, 0)
}

func (p *pool) updateOccupancy(now time.Time) {
	var current unit.Ratio
	if p.load.Slots > 0 {
		current = unit.Ratio(float64(p.inFlight) / p.load.Slots)
	}
	p.occupancy = current + (p.occupancy-current)*unit.Ratio(decay(now.Sub(p.occupiedAt), occupancyWindow))
	p.occupiedAt = now
}

// isIdle reports whether calls that start now need not wait for a slot.
func (p *pool) isIdle() bool {
	return p.load.Slots > 0 && p.occupancy < idleOccupancy && float64(p.inFlight) <= float64(idleOccupancy)*p.load.Slots+1
}

// route returns the state of a route, which is in use.
func (p *pool) route(now time.Time, id ident.RouteID) *route {
	r := p.routes[id]
	if r == nil {
		r = &route{}
		p.routes[id] = r
	}
	r.usedAt = now
	return r
}

// callBegan applies the time to the first event of a call that goes on.
func (p *pool) callBegan(now time.Time, c call, first time.Duration) {
	p.addFirstEvent(now, c, p.route(now, c.route.ID), first)
}

// callEnded applies the result of a call.
func (p *pool) callEnded(now time.Time, c call, result message.UpstreamResult) {
	r := p.route(now, c.route.ID)
	took := now.Sub(c.startedAt)
	switch result := result.(type) {
	case message.UpstreamAnswered:
		p.calls.add(now, 1)
		p.tokens.add(now, float64(c.work))
		p.refusedShare = ewma(p.refusedShare, 0, smoothingFactor)
		if c.output > 0 {
			r.PerToken = ewma(r.PerToken, (took-result.FirstByte)/time.Duration(c.output), smoothingFactor)
		}
		if !c.begun {
			p.addFirstEvent(now, c, r, result.FirstByte)
		}
	case message.UpstreamRefused:
		if result.Misdirected {
			// The upstream was restarted, which says nothing about its load.
			return
		}
		p.fadeEvidence(now)
		p.refusedShare = ewma(p.refusedShare, 1, smoothingFactor)
	case message.UpstreamAbandoned:
		// A call that was abandoned before its first event has waited at least this
		// long; a call that is abandoned early says nothing.
		if !c.begun && took-result.SilentFor <= silenceTolerance && took > r.FirstEvent+r.Delay {
			c.idle = false
			p.addFirstEvent(now, c, r, took)
		}
	case message.UpstreamFailed, message.UpstreamServerError:
	}
}

// addFirstEvent adds the time to the first event of a call to the delays, or to what is
// usual if the pool was idle. As long as the usual time is unknown, only what exceeds
// the target counts as delay.
func (p *pool) addFirstEvent(now time.Time, c call, r *route, first time.Duration) {
	if c.idle && r.FirstEvent == 0 {
		r.FirstEvent = first
	} else if c.idle {
		r.FirstEvent = ewma(r.FirstEvent, first, learningFactor)
	}
	target := c.route.Target
	if target <= 0 {
		target = defaultTarget
	}
	delay := first - r.FirstEvent
	if r.FirstEvent == 0 {
		delay = max(first-target, 0)
	}
	r.Delay, r.delayedAt = ewma(r.Delay, delay, smoothingFactor), now
	p.fadeEvidence(now)
	p.delay = ewma(p.delay, delay, smoothingFactor)
	relative := min(max(float64(delay)/float64(target), -maxRelativeDelay), maxRelativeDelay)
	p.relativeDelay = ewma(p.relativeDelay, relative, smoothingFactor)
}

// fadeEvidence lowers the weight of earlier evidence after a pause. It fades towards no
// shortage, so that one call after a pause is not evidence enough.
func (p *pool) fadeEvidence(now time.Time) {
	keep := decay(now.Sub(p.evidenceAt), evidenceWindow)
	p.relativeDelay *= keep
	p.refusedShare *= keep
	p.delay = time.Duration(keep * float64(p.delay))
	p.evidenceAt = now
}

// measure returns the load for a share of the pool's slots.
func (p *pool) measure(now time.Time, slots float64) snapshot.PoolLoad {
	p.updateOccupancy(now)
	load := snapshot.PoolLoad{
		AsOf: now, EvidenceAt: p.evidenceAt, InFlight: p.inFlight, Slots: slots, Occupancy: p.occupancy,
		RelativeDelay: unit.Ratio(max(p.relativeDelay, 0)), RefusedShare: unit.Ratio(p.refusedShare),
		CallsPerSecond: unit.Rate(p.calls.at(now)), TokensPerSecond: p.tokens.at(now),
		Level: 0, Routes: make(map[ident.RouteID]snapshot.RouteLoad, len(p.routes)),
	}
	for id, r := range p.routes {
		delay := r.Delay
		if now.Sub(r.delayedAt) > evidenceWindow {
			// All requests of the route may have been refused meanwhile.
			delay = min(delay, p.delay)
		}
		load.Routes[id] = snapshot.RouteLoad{Delay: max(delay, 0), FirstEvent: r.FirstEvent, PerToken: r.PerToken}
	}
	return load
}

// ewma returns the exponentially weighted moving average with one more value.
func ewma[T ~int64 | ~float64](mean, newest T, weight float64) T {
	return mean + T(weight*float64(newest-mean))
}
