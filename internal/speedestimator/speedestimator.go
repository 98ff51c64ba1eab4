package speedestimator

import (
	"math"
	"time"
)

const (
	// minRelative and maxRelative bound an observation, so that one call that hangs
	// does not dominate a mean.
	minRelative = 0.25
	maxRelative = 8
	// recentFull is the age up to which the recent figure has its full weight, and
	// recentTTL the age at which it has none.
	recentFull = time.Second
	recentTTL  = 4 * time.Second
	// lastingTTL is how long the lasting figure is used without an observation.
	lastingTTL = 10 * time.Minute
	// lastingWeight is the weight of the newest observation in the lasting figure once
	// there are 1/lastingWeight of them.
	lastingWeight = 0.02
	// lastingPrior is the number of observations that the neutral prior stands for.
	lastingPrior = 5
	// maxLastingStep bounds how far an observation is from the lasting figure, as a
	// factor. An engine that is four times slower for some seconds keeps its figure.
	maxLastingStep = 1.5
)

// Estimator estimates how long an engine takes relative to its pool: 1 is as long as
// usual, 2 is twice as long. The zero value is an engine of usual speed.
type Estimator struct {
	// recent holds the logarithms of the last observations in order of arrival.
	recent   [3]float64
	count    int
	lasting  float64
	observed time.Time
}

// Observe adds a time relative to the usual one of the pool.
func (e *Estimator) Observe(now time.Time, relative float64) {
	if !(relative > 0) {
		return
	}
	if age := now.Sub(e.observed); age > lastingTTL {
		*e = Estimator{}
	} else if age > recentTTL {
		// The oldest observations no longer say anything; the lasting figure
		// stands for them.
		e.recent = [3]float64{e.lasting, e.lasting, e.lasting}
	}
	newest := math.Log(min(max(relative, minRelative), maxRelative))
	e.recent[0], e.recent[1], e.recent[2] = e.recent[1], e.recent[2], newest
	e.count++
	step := min(max(newest-e.lasting, -math.Log(maxLastingStep)), math.Log(maxLastingStep))
	e.lasting += step * max(lastingWeight, 1/float64(e.count+lastingPrior))
	e.observed = now
}

// Relative returns the expected time relative to the pool.
func (e *Estimator) Relative(now time.Time) float64 {
	age := now.Sub(e.observed)
	if e.count == 0 || age > lastingTTL {
		return 1
	}
	lasting := e.lasting
	if age < recentTTL {
		weight := min(1, float64(recentTTL-age)/float64(recentTTL-recentFull))
		lasting += weight * (e.median() - lasting)
	}
	return math.Exp(lasting)
}

// Lasting returns the lasting figure, the age of the newest observation, and whether
// there is one that has not expired.
func (e *Estimator) Lasting(now time.Time) (float64, time.Duration, bool) {
	age := now.Sub(e.observed)
	if e.count == 0 || age > lastingTTL {
		return 1, 0, false
	}
	return math.Exp(e.lasting), age, true
}

// median returns the median of the last three observations. A single outlier does not
// change it much; two slow observations in a row do.
func (e *Estimator) median() float64 {
	a, b, c := e.recent[0], e.recent[1], e.recent[2]
	return max(min(a, b), min(max(a, b), c))
}
