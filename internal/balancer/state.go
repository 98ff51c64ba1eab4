package balancer

import (
	"time"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/loadestimator"
	"github.com/sassafrasspur/sassafrasspur/internal/message"
	"github.com/sassafrasspur/sassafrasspur/internal/upstream"
	"github.com/sassafrasspur/sassafrasspur/internal/upstreamrecorder"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

const (
	// smoothingFactor is the weight of the newest value in a mean.
	smoothingFactor = 0.2
	// minIdleTimeout and idleTimeoutFactor, a multiple of the expected time to
	// the first byte, determine when a repeatable call is sent to another upstream.
	// Callers of the known deployments abandon a stream after 2 s without data.
	minIdleTimeout    = 400 * time.Millisecond
	idleTimeoutFactor = 6
	// defaultFirstByte is the expected time to the first byte of a route that has
	// no answers yet. Look-ups of the known deployments take 52 ms.
	defaultFirstByte = 50 * time.Millisecond
)

// upstreamState is the balancer's state of one process of an upstream.
type upstreamState struct {
	*upstreamrecorder.Recorder
	// allowance is nil if the upstream named no request limit.
	allowance *allowance
	// reported is the load that the engine reported.
	reported loadestimator.Estimator
	// isSlow is true if the upstream was last reported as slow.
	isSlow bool
}

// call is a call in flight.
type call struct {
	upstream *upstreamState
	route    ident.RouteID
	// hasPrompt is true for a call to an engine.
	hasPrompt bool
}

// setUpstreams replaces the list of upstreams. The records of unlisted upstreams are
// kept for some time, since their calls run on and an entry may lapse for a moment.
func (b *Balancer) setUpstreams(now time.Time, m message.UpstreamsRead) {
	b.asOf = m.AsOf
	b.upstreams = map[ident.PoolID][]*upstreamState{}
	b.byID = make(map[ident.UpstreamID]*upstreamState, len(m.Upstreams))
	for _, u := range m.Upstreams {
		s := b.state(now, u)
		b.byID[u.ID] = s
		b.upstreams[u.Pool] = append(b.upstreams[u.Pool], s)
	}
	for id, s := range b.records {
		if _, listed := b.byID[id]; !listed && s.Unlist(now) {
			delete(b.records, id)
		}
	}
}

// state returns the state of a listed upstream.
func (b *Balancer) state(now time.Time, u upstream.Upstream) *upstreamState {
	s, ok := b.records[u.ID]
	if !ok || !s.IsProcess(now, u) {
		s = &upstreamState{Recorder: upstreamrecorder.New(u)}
		b.records[u.ID] = s
	}
	s.List(u)
	return s
}

// startCall counts a call as in flight at the chosen upstream.
func (b *Balancer) startCall(now time.Time, s *upstreamState, m message.ChooseUpstream, preferred bool) {
	var w upstreamrecorder.Work
	if m.Prompt != nil {
		w = upstreamrecorder.Work{Prompt: m.Prompt.Input, Output: m.Prompt.Output, Uncached: uncachedTokens(m, preferred)}
	}
	s.Start(now, m.Ticket, w)
	s.allowance.use(now)
	b.calls[m.Ticket] = call{upstream: s, route: m.Route.ID, hasPrompt: m.Prompt != nil}
}

// uncachedTokens estimates how much of a prompt the chosen upstream has to compute. The
// preferred one has it all but the newest part.
func uncachedTokens(m message.ChooseUpstream, preferred bool) unit.Tokens {
	unshared := unsharedTokens(m)
	if parts := m.Prompt.Parts; preferred && len(parts) > 1 {
		return min(parts[len(parts)-1].Tokens, unshared)
	}
	return unshared
}

// handleCallEnded updates the estimates after a call has released its upstream. A call
// belongs to the process that it was sent to, which may have been replaced meanwhile.
func (b *Balancer) handleCallEnded(now time.Time, m message.CallEnded) {
	c, known := b.calls[m.Ticket]
	s := c.upstream
	if known && s.ID == m.Upstream && !s.Incarnation.Differs(m.Incarnation) {
		delete(b.calls, m.Ticket)
		b.learn(now, m.Ticket, c, m.Progress)
		if c.hasPrompt && m.Answer > 0 {
			b.pool(s.Pool).ObserveAnswer(now, m.Answer)
		}
	} else {
		listed, ok := b.byID[m.Upstream]
		if !ok || listed.Incarnation.Differs(m.Incarnation) {
			return
		}
		s = listed
	}
	expected := b.expectedFirstByte(m.Route)
	if r, ok := m.Result.(message.UpstreamAnswered); ok {
		if _, known := b.firstByteTimes[m.Route]; !known {
			expected = r.FirstByte
		}
		b.firstByteTimes[m.Route] = ewma(expected, r.FirstByte)
	}
	s.End(now, m.Ticket, m.Result, expected)
}

// handleWaitAbandoned ends the call of a request that had left before its upstream was
// chosen: the call is never sent, so that no message.CallEnded follows.
func (b *Balancer) handleWaitAbandoned(now time.Time, m message.WaitAbandoned) {
	c, chosen := b.calls[m.Ticket]
	if !chosen {
		return
	}
	b.handleCallEnded(now, message.CallEnded{
		Ticket: m.Ticket, Upstream: c.upstream.ID, Incarnation: c.upstream.Incarnation, Route: c.route, Result: message.UpstreamAbandoned{},
	})
}

// expectedFirstByte returns the expected time to the first byte of a route's calls.
func (b *Balancer) expectedFirstByte(route ident.RouteID) time.Duration {
	if observed, known := b.firstByteTimes[route]; known {
		return observed
	}
	return defaultFirstByte
}

// ewma returns the exponentially weighted moving average with one more value.
func ewma[T ~int64 | ~float64](mean, newest T) T {
	return mean + T(smoothingFactor*float64(newest-mean))
}
