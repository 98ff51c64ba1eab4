// Package resolver asks upstreams for the results of calls whose outcome is
// unknown.
//
// Only a result that is found settles an outcome. One that is not found may
// still come, so that the look-up is repeated until the shard is closed or an
// operator's plan settles the outcome.
package resolver

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/configuration"
	"github.com/sassafrasspur/sassafrasspur/internal/effect"
	"github.com/sassafrasspur/sassafrasspur/internal/message"
	"github.com/sassafrasspur/sassafrasspur/internal/snapshot"
)

// maxDelay bounds the time between two look-ups of a call.
const maxDelay = time.Minute

// Resolver is the controller of look-ups.
type Resolver struct {
	firstDelay    time.Duration
	configuration *configuration.Configuration
	pending       map[key]*lookUp
}

type key struct {
	program ident.ProgramID
	call    ident.CallID
}

type lookUp struct {
	wanted  message.LookUpWanted
	delay   time.Duration
	nextAt  time.Time
	waiting bool
}

// Option changes how New builds a Resolver.
type Option func(*Resolver)

// WithDelay sets the time between the first two look-ups of a call; it doubles
// with each one.
func WithDelay(first time.Duration) Option {
	return func(r *Resolver) { r.firstDelay = first }
}

// New returns a resolver with nothing to resolve.
func New(options ...Option) *Resolver {
	r := &Resolver{firstDelay: time.Second, pending: map[key]*lookUp{}}
	for _, option := range options {
		option(r)
	}
	return r
}

// Handle takes part in the control loop.
func (r *Resolver) Handle(now time.Time, m message.Message) []effect.Effect {
	switch m := m.(type) {
	case message.LookUpWanted:
		r.pending[key{m.Program, m.Call}] = &lookUp{wanted: m, delay: r.firstDelay, nextAt: now}
		return append(r.tick(now), effect.Publish{})
	case message.LookedUp:
		return r.done(now, m)
	case message.OutcomeSettled:
		delete(r.pending, key{m.Program, m.Call})
		return []effect.Effect{effect.Publish{}}
	case message.ConfigurationRead:
		r.configure(m.Configuration)
	case message.PeerHeard:
		r.configure(m.Configuration)
	case message.ShardClosed:
		r.drop(m.Shard)
	case message.Fenced:
		clear(r.pending)
	case message.Tick:
		return r.tick(now)
	}
	return nil
}

// Describe adds the calls whose outcome is unknown.
func (r *Resolver) Describe(s *snapshot.Snapshot) {
	for _, k := range slices.SortedFunc(maps.Keys(r.pending), compareKeys) {
		s.Unknown = append(s.Unknown, snapshot.UnknownCall{Team: r.pending[k].wanted.Team, Program: k.program, Call: k.call})
	}
}

func (r *Resolver) configure(next *configuration.Configuration) {
	if next != nil && (r.configuration == nil || next.Version > r.configuration.Version) {
		r.configuration = next
	}
}

func (r *Resolver) drop(shard ident.Shard) {
	for k, p := range r.pending {
		if p.wanted.Shard == shard {
			delete(r.pending, k)
		}
	}
}

func (r *Resolver) tick(now time.Time) []effect.Effect {
	var effects []effect.Effect
	for _, k := range slices.SortedFunc(maps.Keys(r.pending), compareKeys) {
		p := r.pending[k]
		if p.waiting {
			continue
		}
		if now.Before(p.nextAt) {
			effects = append(effects, effect.WakeAt{Time: p.nextAt})
			continue
		}
		effects = append(effects, r.try(now, p)...)
	}
	return effects
}

func compareKeys(a, b key) int {
	return cmp.Or(cmp.Compare(a.program, b.program), cmp.Compare(a.call, b.call))
}

func (r *Resolver) try(now time.Time, p *lookUp) []effect.Effect {
	upstream, ok := r.offers(p.wanted)
	if !ok {
		return r.later(now, p)
	}
	p.waiting = true
	return []effect.Effect{effect.LookUp{
		Program: p.wanted.Program,
		Call:    p.wanted.Call,
		Attempt: p.wanted.Attempt,
		Address: upstream.Address,
	}}
}

// offers returns the upstream that can be asked for a call. A later plan may add
// one, so that the call stays until its outcome is settled.
func (r *Resolver) offers(wanted message.LookUpWanted) (configuration.Upstream, bool) {
	if r.configuration == nil {
		return configuration.Upstream{}, false
	}
	pool, known := r.configuration.Pool(wanted.Pool)
	upstream, listed := r.configuration.Upstream(wanted.Upstream)
	return upstream, known && listed && pool.LookUp
}

func (r *Resolver) later(now time.Time, p *lookUp) []effect.Effect {
	p.nextAt = now.Add(p.delay)
	p.delay = min(2*p.delay, maxDelay)
	return []effect.Effect{effect.WakeAt{Time: p.nextAt}}
}

func (r *Resolver) done(now time.Time, m message.LookedUp) []effect.Effect {
	k := key{m.Program, m.Call}
	p, ok := r.pending[k]
	if !ok {
		return nil
	}
	// A result that is found is recorded by the sequencer, which then says that
	// the outcome is settled. It is looked up again if that does not come.
	p.waiting = false
	return r.later(now, p)
}
