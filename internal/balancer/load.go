package balancer

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sassafrasspur/sassafrasspur/internal/message"
	"github.com/sassafrasspur/sassafrasspur/internal/upstream"
)

const (
	// minGain and maxGain bound by what part the second engine by hash must be expected to
	// end a call earlier to get a new program. The hash of the program draws the gain, so
	// that with a moderate difference only some programs move, the same ones on all VMs.
	// Relative speeds of engines of one kind differ by up to a tenth by chance.
	minGain = 0.15
	maxGain = 0.45
	// maxCandidates is the number of engines of a region that a program may go to, the
	// first by hash. All VMs decide on the same reports; with more engines to choose from,
	// one that reports no load would get the new programs of all VMs until its next report.
	maxCandidates = 3
	// farGain is the gain of the third engine, and of those of another region over all of
	// this one. It is above the gain between the fastest and the slowest engines of the
	// known deployments, 0.63, and below that from one that is four times slower. Two
	// engines by hash divide the programs about in proportion to the speed of engines.
	farGain = 0.7
)

// setLoads records the loads that engines reported.
func (b *Balancer) setLoads(m message.EngineLoadsRead) {
	for id, load := range m.Loads {
		if s := b.byID[id]; s != nil {
			s.reported.Report(m.AsOf, load, s.InFlight())
		}
	}
}

// place returns the engine of a new program, or nil if nothing is known of the engines.
// The first engines of the region by hash, the same on all VMs, are considered in this
// order. An engine replaces the one before if it is expected to end the call much
// earlier. Engines of other regions are considered if all of the region are far slower.
func (b *Balancer) place(now time.Time, m message.ChooseUpstream) (*upstreamState, upstream.Basis) {
	near, far := b.ranked(now, m)
	if !slices.ContainsFunc(near, isKnownAt(now)) && !slices.ContainsFunc(far, isKnownAt(now)) {
		return nil, ""
	}
	forecast := b.newForecast(now, m)
	placed := forecast.choose(near)
	if elsewhere := forecast.choose(far); elsewhere != nil {
		end := forecast.end(elsewhere) + milliseconds(crossRegionRoundTrip) + forecast.recomputation
		if placed == nil || end < forecast.earliest(near)*(1-farGain) {
			placed = elsewhere
		}
	}
	if placed.ID == b.affinityUpstream(now, m) {
		return placed, upstream.Hashed
	}
	return placed, upstream.ByLoad
}

// choose returns the engine for the call among those of a region, which are ordered by
// hash, or nil if there is none.
func (f forecast) choose(engines []*upstreamState) *upstreamState {
	var chosen *upstreamState
	var end cost
	for i, s := range engines[:min(len(engines), maxCandidates)] {
		if e := f.end(s); chosen == nil || e < end*(1-requiredGain(f.call, i)) {
			chosen, end = s, e
		}
	}
	return chosen
}

// earliest returns the earliest expected end of the call at any of the engines, of which
// there must be one.
func (f forecast) earliest(engines []*upstreamState) cost {
	earliest := f.end(engines[0])
	for _, s := range engines[1:] {
		earliest = min(earliest, f.end(s))
	}
	return earliest
}

// requiredGain returns the gain that the engine with a rank by hash must have.
func requiredGain(m message.ChooseUpstream, rank int) cost {
	if rank != 1 {
		return farGain
	}
	draw := float64(xxhash.Sum64String(m.Affinity)) / math.MaxUint64
	return cost(minGain + draw*(maxGain-minGain))
}

// ranked returns the usable engines of the VM's region and those of other regions, each
// with the highest hash of the program first.
func (b *Balancer) ranked(now time.Time, m message.ChooseUpstream) (near, far []*upstreamState) {
	for _, s := range b.upstreams[m.Pool] {
		switch {
		case !b.isUsable(now, s, m):
		case b.isInRegion(s):
			near = append(near, s)
		default:
			far = append(far, s)
		}
	}
	return byHash(m, near), byHash(m, far)
}

// byHash returns engines in the order of their hashes, the highest first.
func byHash(m message.ChooseUpstream, engines []*upstreamState) []*upstreamState {
	type ranked struct {
		*upstreamState
		hash uint64
	}
	ranking := make([]ranked, 0, len(engines))
	for _, s := range engines {
		ranking = append(ranking, ranked{s, affinityHash(m, s)})
	}
	slices.SortStableFunc(ranking, func(x, y ranked) int { return cmp.Compare(y.hash, x.hash) })
	for i, r := range ranking {
		engines[i] = r.upstreamState
	}
	return engines
}

// isKnownAt returns a function that reports whether the load or the speed of an engine is
// known.
func isKnownAt(now time.Time) func(*upstreamState) bool {
	return func(s *upstreamState) bool {
		_, _, known := s.Interval.Lasting(now)
		return known || s.reported.Figures(now).Weight > 0
	}
}

// forecast has what the expected end of one call has in common at all engines.
type forecast struct {
	now  time.Time
	call message.ChooseUpstream
	// firstEvent and answer are the usual times to the first event and from there to the
	// last one, recomputation the time to process the call's own part of the prompt.
	firstEvent, answer, recomputation cost
	// batchSlope is the part of the answer that each further call of an engine adds.
	batchSlope float64
	// others and waiting are the means of what engines reported, load the mean number of
	// calls at an engine.
	others, waiting, load float64
}

// newForecast returns the forecast of a call.
func (b *Balancer) newForecast(now time.Time, m message.ChooseUpstream) forecast {
	pool, unshared := b.pool(m.Pool), unsharedTokens(m)
	f := forecast{
		now: now, call: m, firstEvent: milliseconds(pool.FirstEvent(now, unshared)), answer: milliseconds(pool.Answer(now)),
		recomputation: cost(float64(unshared) / pool.PrefillRate(now)), batchSlope: pool.BatchSlope(now),
	}
	var weight float64
	engines := b.upstreams[m.Pool]
	for _, s := range engines {
		figures := s.reported.Figures(now)
		weight += figures.Weight
		f.others += figures.Others
		f.waiting += figures.Waiting
		f.load += float64(s.InFlight())
	}
	if weight > 0 {
		f.others, f.waiting = f.others/weight, f.waiting/weight
	}
	f.load = f.load/float64(max(len(engines), 1)) + f.others
	return f
}

// end returns the expected time to the end of the call at an engine. What a report no
// longer says of an engine is taken from the mean of all, so that an engine without a
// report does not look idle.
func (f forecast) end(s *upstreamState) cost {
	reported := s.reported.Figures(f.now)
	unknown := 1 - reported.Weight
	load := float64(s.InFlight()) + reported.Others + unknown*f.others
	waiting := reported.Waiting + unknown*f.waiting
	answer := f.answer * cost(s.Interval.Relative(f.now)*max(1+f.batchSlope*(load-f.load), 0.5))
	first := f.firstEvent * cost(s.FirstEvent.Relative(f.now)*(1+waiting))
	// A call waits for a part of an answer if it finds no free slot or no free memory.
	waits := s.reported.Lacks(f.now, f.call.Prompt.Input+f.call.Prompt.Output)
	if s.Slots > 0 {
		waits += max(load+1-float64(s.Slots), 0) / float64(s.Slots)
	}
	return first + answer*cost(1+waits)
}
