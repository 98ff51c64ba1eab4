package balancer

import (
	"time"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/message"
	"github.com/sassafrasspur/sassafrasspur/internal/traffic"
	"github.com/sassafrasspur/sassafrasspur/internal/upstream"
)

// selection is the upstream selected for a call, nil if there is none.
type selection struct {
	*upstreamState
	basis upstream.Basis
	// isCached is true if the upstream is expected to have the call's prompt in its
	// cache but for the newest part.
	isCached bool
}

// selectUpstream selects the upstream of a call.
func (b *Balancer) selectUpstream(now time.Time, m message.ChooseUpstream) selection {
	engine, basis := b.placement(now, m)
	if engine != nil && !b.hasUnusedLimit(now, m.Pool) {
		return selection{upstreamState: engine, basis: basis, isCached: basis == upstream.Remembered}
	}
	preferred := b.affinityUpstream(now, m)
	if engine != nil {
		preferred = engine.ID
	}
	chosen := selection{upstreamState: b.cheapest(now, m, preferred)}
	chosen.isCached = chosen.upstreamState != nil && chosen.ID == preferred
	switch {
	case chosen.isCached && engine != nil:
		chosen.basis = basis
	case m.Affinity != "":
		chosen.basis = upstream.Hashed
	}
	return chosen
}

// placement returns the engine of a call's program, or nil if the call is served like one
// of no program. A new program, and one whose engine can't serve it, is placed by load. A
// program stays at its engine, also if others have less load: a trial in
// which turns moved to the engine with the earliest expected end doubled the prompt tokens
// that all engines computed on a loaded day.
func (b *Balancer) placement(now time.Time, m message.ChooseUpstream) (*upstreamState, upstream.Basis) {
	if !b.placesPrograms || m.Affinity == "" || m.Prompt == nil {
		return nil, ""
	}
	switch p := m.Placement.(type) {
	case traffic.RememberedEngine:
		if s := b.byID[p.ID]; s != nil && s.Pool == m.Pool && !s.Incarnation.Differs(p.Incarnation) && b.isUsable(now, s, m) {
			return s, upstream.Remembered
		}
	case traffic.NewProgram:
	case nil:
		return nil, ""
	}
	return b.place(now, m)
}

// isUsable reports whether an engine can be the one of a program: it accepts the call, does
// not need to be avoided, and its slots are not all taken by calls of this VM.
func (b *Balancer) isUsable(now time.Time, s *upstreamState, m message.ChooseUpstream) bool {
	hasSlot := s.Slots <= 0 || s.InFlight() < s.Slots
	return hasSlot && s.accepts(now, m, b.connectionLimit(m.Pool)) && !s.mustAvoid(now, m)
}

// hasUnusedLimit reports whether an engine of a pool has a request limit that allows a
// call now. Programs then move, since what a limit allows and nobody uses is load on the
// engines without a limit.
func (b *Balancer) hasUnusedLimit(now time.Time, pool ident.PoolID) bool {
	if len(b.limits) == 0 {
		return false
	}
	for _, s := range b.upstreams[pool] {
		if s.allowance != nil && !s.Leaving && s.allowance.allows(now) {
			return true
		}
	}
	return false
}
