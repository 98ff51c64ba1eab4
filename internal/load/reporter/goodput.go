package reporter

import (
	"slices"
	"time"

	"github.com/sassafrasspur/sassafrasspur/internal/load/driver"
)

// windowStep is the distance between the starts of windows.
const windowStep = 250 * time.Millisecond

// completions are the sorted times at which programs ended within the limit.
type completions []time.Duration

func goodputs(o Overload, outcomes []driver.Outcome) completions {
	var g completions
	for _, outcome := range outcomes {
		if outcome.Err == nil && outcome.Latency <= o.Limit {
			g = append(g, outcome.Done)
		}
	}
	slices.Sort(g)
	return g
}

// between returns the programs a second that ended in [from, to).
func (g completions) between(from, to time.Duration) float64 {
	if to <= from {
		return 0
	}
	first, _ := slices.BinarySearch(g, from)
	last, _ := slices.BinarySearch(g, to)
	return float64(last-first) / (to - from).Seconds()
}

func (g completions) peak(o Overload) float64 {
	best := 0.0
	for at := time.Duration(0); at+o.Window <= o.End; at += windowStep {
		best = max(best, g.between(at, at+o.Window))
	}
	return best
}

// recovery returns the time from the end of the overload to the start of the
// first window with nearly the goodput from before, in milliseconds; nil if
// there is none or the goodput from before is 0. The first window before the overload is left out of the
// comparison, because the programs that end there arrived at an idle system.
func (g completions) recovery(o Overload) *int64 {
	before := g.between(min(o.Window, o.From/2), o.From)
	if before == 0 {
		return nil
	}
	for at := o.To; at+o.Window <= o.End; at += windowStep {
		if g.between(at, at+o.Window) >= recoveredPart*before {
			after := (at - o.To).Milliseconds()
			return &after
		}
	}
	return nil
}
