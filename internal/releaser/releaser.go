// Package releaser frees the engine memory of ended programs.
//
// A release is repeated until the engine confirms it. What is to be released
// follows from the durable state of the shards that the node owns, so that the
// next owner of a shard goes on where this one stopped. Releases converge: one
// that an engine receives twice, or from an old owner, changes nothing more.
package releaser

import (
	"cmp"
	"slices"
	"time"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/configuration"
	"github.com/sassafrasspur/sassafrasspur/internal/effect"
	"github.com/sassafrasspur/sassafrasspur/internal/message"
	"github.com/sassafrasspur/sassafrasspur/internal/snapshot"
)

// maxDelay bounds the time between two tries of a release.
const maxDelay = 10 * time.Second

// Releaser is the controller of releases.
type Releaser struct {
	firstDelay    time.Duration
	sweepInterval time.Duration
	configuration *configuration.Configuration
	leaseUntil    time.Time
	pending       map[key]*release
	sweepAt       time.Time
	sweepPosition int
}

type key struct {
	program  ident.ProgramID
	upstream ident.UpstreamID
}

type release struct {
	wanted  message.ReleaseWanted
	delay   time.Duration
	nextAt  time.Time
	waiting bool
}

// Option changes how New builds a Releaser.
type Option func(*Releaser)

// WithDelay sets the time before a release is tried again; it doubles with
// each failure.
func WithDelay(first time.Duration) Option {
	return func(r *Releaser) { r.firstDelay = first }
}

// WithSweep sets the interval at which one engine after the other is asked for
// all programs that it holds.
func WithSweep(interval time.Duration) Option {
	return func(r *Releaser) { r.sweepInterval = interval }
}

// New returns a releaser with nothing to release.
func New(options ...Option) *Releaser {
	r := &Releaser{
		firstDelay:    500 * time.Millisecond,
		sweepInterval: 2 * time.Second,
		pending:       map[key]*release{},
	}
	for _, option := range options {
		option(r)
	}
	return r
}

// Handle takes part in the control loop.
func (r *Releaser) Handle(now time.Time, m message.Message) []effect.Effect {
	switch m := m.(type) {
	case message.ReleaseWanted:
		return r.want(now, m)
	case message.ReleaseDone:
		return r.done(now, m)
	case message.ConfigurationRead:
		r.configure(m.Configuration)
	case message.PeerHeard:
		r.configure(m.Configuration)
	case message.LeaseChanged:
		r.leaseUntil = m.Until
	case message.ShardClosed:
		r.drop(m.Shard)
	case message.Fenced:
		clear(r.pending)
	case message.Tick, message.Started:
		return append(r.tick(now), r.sweep(now)...)
	}
	return nil
}

// Describe adds nothing to a snapshot.
func (r *Releaser) Describe(*snapshot.Snapshot) {}

func (r *Releaser) configure(next *configuration.Configuration) {
	if next != nil && (r.configuration == nil || next.Version > r.configuration.Version) {
		r.configuration = next
	}
}

func (r *Releaser) want(now time.Time, m message.ReleaseWanted) []effect.Effect {
	k := key{program: m.Program, upstream: m.Upstream}
	if _, ok := r.pending[k]; ok {
		return nil
	}
	r.pending[k] = &release{wanted: m, delay: r.firstDelay, nextAt: now}
	return r.tick(now)
}

func (r *Releaser) drop(shard ident.Shard) {
	for k, p := range r.pending {
		if p.wanted.Shard == shard {
			delete(r.pending, k)
		}
	}
}

// tick tries the releases that are due. The lease is checked just before an
// order is sent, because some engines do not check fencing numbers.
func (r *Releaser) tick(now time.Time) []effect.Effect {
	var effects []effect.Effect
	for _, p := range r.sorted() {
		if p.waiting {
			continue
		}
		if now.Before(p.nextAt) || !now.Before(r.leaseUntil) {
			effects = append(effects, effect.WakeAt{Time: later(p.nextAt, now.Add(r.firstDelay))})
			continue
		}
		effects = append(effects, r.try(now, p)...)
	}
	return effects
}

func (r *Releaser) try(now time.Time, p *release) []effect.Effect {
	if r.configuration == nil {
		p.nextAt = now.Add(p.delay)
		return []effect.Effect{effect.WakeAt{Time: p.nextAt}}
	}
	upstream, ok := r.configuration.Upstream(p.wanted.Upstream)
	if !ok {
		// An upstream that was removed from the configuration serves no program.
		return r.confirm(p.wanted)
	}
	p.waiting = true
	return []effect.Effect{effect.Release{
		Program:  p.wanted.Program,
		Upstream: p.wanted.Upstream,
		Address:  upstream.Address,
		Epoch:    p.wanted.Epoch,
	}}
}

func (r *Releaser) done(now time.Time, m message.ReleaseDone) []effect.Effect {
	p, ok := r.pending[key{program: m.Program, upstream: m.Upstream}]
	if !ok {
		return nil
	}
	if m.Err == nil {
		return r.confirm(p.wanted)
	}
	p.waiting = false
	p.nextAt = now.Add(p.delay)
	p.delay = min(2*p.delay, maxDelay)
	return []effect.Effect{effect.WakeAt{Time: p.nextAt}}
}

func (r *Releaser) confirm(wanted message.ReleaseWanted) []effect.Effect {
	delete(r.pending, key{program: wanted.Program, upstream: wanted.Upstream})
	return []effect.Effect{effect.Send{Message: message.ReleaseConfirmed{
		Program: wanted.Program, Upstream: wanted.Upstream,
	}}}
}

// sweep asks the next engine for all programs that it holds. It finds memory
// that no record tells of, such as that of an attempt whose owner crashed.
func (r *Releaser) sweep(now time.Time) []effect.Effect {
	if now.Before(r.sweepAt) {
		return []effect.Effect{effect.WakeAt{Time: r.sweepAt}}
	}
	r.sweepAt = now.Add(r.sweepInterval)
	effects := []effect.Effect{effect.WakeAt{Time: r.sweepAt}}
	engines := r.engines()
	if len(engines) == 0 {
		return effects
	}
	next := engines[r.sweepPosition%len(engines)]
	r.sweepPosition++
	return append(effects, effect.ReadCache{Upstream: next.ID, Address: next.Address})
}

func (r *Releaser) engines() []configuration.Upstream {
	if r.configuration == nil {
		return nil
	}
	var engines []configuration.Upstream
	for _, u := range r.configuration.Upstreams {
		if pool, ok := r.configuration.Pool(u.Pool); ok && pool.Kind == configuration.EnginePool {
			engines = append(engines, u)
		}
	}
	return engines
}

// sorted returns the pending releases in a fixed order, so that the effects do
// not depend on the order of a map.
func (r *Releaser) sorted() []*release {
	var all []*release
	for _, p := range r.pending {
		all = append(all, p)
	}
	slices.SortFunc(all, func(a, b *release) int {
		return cmp.Or(
			cmp.Compare(a.wanted.Program, b.wanted.Program),
			cmp.Compare(a.wanted.Upstream, b.wanted.Upstream),
		)
	})
	return all
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
