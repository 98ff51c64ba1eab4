package poolestimator

import (
	"time"

	"github.com/sassafrasspur/sassafrasspur/unit"
)

const (
	// priorPrefill, priorFirstEvent, priorInterval, priorAnswer and priorBatchSlope are
	// neutral priors.
	priorPrefill    = 32.0
	priorFirstEvent = 50 * time.Millisecond
	priorInterval   = 30 * time.Millisecond
	priorAnswer     = 600 * time.Millisecond
	priorBatchSlope = 0.01
	// minPrefill and maxPrefill bound the prefill rate, and maxBatchSlope the slope.
	minPrefill    = 1.0
	maxPrefill    = 1000.0
	maxBatchSlope = 0.1
	// minObservations is the number of observations below which the prior is used for
	// a mean.
	minObservations = 5
	// maxFactor bounds an observation as a multiple of what was expected.
	maxFactor = 3.0
	// figureTTL is how long figures are used without an observation.
	figureTTL = 10 * time.Minute
)

// Estimator estimates the usual figures of the engines of a pool.
type Estimator struct {
	firstEvents line
	intervals   line
	answers     line
	// load is the smoothed load, so that the slope is not that of its noise.
	load     float64
	observed time.Time
}

// New returns an estimator that has observed nothing.
func New() *Estimator {
	e := &Estimator{}
	e.reset()
	return e
}

func (e *Estimator) reset() {
	*e = Estimator{
		// 500 tokens are the spread of prompts that tells the prefill rate well.
		firstEvents: line{decay: 0.98, spread: 500, priorWeight: 10},
		intervals:   line{decay: 0.995, spread: 2, priorWeight: 50},
		answers:     line{decay: 0.98},
	}
}

// expire forgets all figures if nothing was observed for long.
func (e *Estimator) expire(now time.Time) {
	if now.Sub(e.observed) > figureTTL {
		e.reset()
	}
	e.observed = now
}

// ObserveFirstEvent adds the time to the first event of a call whose prompt has a number
// of tokens that were not cached. It returns the time relative to the expected one.
func (e *Estimator) ObserveFirstEvent(now time.Time, uncached unit.Tokens, took time.Duration) float64 {
	e.expire(now)
	known := e.firstEvents.weight >= minObservations
	relative := milliseconds(took) / milliseconds(e.FirstEvent(now, uncached))
	factor := relative
	if known {
		factor = min(max(factor, 1/maxFactor), maxFactor)
	}
	// A much longer prompt than usual is observed as a shorter one that took as long
	// relative to the expected time. Callers state the sizes of their prompts.
	uncached = min(uncached, unit.Tokens(e.firstEvents.furthest()))
	e.firstEvents.observe(float64(uncached), factor*milliseconds(e.FirstEvent(now, uncached)))
	if !known {
		return 1
	}
	return relative
}

// ObserveIntervals adds the mean time between events of a call while engines had a
// number of calls each. It returns the time relative to the usual one.
func (e *Estimator) ObserveIntervals(now time.Time, mean time.Duration, load float64) float64 {
	e.expire(now)
	known := e.intervals.weight >= minObservations
	expected := milliseconds(e.Interval(now))
	value := milliseconds(mean)
	relative := value / expected
	if known {
		value = min(max(value, expected/maxFactor), expected*maxFactor)
		e.load += 0.05 * (load - e.load)
	} else {
		e.load += (load - e.load) / (e.intervals.weight + 1)
	}
	e.intervals.observe(e.load, value)
	if !known {
		return 1
	}
	return relative
}

// ObserveAnswer adds the time from the first to the last event of a complete answer.
func (e *Estimator) ObserveAnswer(now time.Time, took time.Duration) {
	e.expire(now)
	value := milliseconds(took)
	if e.answers.weight >= minObservations {
		value = min(max(value, e.answers.y/maxFactor), e.answers.y*maxFactor)
	}
	e.answers.observe(0, value)
}

// PrefillRate returns the number of prompt tokens that an engine processes in a
// millisecond.
func (e *Estimator) PrefillRate(now time.Time) float64 {
	if e.isExpired(now) {
		return priorPrefill
	}
	return 1 / e.millisecondsPerToken()
}

func (e *Estimator) millisecondsPerToken() float64 {
	return min(max(e.firstEvents.slope(1/priorPrefill), 1/maxPrefill), 1/minPrefill)
}

// FirstEvent returns the usual time to the first event for a number of prompt tokens
// that are not cached.
func (e *Estimator) FirstEvent(now time.Time, uncached unit.Tokens) time.Duration {
	if e.isExpired(now) || e.firstEvents.weight < minObservations {
		return priorFirstEvent + time.Duration(float64(uncached)/e.PrefillRate(now)*float64(time.Millisecond))
	}
	return max(duration(e.firstEvents.at(float64(uncached), e.millisecondsPerToken())), time.Millisecond)
}

// Interval returns the usual time between events.
func (e *Estimator) Interval(now time.Time) time.Duration {
	if e.isExpired(now) || e.intervals.weight < minObservations {
		return priorInterval
	}
	return max(duration(e.intervals.y), time.Microsecond)
}

// BatchSlope returns by how much of the usual time between events each further call of
// an engine delays the events of all its calls.
func (e *Estimator) BatchSlope(now time.Time) float64 {
	if e.isExpired(now) || e.intervals.weight < minObservations {
		return priorBatchSlope
	}
	return min(max(e.intervals.slope(priorBatchSlope*e.intervals.y)/e.intervals.y, 0), maxBatchSlope)
}

// Answer returns the usual time from the first to the last event of an answer.
func (e *Estimator) Answer(now time.Time) time.Duration {
	if e.isExpired(now) || e.answers.weight < minObservations {
		return priorAnswer
	}
	return duration(e.answers.y)
}

// Age returns the time since the newest observation, and false if nothing is known.
func (e *Estimator) Age(now time.Time) (time.Duration, bool) {
	return now.Sub(e.observed), !e.isExpired(now)
}

func (e *Estimator) isExpired(now time.Time) bool { return now.Sub(e.observed) > figureTTL }

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func duration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
