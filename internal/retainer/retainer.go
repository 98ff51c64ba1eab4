package retainer

import (
	"time"

	"github.com/sassafrasspur/sassafrasspur/unit"
)

// Input is a program in a pause.
type Input struct {
	Pauses Histogram
	// Elapsed is the time since the pause began.
	Elapsed time.Duration
	// Tokens is the length of the prefix.
	Tokens unit.Tokens
	// Recompute is the cost to compute one token again: its prefill time plus
	// its weight.
	Recompute time.Duration
	// Memory is the cost of holding one token for a second. It grows with the
	// pressure on the engine's memory.
	Memory time.Duration
}

// Decision is the result. The interface is sealed: the variants are the types
// of this package.
type Decision interface{ sealedDecision() }

type (
	// Keep holds the prefix for a time from now; then it is decided again.
	Keep struct{ For time.Duration }
	// Release frees the prefix now.
	Release struct{}
)

func (Keep) sealedDecision()    {}
func (Release) sealedDecision() {}

// Retainer decides on prefixes.
type Retainer struct{}

// New returns a retainer.
func New() Retainer { return Retainer{} }

// Decide says whether to keep a prefix. It keeps the prefix while the expected
// cost of recomputation is above the expected cost of memory.
func (Retainer) Decide(in Input) Decision {
	if in.Tokens <= 0 || in.Recompute <= 0 {
		return Release{}
	}
	if in.Memory <= 0 {
		return Keep{For: bound(buckets - 1)}
	}
	remaining := in.Pauses.longer(in.Elapsed)
	if remaining == 0 {
		// No pause this long was seen: keep until memory has cost as much as
		// the recomputation.
		even := time.Duration(float64(in.Recompute) / float64(in.Memory) * float64(time.Second))
		if even <= in.Elapsed {
			return Release{}
		}
		return Keep{For: even - in.Elapsed}
	}
	// Both costs are per token, because both grow with the prefix.
	best, bestCost := time.Duration(0), float64(in.Recompute)
	for i := range buckets {
		if keep := bound(i) - in.Elapsed; keep > 0 {
			if cost := in.cost(bound(i), remaining); cost < bestCost {
				best, bestCost = keep, cost
			}
		}
	}
	if best == 0 {
		return Release{}
	}
	return Keep{For: best}
}

// cost is the expected cost per token of keeping the prefix up to a pause of
// length until.
func (in Input) cost(until time.Duration, remaining float64) float64 {
	var memory, recompute float64
	for i, count := range in.Pauses.counts {
		if bound(i) <= in.Elapsed || count == 0 {
			continue
		}
		part := float64(count) / remaining
		held := min(bound(i), until) - in.Elapsed
		memory += part * held.Seconds() * float64(in.Memory)
		if bound(i) > until {
			recompute += part * float64(in.Recompute)
		}
	}
	return memory + recompute
}
