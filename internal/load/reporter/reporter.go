// Package reporter computes the measures defined in docs/measures.md and prints
// them as JSON, one object per line.
package reporter

import (
	"encoding/json"
	"io"
	"slices"
	"time"

	"github.com/sassafrasspur/sassafrasspur/internal/load/driver"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

// Run describes a run. Its fields are copied to the printed line.
type Run struct {
	Workload string
	Policy   string
	Seed     uint64
	// TransferredBytes is the number of bytes that the engines exported during the
	// run.
	TransferredBytes unit.Bytes
	Elapsed          time.Duration
}

// Overload describes the phases and limits of an overload experiment.
type Overload struct {
	// Limit is the highest latency at which a program counts towards goodput.
	Limit time.Duration
	// From and To bound the overload; End is the end of the arrivals.
	From, To, End time.Duration
	// Window is the length of the sliding windows for the peak and the recovery.
	Window time.Duration
}

// recoveredFraction is the fraction of the goodput before the overload at which
// the system counts as recovered. It is below 1 because arrivals are random.
const recoveredFraction = 0.9

// Reporter prints the measures of runs.
type Reporter struct{ encoder *json.Encoder }

// New returns a reporter that writes to out.
func New(out io.Writer) *Reporter { return &Reporter{encoder: json.NewEncoder(out)} }

// Run prints the measures of a run. It returns an error if writing fails.
func (r *Reporter) Run(run Run, outcomes []driver.Outcome) error {
	t := aggregate(outcomes)
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
		t.recomputed, run.TransferredBytes, wastedCacheRatio(t), t.refused, t.retries, run.Elapsed.Milliseconds(),
	})
}

// Overload prints the measures of an overload experiment. It returns an error if
// writing fails.
func (r *Reporter) Overload(run Run, o Overload, outcomes []driver.Outcome) error {
	t := aggregate(outcomes)
	c := newCompletions(o, outcomes)
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
		c.goodputBetween(0, o.From), c.goodputBetween(o.From, o.To), c.goodputBetween(o.To, o.End), c.peak(o),
		c.recovery(o), t.refused, t.retries, run.Elapsed.Milliseconds(),
	})
}

type totals struct {
	failed, refused, retries int
	recomputed, cacheable    unit.Tokens
	// latencies holds the sorted latencies of the programs that did not fail.
	latencies []time.Duration
}

func aggregate(outcomes []driver.Outcome) totals {
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

func wastedCacheRatio(t totals) unit.Ratio {
	return unit.Ratio(float64(t.recomputed) / float64(max(1, t.cacheable)))
}

// percentile returns the p-th percentile of sorted values by the nearest-rank
// method, or 0 if there are no values.
func percentile(sorted []time.Duration, p int) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[max(0, (len(sorted)*p+99)/100-1)]
}
