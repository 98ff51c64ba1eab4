package balancer

import (
	"math/rand/v2"
	"time"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/effect"
	"github.com/sassafrasspur/sassafrasspur/internal/failure"
	"github.com/sassafrasspur/sassafrasspur/internal/message"
	"github.com/sassafrasspur/sassafrasspur/internal/outcome"
	"github.com/sassafrasspur/sassafrasspur/internal/routing"
	"github.com/sassafrasspur/sassafrasspur/internal/snapshot"
	"github.com/sassafrasspur/sassafrasspur/internal/upstream"
)

// Place is where this VM is.
type Place struct {
	Domain  ident.Domain
	Region  ident.Region
	Regions map[ident.Domain]ident.Region
}

// Balancer chooses upstreams.
type Balancer struct {
	place  Place
	random *rand.Rand

	routes    *routing.Table
	upstreams map[ident.PoolID][]*state
	byID      map[ident.UpstreamID]*state
	asOf      time.Time
	serving   int
	// usual is the smoothed time to the first byte of each route's answers.
	usual map[ident.RouteID]time.Duration
}

// New returns the controller of a VM. The seed decides among equal choices.
func New(place Place, seed uint64) *Balancer {
	return &Balancer{
		place:     place,
		random:    rand.New(rand.NewPCG(seed, seed)),
		upstreams: map[ident.PoolID][]*state{},
		byID:      map[ident.UpstreamID]*state{},
		usual:     map[ident.RouteID]time.Duration{},
		serving:   1,
	}
}

// Handle answers choices and learns from calls.
func (b *Balancer) Handle(now time.Time, m message.Message) []effect.Effect {
	switch m := m.(type) {
	case message.RoutesChanged:
		b.routes = m.Table
		b.usual = map[ident.RouteID]time.Duration{}
	case message.UpstreamsRead:
		b.list(m)
	case message.MembersListed:
		b.serving = max(len(m.Serving), 1)
	case message.ChooseUpstream:
		return []effect.Effect{effect.Answer{Ticket: m.Ticket, Outcome: b.choose(now, m)}}
	case message.CallEnded:
		b.ended(now, m)
	}
	return nil
}

// ended learns from a call that no longer uses its upstream.
func (b *Balancer) ended(now time.Time, m message.CallEnded) {
	s, ok := b.byID[m.Upstream]
	if !ok {
		return
	}
	usual := b.usualTime(m.Route)
	if r, ok := m.Result.(message.UpstreamAnswered); ok {
		if _, known := b.usual[m.Route]; !known {
			usual = r.First
		}
		b.usual[m.Route] = smooth(usual, r.First)
	}
	s.end(now, m.Result, usual)
}

// usualTime is the time to the first byte that a call of a route is expected to
// take.
func (b *Balancer) usualTime(route ident.RouteID) time.Duration {
	if usual, known := b.usual[route]; known {
		return usual
	}
	return firstGuess
}

// list takes a new list over. What is known of an upstream stays; calls may
// still be under way at one that is no longer listed.
func (b *Balancer) list(m message.UpstreamsRead) {
	b.asOf = m.AsOf
	b.upstreams = map[ident.PoolID][]*state{}
	byID := map[ident.UpstreamID]*state{}
	for _, u := range m.Upstreams {
		s, ok := b.byID[u.ID]
		if !ok || s.Address != u.Address {
			s = &state{slowness: 1}
		}
		s.Upstream = u
		byID[u.ID] = s
		b.upstreams[u.Pool] = append(b.upstreams[u.Pool], s)
	}
	b.byID = byID
}

// choose returns the answer to a request for an upstream.
func (b *Balancer) choose(now time.Time, m message.ChooseUpstream) outcome.Outcome {
	best := b.best(now, m)
	if best == nil {
		return outcome.Refused{Err: failure.Refusal(failure.NoUpstream, noUpstreamDelay,
			"no upstream of pool %s can take the request; repeat it later", m.Pool)}
	}
	best.begin(now)
	return outcome.Chosen{Upstream: best.Upstream, Urgency: urgency(m.Route), ViewAge: now.Sub(b.asOf), SilenceLimit: b.silenceLimit(m)}
}

// silenceLimit is the silence after which a call that may run again should be sent
// elsewhere. It grows with the load, by which answers take longer, so that an
// overload is not made worse.
func (b *Balancer) silenceLimit(m message.ChooseUpstream) time.Duration {
	limit := max(minSilenceLimit, silenceLimitFactor*b.usualTime(m.Route.ID))
	if m.Prompt != nil {
		limit += time.Duration(float64(m.Prompt.Input) / prefillRate * float64(time.Millisecond))
	}
	return limit
}

// noUpstreamDelay is what callers are told if no upstream is usable. The list
// is read again within it.
const noUpstreamDelay = 700 * time.Millisecond

// engineUrgency is the urgency of the most important route at an engine. Less
// important ones follow; 5 is the engine's default.
const engineUrgency = 3

func urgency(r *routing.Route) upstream.Urgency {
	if _, ok := r.Kind.(routing.Stream); !ok {
		return -1
	}
	return upstream.Urgency(min(engineUrgency+max(r.Priority, 0), 9))
}

// Describe adds nothing: upstreams are described by the controller that lists
// them.
func (b *Balancer) Describe(*snapshot.Snapshot) {}
