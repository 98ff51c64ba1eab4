// Package releaser frees the engine memory of ended programs.
//
// A release is repeated until the engine confirms it. The VM that records the
// end of a program asks for it; memory that is left over because that VM is gone
// is found by comparing what engines hold with the programs. Releases converge:
// one that an engine receives twice changes nothing more.
package releaser

import (
	"cmp"
	"slices"
	"time"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/configuration"
	"github.com/sassafrasspur/sassafrasspur/internal/effect"
	"github.com/sassafrasspur/sassafrasspur/internal/message"
	"github.com/sassafrasspur/sassafrasspur/internal/sharer"
	"github.com/sassafrasspur/sassafrasspur/internal/snapshot"
)

const (
	// firstDelay is the time before a release is tried again; it doubles with
	// each failure.
	firstDelay = 500 * time.Millisecond
	// maxDelay bounds the time between two tries of a release.
	maxDelay = 10 * time.Second
	// checkLimit bounds the programs of one look at an engine's memory, each of
	// which is a read of the platform's store.
	checkLimit = 20
)

// Releaser is the controller of releases.
type Releaser struct {
	sweepInterval time.Duration
	configuration *configuration.Configuration
	share         sharer.Sharer
	pending       map[key]*release
	sweepAt       time.Time
	sweepPosition int
	// checked is the last program that was looked at in each engine's memory.
	checked map[ident.UpstreamID]ident.ProgramID
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

// WithSweep sets the interval at which one engine after the other is asked for
// all programs that it holds.
func WithSweep(interval time.Duration) Option {
	return func(r *Releaser) { r.sweepInterval = interval }
}

// New returns the releaser of a VM, with nothing to release.
func New(self ident.VMID, options ...Option) *Releaser {
	r := &Releaser{
		sweepInterval: 2 * time.Second,
		share:         sharer.New(self),
		pending:       map[key]*release{},
		checked:       map[ident.UpstreamID]ident.ProgramID{},
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
	case message.CacheRead:
		return r.compare(m)
	case message.MembersListed:
		r.share.Update(m)
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
	r.pending[k] = &release{wanted: m, delay: firstDelay, nextAt: now}
	return r.tick(now)
}

// tick tries the releases that are due.
func (r *Releaser) tick(now time.Time) []effect.Effect {
	var effects []effect.Effect
	for _, p := range r.sorted() {
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

func (r *Releaser) try(now time.Time, p *release) []effect.Effect {
	if r.configuration == nil {
		p.nextAt = now.Add(p.delay)
		return []effect.Effect{effect.WakeAt{Time: p.nextAt}}
	}
	upstream, ok := r.configuration.Upstream(p.wanted.Upstream)
	if !ok {
		// An upstream that was removed from the configuration serves no program.
		delete(r.pending, key{program: p.wanted.Program, upstream: p.wanted.Upstream})
		return nil
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
	k := key{program: m.Program, upstream: m.Upstream}
	p, ok := r.pending[k]
	if !ok {
		return nil
	}
	if m.Err == nil {
		delete(r.pending, k)
		return nil
	}
	p.waiting = false
	p.nextAt = now.Add(p.delay)
	p.delay = min(2*p.delay, maxDelay)
	return []effect.Effect{effect.WakeAt{Time: p.nextAt}}
}

// compare looks at the programs of this VM's share that an engine holds, a part
// of them at a time and in turn.
func (r *Releaser) compare(m message.CacheRead) []effect.Effect {
	if m.Err != nil || !m.Complete {
		return nil
	}
	var own []ident.ProgramID
	for id := range m.Residents {
		if r.share.Owns(string(id)) {
			own = append(own, id)
		}
	}
	slices.Sort(own)
	after := slices.IndexFunc(own, func(id ident.ProgramID) bool { return id > r.checked[m.Upstream] })
	if after > 0 {
		own = append(own[after:], own[:after]...)
	}
	own = own[:min(checkLimit, len(own))]
	if len(own) == 0 {
		return nil
	}
	r.checked[m.Upstream] = own[len(own)-1]
	return []effect.Effect{effect.CheckMemory{Upstream: m.Upstream, Programs: own}}
}

// sweep asks the next engine for all programs that it holds. It finds memory
// that no record tells of, such as that of an attempt whose VM is gone.
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
