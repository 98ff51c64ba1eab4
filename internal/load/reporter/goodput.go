package reporter

import (
	"slices"
	"time"

	"github.com/sassafrasspur/sassafrasspur/internal/load/driver"
)

// windowStep is the distance between the starts of successive sliding windows.
const windowStep = 250 * time.Millisecond

// completions holds the sorted completion times of the programs that succeeded
// within the latency limit.
type completions []time.Duration

func newCompletions(o Overload, outcomes []driver.Outcome) completions {
	var within completions
	for _, outcome := range outcomes {
		if outcome.Err == nil && outcome.Latency <= o.Limit {
			within = append(within, outcome.Done)
		}
	}
	slices.Sort(within)
	return within
}

// goodputBetween returns the number of programs per second that completed in
// [from, to).
func (c completions) goodputBetween(from, to time.Duration) float64 {
	if to <= from {
		return 0
	}
	first, _ := slices.BinarySearch(c, from)
	last, _ := slices.BinarySearch(c, to)
	return float64(last-first) / (to - from).Seconds()
}

func (c completions) peak(o Overload) float64 {
	best := 0.0
	for at := time.Duration(0); at+o.Window <= o.End; at += windowStep {
		best = max(best, c.goodputBetween(at, at+o.Window))
	}
	return best
}

// recovery returns the time in milliseconds from the end of the overload until the
// goodput over the remaining arrivals is at least recoveredFraction of the goodput
// before the overload. It returns nil if the goodput does not recover or was 0
// before.
//
// The goodput is taken over all remaining arrivals and not over a single window:
// programs of the overload that complete together can fill a window while later
// ones still exceed the limit. The goodput before the overload excludes the first
// window, the warm-up of the system.
func (c completions) recovery(o Overload) *int64 {
	before := c.goodputBetween(min(o.Window, o.From/2), o.From)
	if before == 0 {
		return nil
	}
	for at := o.To; at+o.Window <= o.End; at += windowStep {
		if c.goodputBetween(at, o.End) >= recoveredFraction*before {
			after := (at - o.To).Milliseconds()
			return &after
		}
	}
	return nil
}
