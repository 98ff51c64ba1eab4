package poolestimator

import (
	"time"

	"github.com/sassafrasspur/sassafrasspur/unit"
)

// Figures are the usual figures of the engines of a pool.
type Figures struct {
	// PrefillRate is the number of prompt tokens that an engine processes in a
	// millisecond.
	PrefillRate float64
	// Interval is the time between events, FirstEvent the time to the first event of
	// a prompt that is cached, and Answer the time from the first to the last event.
	Interval, FirstEvent, Answer time.Duration
	// BatchSlope is the part of Interval by which each further call of an engine
	// delays the events of all.
	BatchSlope unit.Ratio
	// Fastest and Slowest are the lowest and highest lasting relative times of its
	// engines.
	Fastest, Slowest unit.Ratio
}

// Figures returns the figures but those of single engines.
func (e *Estimator) Figures(now time.Time) Figures {
	return Figures{
		PrefillRate: e.PrefillRate(now), Interval: e.Interval(now), FirstEvent: e.FirstEvent(now, 0), Answer: e.Answer(now),
		BatchSlope: unit.Ratio(e.BatchSlope(now)),
	}
}
