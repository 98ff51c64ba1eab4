package retainer

import (
	"time"

	"github.com/sassafrasspur/sassafrasspur/unit"
)

// Input is the state of a paused program.
type Input struct {
	Pauses Histogram
	// Elapsed is the time since the start of the pause.
	Elapsed time.Duration
	// Tokens is the length of the prefix.
	Tokens unit.Tokens
	// Recompute is the cost of recomputing one token: its prefill time plus its
	// weight.
	Recompute time.Duration
	// Memory is the cost of holding one token in memory for one second. It grows
	// with the engine's memory pressure.
	Memory time.Duration
}

// Decision is the result. The interface is sealed: its implementations are the
// types of this package.
type Decision interface{ sealedDecision() }

type (
	// Keep retains the prefix for the given time, after which the decision is
	// made again.
	Keep struct{ For time.Duration }
	// Release frees the memory of the prefix now.
	Release struct{}
)

func (Keep) sealedDecision()    {}
func (Release) sealedDecision() {}

// Retainer decides on the retention of prefixes.
type Retainer struct{}

// New returns a retainer.
func New() Retainer { return Retainer{} }

// Decide decides whether to retain a prefix. It chooses the retention time with
// the lowest expected cost of memory and recomputation.
func (Retainer) Decide(in Input) Decision {
	if in.Tokens <= 0 || in.Recompute <= 0 {
		return Release{}
	}
	if in.Memory <= 0 {
		return Keep{For: upperBound(bucketCount - 1)}
	}
	longer := in.Pauses.countLonger(in.Elapsed)
	if longer == 0 {
		// No pause of this length was observed: retain the prefix until the
		// memory has cost as much as the recomputation.
		breakEven := time.Duration(float64(in.Recompute) / float64(in.Memory) * float64(time.Second))
		if breakEven <= in.Elapsed {
			return Release{}
		}
		return Keep{For: breakEven - in.Elapsed}
	}
	// Both costs are proportional to the prefix, so they are compared per token.
	bestTime, bestCost := time.Duration(0), float64(in.Recompute)
	for i := range bucketCount {
		if keep := upperBound(i) - in.Elapsed; keep > 0 {
			if cost := in.expectedCost(upperBound(i), longer); cost < bestCost {
				bestTime, bestCost = keep, cost
			}
		}
	}
	if bestTime == 0 {
		return Release{}
	}
	return Keep{For: bestTime}
}

// expectedCost returns the expected cost per token if the prefix is retained until
// the pause has lasted for the duration until. The argument longer is the number
// of observed pauses that are longer than Elapsed.
func (in Input) expectedCost(until time.Duration, longer float64) float64 {
	var memory, recompute float64
	for i, count := range in.Pauses.counts {
		if upperBound(i) <= in.Elapsed || count == 0 {
			continue
		}
		probability := float64(count) / longer
		retained := min(upperBound(i), until) - in.Elapsed
		memory += probability * retained.Seconds() * float64(in.Memory)
		if upperBound(i) > until {
			recompute += probability * float64(in.Recompute)
		}
	}
	return memory + recompute
}
