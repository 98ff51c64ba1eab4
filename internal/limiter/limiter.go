package limiter

import (
	"time"

	"github.com/sassafrasspur/sassafrasspur/internal/failure"
)

const (
	// overloadRatio is the multiple of the baseline latency above which an
	// upstream counts as overloaded. Batching alone makes a full engine about
	// twice as slow as an idle one.
	overloadRatio = 2.5
	// decreaseFactor is the factor by which the limit is multiplied on overload.
	decreaseFactor = 0.7
	// baselineDrift is the weight with which slower observations raise the
	// baseline, so that one unusually fast call does not lower the limit for good.
	baselineDrift = 1.0 / 256
	// minBackoff and maxBackoff bound the wait on which the retry delay of a
	// refusal is based.
	minBackoff = 200 * time.Millisecond
	maxBackoff = 30 * time.Second
)

// State is the limit of one upstream. The zero value starts at the upper bound.
type State struct {
	// Limit is the number of calls that may run. Its fractional part accumulates
	// increases.
	Limit float64
	// BaselineLatency is the lowest latency observed, raised slowly by slower
	// ones; 0 before the first observation.
	BaselineLatency time.Duration
	// NoDecreaseUntil is the time before which the limit does not fall again:
	// calls that started before a decrease say nothing about its effect.
	NoDecreaseUntil time.Time
}

// Bounds is the range of a limit. Min is at least 1.
type Bounds struct{ Min, Max int }

// BoundsFor returns the bounds for an upstream with the given number of slots.
func BoundsFor(slots int) Bounds { return Bounds{Min: 1, Max: max(1, slots)} }

// Observation is one finished call.
type Observation struct {
	// Latency is comparable between calls: for an engine, the caller divides it
	// by the work of the call.
	Latency time.Duration
	// Duration is how long the call took.
	Duration time.Duration
	Failed   bool
}

// Allowed returns how many calls may run.
func (s State) Allowed(b Bounds) int {
	if s.Limit == 0 {
		return b.Max
	}
	return max(b.Min, min(b.Max, int(s.Limit)))
}

// Observe returns the state after a finished call.
func (s State) Observe(now time.Time, b Bounds, o Observation) State {
	if s.Limit == 0 {
		s.Limit = float64(b.Max)
	}
	overloaded := o.Failed
	if !o.Failed {
		if s.BaselineLatency == 0 || o.Latency < s.BaselineLatency {
			s.BaselineLatency = o.Latency
		} else {
			s.BaselineLatency += time.Duration(float64(o.Latency-s.BaselineLatency) * baselineDrift)
		}
		overloaded = float64(o.Latency) > overloadRatio*float64(s.BaselineLatency)
	}
	switch {
	case !overloaded:
		s.Limit += 1 / max(1, s.Limit)
	case !now.Before(s.NoDecreaseUntil):
		s.Limit *= decreaseFactor
		s.NoDecreaseUntil = now.Add(o.Duration)
	}
	s.Limit = max(float64(b.Min), min(float64(b.Max), s.Limit))
	return s
}

// Input is the state of a pool's queue when a call cannot start at once.
type Input struct {
	// Queued is the number of calls ahead in the queue, Capacity is how many calls
	// can run concurrently, and Service is the mean duration of a call.
	Queued   int
	Capacity int
	Service  time.Duration
	// MaxWait is the longest predicted wait with which a call is queued.
	MaxWait time.Duration
	// Essential is true for classes that are queued whatever the predicted wait.
	Essential bool
	// Random is uniformly distributed in [0, 1).
	Random float64
}

// Decision is the result. The interface is sealed: its implementations are the
// types of this package.
type Decision interface{ sealedDecision() }

type (
	// Enqueue leaves the call in the queue.
	Enqueue struct{ Predicted time.Duration }
	// Refuse rejects the call; the error says that it did not run.
	Refuse struct{ Err *failure.Error }
)

func (Enqueue) sealedDecision() {}
func (Refuse) sealedDecision()  {}

// Limiter decides on admission to a queue.
type Limiter struct{}

// New returns a limiter.
func New() Limiter { return Limiter{} }

// Decide decides whether a call may wait. Essential classes are exempt from
// refusal, as in 3GPP S2-180239, clause 5.19.7; the exemption is kept only if a
// measurement supports it.
func (Limiter) Decide(in Input) Decision {
	predicted := time.Duration(in.Queued) * in.Service / time.Duration(max(1, in.Capacity))
	if in.Essential || predicted <= in.MaxWait {
		return Enqueue{Predicted: predicted}
	}
	return Refuse{Err: Overloaded(predicted, in.Random)}
}

// Overloaded returns a refusal with a randomized retry delay of 0.5 to 1.5 times
// the predicted wait, so that refused callers do not retry at the same time.
// Random is in [0, 1).
func Overloaded(predicted time.Duration, random float64) *failure.Error {
	base := max(minBackoff, min(maxBackoff, predicted))
	delay := time.Duration(float64(base) * (0.5 + random))
	return failure.Refusal(failure.Overloaded, delay,
		"the pool's queue is full; retry the call after %s", delay.Round(time.Millisecond))
}
