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
		return r.tick(now)
	case message.LookedUp:
		return r.done(now, m)
	case message.ResolveCall:
		delete(r.pending, key{m.Program, m.Call})
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

// Describe adds nothing to a snapshot.
func (r *Resolver) Describe(*snapshot.Snapshot) {}

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
		effects = append(effects, r.try(now, k, p)...)
	}
	return effects
}

func compareKeys(a, b key) int {
	return cmp.Or(cmp.Compare(a.program, b.program), cmp.Compare(a.call, b.call))
}

func (r *Resolver) try(now time.Time, k key, p *lookUp) []effect.Effect {
	if r.configuration == nil {
		p.nextAt = now.Add(p.delay)
		return []effect.Effect{effect.WakeAt{Time: p.nextAt}}
	}
	pool, known := r.configuration.Pool(p.wanted.Pool)
	upstream, listed := r.configuration.Upstream(p.wanted.Upstream)
	if !known || !listed || !pool.LookUp {
		delete(r.pending, k)
		return nil
	}
	p.waiting = true
	return []effect.Effect{effect.LookUp{
		Program: p.wanted.Program,
		Call:    p.wanted.Call,
		Attempt: p.wanted.Attempt,
		Address: upstream.Address,
	}}
}

func (r *Resolver) done(now time.Time, m message.LookedUp) []effect.Effect {
	k := key{m.Program, m.Call}
	p, ok := r.pending[k]
	if !ok {
		return nil
	}
	if m.Err == nil && m.Found {
		delete(r.pending, k)
		return nil
	}
	p.waiting = false
	p.nextAt = now.Add(p.delay)
	p.delay = min(2*p.delay, maxDelay)
	return []effect.Effect{effect.WakeAt{Time: p.nextAt}}
}
