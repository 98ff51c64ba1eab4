package loadestimator

import (
	"time"

	"github.com/sassafrasspur/sassafrasspur/internal/upstream"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

const (
	// reportFull is the age up to which a report has its full weight, and reportTTL the
	// age at which it has none. Most answers take between one and five seconds.
	reportFull = 2 * time.Second
	reportTTL  = 5 * time.Second
)

// Figures is the estimated load of an engine. Each figure is scaled by Weight.
type Figures struct {
	// Weight is the weight of the report, 0 for none to 1 for a recent one.
	Weight float64
	// Others is the number of calls of other VMs that the engine has, Waiting the number
	// of all calls that it has queued.
	Others  float64
	Waiting float64
}

// Estimator keeps the last report of one engine. The zero value has none.
type Estimator struct {
	load upstream.Load
	asOf time.Time
	// own is the number of calls that this VM had in flight when the report was read.
	own int
}

// Report sets what the engine reported at a time. own is the number of calls that this VM
// has in flight there now, which is close to that at the time of the report.
func (e *Estimator) Report(asOf time.Time, load upstream.Load, own int) {
	if asOf.After(e.asOf) {
		*e = Estimator{load: load, asOf: asOf, own: own}
	}
}

// Figures returns the estimated load.
func (e *Estimator) Figures(now time.Time) Figures {
	weight := e.weight(now)
	others := max(e.load.Running+e.load.Waiting-e.own, 0)
	return Figures{Weight: weight, Others: weight * float64(others), Waiting: weight * float64(max(e.load.Waiting, 0))}
}

// Lacks returns 1 if the engine reported that it lacks the memory for a number of tokens,
// scaled by the weight of the report, and 0 if it reported that it has it, or nothing.
func (e *Estimator) Lacks(now time.Time, tokens unit.Tokens) float64 {
	if e.load.MemoryTotal <= 0 || e.load.MemoryUsed+tokens <= e.load.MemoryTotal {
		return 0
	}
	return e.weight(now)
}

func (e *Estimator) weight(now time.Time) float64 {
	if e.asOf.IsZero() {
		return 0
	}
	left := float64(reportTTL - now.Sub(e.asOf))
	return min(max(left/float64(reportTTL-reportFull), 0), 1)
}
