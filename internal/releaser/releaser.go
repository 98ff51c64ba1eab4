// Package releaser frees the engine memory of ended programs.
//
// The VM that records the end of a program requests the releases, which are
// repeated until the engine confirms them. Releases that are lost because that VM
// has stopped are found by comparing the contents of the engines' memory with the
// records of the programs. Releases are idempotent.
package releaser

import (
	"cmp"
	"slices"
	"time"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/configuration"
	"github.com/sassafrasspur/sassafrasspur/internal/effect"
	"github.com/sassafrasspur/sassafrasspur/internal/message"
	"github.com/sassafrasspur/sassafrasspur/internal/partitioner"
	"github.com/sassafrasspur/sassafrasspur/internal/snapshot"
)

const (
	// initialRetryDelay is the time between a failed release and its retry. It
	// doubles with each failure.
	initialRetryDelay = 500 * time.Millisecond
	// maxRetryDelay bounds the time between two attempts of a release.
	maxRetryDelay = 10 * time.Second
	// maxProgramsPerCheck bounds the programs of one check of an engine's memory,
	// because each of them costs a read of the platform's store.
	maxProgramsPerCheck = 20
)

// Releaser is the controller that sends releases to engines.
type Releaser struct {
	sweepInterval time.Duration
	configuration *configuration.Configuration
	partition     partitioner.Partitioner
	pending       map[key]*release
	sweepAt       time.Time
	nextEngine    int
	// lastChecked is the last program that was checked in each engine's memory.
	lastChecked map[ident.UpstreamID]ident.ProgramID
}

type key struct {
	program  ident.ProgramID
	upstream ident.UpstreamID
}

// release is a release that the engine has not confirmed yet.
type release struct {
	request    message.ReleaseRequested
	retryDelay time.Duration
	retryAt    time.Time
	inFlight   bool
}

// Option configures a Releaser.
type Option func(*Releaser)

// WithSweepInterval sets the interval between reads of all programs in an engine's
// memory. The engines are read in turn.
func WithSweepInterval(interval time.Duration) Option {
	return func(r *Releaser) { r.sweepInterval = interval }
}

// New returns the releaser of a VM, without pending releases.
func New(self ident.VMID, options ...Option) *Releaser {
	r := &Releaser{
		sweepInterval: 2 * time.Second,
		partition:     partitioner.New(self),
		pending:       map[key]*release{},
		lastChecked:   map[ident.UpstreamID]ident.ProgramID{},
	}
	for _, option := range options {
		option(r)
	}
	return r
}

// Handle applies a message to the state and returns the resulting effects.
func (r *Releaser) Handle(now time.Time, m message.Message) []effect.Effect {
	switch m := m.(type) {
	case message.ReleaseRequested:
		return r.enqueue(now, m)
	case message.ReleaseDone:
		return r.handleDone(now, m)
	case message.ConfigurationRead:
		r.configure(m.Configuration)
	case message.CacheRead:
		return r.checkCachedPrograms(m)
	case message.MembersListed:
		r.partition.Update(m)
	case message.Tick, message.Started:
		return append(r.sendDue(now), r.sweep(now)...)
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

// enqueue adds a release, unless the same one is already pending.
func (r *Releaser) enqueue(now time.Time, m message.ReleaseRequested) []effect.Effect {
	k := key{program: m.Program, upstream: m.Upstream}
	if _, ok := r.pending[k]; ok {
		return nil
	}
	r.pending[k] = &release{request: m, retryDelay: initialRetryDelay, retryAt: now}
	return r.sendDue(now)
}

// sendDue sends the releases that are due.
func (r *Releaser) sendDue(now time.Time) []effect.Effect {
	var effects []effect.Effect
	for _, p := range r.sortedPending() {
		if p.inFlight {
			continue
		}
		if now.Before(p.retryAt) {
			effects = append(effects, effect.WakeAt{Time: p.retryAt})
			continue
		}
		effects = append(effects, r.send(now, p)...)
	}
	return effects
}

func (r *Releaser) send(now time.Time, p *release) []effect.Effect {
	if r.configuration == nil {
		p.retryAt = now.Add(p.retryDelay)
		return []effect.Effect{effect.WakeAt{Time: p.retryAt}}
	}
	upstream, ok := r.configuration.Upstream(p.request.Upstream)
	if !ok {
		// An upstream that is no longer configured serves no program.
		delete(r.pending, key{program: p.request.Program, upstream: p.request.Upstream})
		return nil
	}
	p.inFlight = true
	return []effect.Effect{effect.Release{
		Program:  p.request.Program,
		Upstream: p.request.Upstream,
		Address:  upstream.Address,
		Epoch:    p.request.Epoch,
	}}
}

func (r *Releaser) handleDone(now time.Time, m message.ReleaseDone) []effect.Effect {
	k := key{program: m.Program, upstream: m.Upstream}
	p, ok := r.pending[k]
	if !ok {
		return nil
	}
	if m.Err == nil {
		delete(r.pending, k)
		return nil
	}
	p.inFlight = false
	p.retryAt = now.Add(p.retryDelay)
	p.retryDelay = min(2*p.retryDelay, maxRetryDelay)
	return []effect.Effect{effect.WakeAt{Time: p.retryAt}}
}

// checkCachedPrograms requests a check of the next programs in an engine's memory,
// among those that are assigned to this VM.
func (r *Releaser) checkCachedPrograms(m message.CacheRead) []effect.Effect {
	if m.Err != nil || !m.Complete {
		return nil
	}
	var assigned []ident.ProgramID
	for id := range m.CachedTokens {
		if r.partition.Owns(string(id)) {
			assigned = append(assigned, id)
		}
	}
	slices.Sort(assigned)
	next := slices.IndexFunc(assigned, func(id ident.ProgramID) bool { return id > r.lastChecked[m.Upstream] })
	if next > 0 {
		assigned = append(assigned[next:], assigned[:next]...)
	}
	assigned = assigned[:min(maxProgramsPerCheck, len(assigned))]
	if len(assigned) == 0 {
		return nil
	}
	r.lastChecked[m.Upstream] = assigned[len(assigned)-1]
	return []effect.Effect{effect.CheckCachedPrograms{Upstream: m.Upstream, Programs: assigned}}
}

// sweep requests a read of all programs in the next engine's memory. It finds
// memory that is in no record, such as that of an attempt whose VM has stopped.
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
	next := engines[r.nextEngine%len(engines)]
	r.nextEngine++
	return append(effects, effect.ReadCache{Upstream: next.ID, Address: next.Address})
}

// engines returns the upstreams of engine pools.
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

// sortedPending returns the pending releases in a fixed order, so that the effects
// are independent of the map's iteration order.
func (r *Releaser) sortedPending() []*release {
	var all []*release
	for _, p := range r.pending {
		all = append(all, p)
	}
	slices.SortFunc(all, func(a, b *release) int {
		return cmp.Or(
			cmp.Compare(a.request.Program, b.request.Program),
			cmp.Compare(a.request.Upstream, b.request.Upstream),
		)
	})
	return all
}
