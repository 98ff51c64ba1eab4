// Package reporter computes the measures of docs/measures.md and prints them,
// one JSON object a line.
package reporter

import (
	"encoding/json"
	"io"
	"slices"
	"time"

	"github.com/sassafrasspur/sassafrasspur/internal/load/driver"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

// Run describes a run; the reporter copies it to its line.
type Run struct {
	Workload string
	Policy   string
	Seed     uint64
	// Transferred is what the engines exported during the run.
	Transferred unit.Bytes
	Elapsed     time.Duration
}

// Overload describes the phases of an overload experiment.
type Overload struct {
	// Limit is the latency within which a program counts for goodput.
	Limit time.Duration
	// From and To bound the overload; End is the last arrival time.
	From, To, End time.Duration
	// Window is the length of the windows for the peak and the recovery.
	Window time.Duration
}

// recoveredPart is the part of the goodput before the overload from which the
// system counts as recovered; arrivals are random, so all of it is too much.
const recoveredPart = 0.9

// Reporter prints results.
type Reporter struct{ encoder *json.Encoder }

// New returns a reporter that prints to out.
func New(out io.Writer) *Reporter { return &Reporter{encoder: json.NewEncoder(out)} }

// Run prints the measures of a run. It returns the error of the output.
func (r *Reporter) Run(run Run, outcomes []driver.Outcome) error {
	t := total(outcomes)
	return r.encoder.Encode(struct {
		Workload      string      `json:"workload"`
		Policy        string      `json:"policy"`
		Seed          uint64      `json:"seed"`
		Programs      int         `json:"programs"`
		Failed        int         `json:"failed"`
		LatencyP50    int64       `json:"program_latency_p50_ms"`
		LatencyP95    int64       `json:"program_latency_p95_ms"`
		Recomputed    unit.Tokens `json:"recomputed_tokens"`
		Transferred   unit.Bytes  `json:"transferred_bytes"`
		WastedCache   unit.Ratio  `json:"wasted_cache_ratio"`
		Refused       int         `json:"refused"`
		Retries       int         `json:"retries"`
		ElapsedMillis int64       `json:"elapsed_ms"`
	}{
		run.Workload, run.Policy, run.Seed, len(outcomes), t.failed,
		percentile(t.latencies, 50).Milliseconds(), percentile(t.latencies, 95).Milliseconds(),
		t.recomputed, run.Transferred, wasted(t), t.refused, t.retries, run.Elapsed.Milliseconds(),
	})
}

// Overload prints the measures of an overload experiment. It returns the error
// of the output.
func (r *Reporter) Overload(run Run, o Overload, outcomes []driver.Outcome) error {
	t := total(outcomes)
	g := goodputs(o, outcomes)
	return r.encoder.Encode(struct {
		Workload      string  `json:"workload"`
		Policy        string  `json:"policy"`
		Seed          uint64  `json:"seed"`
		Programs      int     `json:"programs"`
		Failed        int     `json:"failed"`
		LimitMillis   int64   `json:"latency_limit_ms"`
		Before        float64 `json:"goodput_before"`
		During        float64 `json:"goodput_during"`
		After         float64 `json:"goodput_after"`
		Peak          float64 `json:"goodput_peak"`
		Recovery      *int64  `json:"recovery_ms"`
		Refused       int     `json:"refused"`
		Retries       int     `json:"retries"`
		ElapsedMillis int64   `json:"elapsed_ms"`
	}{
		run.Workload, run.Policy, run.Seed, len(outcomes), t.failed, o.Limit.Milliseconds(),
		g.between(0, o.From), g.between(o.From, o.To), g.between(o.To, o.End), g.peak(o),
		g.recovery(o), t.refused, t.retries, run.Elapsed.Milliseconds(),
	})
}

type totals struct {
	failed, refused, retries int
	recomputed, cacheable    unit.Tokens
	// latencies are those of the programs that did not fail, sorted.
	latencies []time.Duration
}

func total(outcomes []driver.Outcome) totals {
	var t totals
	for _, o := range outcomes {
		t.refused += o.Refused
		t.retries += o.Retries
		t.recomputed += o.Recomputed
		t.cacheable += o.Cacheable
		if o.Err != nil {
			t.failed++
			continue
		}
		t.latencies = append(t.latencies, o.Latency)
	}
	slices.Sort(t.latencies)
	return t
}

func wasted(t totals) unit.Ratio {
	return unit.Ratio(float64(t.recomputed) / float64(max(1, t.cacheable)))
}

// percentile returns the nearest-rank percentile of sorted values.
func percentile(sorted []time.Duration, p int) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[max(0, (len(sorted)*p+99)/100-1)]
}
