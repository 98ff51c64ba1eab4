package limiter

import (
	"time"

	"github.com/sassafrasspur/sassafrasspur/internal/failure"
)

const (
	// tolerance is the multiple of the best latency that counts as overload.
	// Batching alone makes a full engine about twice as slow as an idle one.
	tolerance = 2.5
	// decrease is the factor by which an overload lowers the limit.
	decrease = 0.7
	// drift moves the best latency towards slower observations, so that one
	// unusually fast call does not hold the limit down for good.
	drift = 1.0 / 256
	// minBackoff and maxBackoff bound the delay that refusals ask for.
	minBackoff = 200 * time.Millisecond
	maxBackoff = 30 * time.Second
)

// State is the limit of one upstream. The zero value starts at the upper bound.
type State struct {
	// Limit is the number of calls that may run; its fraction accumulates.
	Limit float64
	// Best is the lowest latency seen, with drift; 0 if none was seen.
	Best time.Duration
	// HoldUntil is the time before which the limit does not fall again: calls
	// that started before a decrease say nothing about its effect.
	HoldUntil time.Time
}

// Bounds limits the limit. Min is at least 1.
type Bounds struct{ Min, Max int }

// BoundsFor returns the bounds for an upstream with a number of slots.
func BoundsFor(slots int) Bounds { return Bounds{Min: 1, Max: max(1, slots)} }

// Observation is one finished call.
type Observation struct {
	// Latency is comparable between calls: the caller divides it by the work.
	Latency time.Duration
	// Duration is how long the call took.
	Duration time.Duration
	Failed   bool
}

// Allowed returns how many calls may run under a state.
func (s State) Allowed(b Bounds) int {
	if s.Limit == 0 {
		return b.Max
	}
	return max(b.Min, min(b.Max, int(s.Limit)))
}

// Observe returns the state after a call ended.
func (s State) Observe(now time.Time, b Bounds, o Observation) State {
	if s.Limit == 0 {
		s.Limit = float64(b.Max)
	}
	overloaded := o.Failed
	if !o.Failed {
		if s.Best == 0 || o.Latency < s.Best {
			s.Best = o.Latency
		} else {
			s.Best += time.Duration(float64(o.Latency-s.Best) * drift)
		}
		overloaded = float64(o.Latency) > tolerance*float64(s.Best)
	}
	switch {
	case !overloaded:
		s.Limit += 1 / max(1, s.Limit)
	case !now.Before(s.HoldUntil):
		s.Limit *= decrease
		s.HoldUntil = now.Add(o.Duration)
	}
	s.Limit = max(float64(b.Min), min(float64(b.Max), s.Limit))
	return s
}

// Input is the state of a pool's queue when a call would have to wait.
type Input struct {
	// Queued is the number of calls that wait; Capacity is how many run side by
	// side, and Service is the mean duration of a call.
	Queued   int
	Capacity int
	Service  time.Duration
	// Bound is the longest predicted wait.
	Bound time.Duration
	// Essential is true for classes that pass the refusal.
	Essential bool
	// Random is uniformly distributed in [0, 1).
	Random float64
}

// Decision is the result. The interface is sealed: the variants are the types
// of this package.
type Decision interface{ sealedDecision() }

type (
	// Enqueue lets the call wait.
	Enqueue struct{ Predicted time.Duration }
	// Refuse refuses it; the error says that the call did not run.
	Refuse struct{ Err *failure.Error }
)

func (Enqueue) sealedDecision() {}
func (Refuse) sealedDecision()  {}

// Limiter decides on the admission to a queue.
type Limiter struct{}

// New returns a limiter.
func New() Limiter { return Limiter{} }

// Decide says whether a call may wait. Essential classes pass the refusal; the
// idea is from 3GPP S2-180239, clause 5.19.7, and is kept only if a measurement
// supports it.
func (Limiter) Decide(in Input) Decision {
	predicted := time.Duration(in.Queued) * in.Service / time.Duration(max(1, in.Capacity))
	if in.Essential || predicted <= in.Bound {
		return Enqueue{Predicted: predicted}
	}
	return Refuse{Err: Overloaded(predicted, in.Random)}
}

// Overloaded returns a refusal with a randomized back-off around the predicted
// wait: between half and one and a half times of it, so that refused callers do
// not come back together. Random is in [0, 1).
func Overloaded(predicted time.Duration, random float64) *failure.Error {
	base := max(minBackoff, min(maxBackoff, predicted))
	after := time.Duration(float64(base) * (0.5 + random))
	return failure.Refusal(failure.Overloaded, after,
		"the pool's queue is full; repeat the call after %s", after.Round(time.Millisecond))
}
