package router

import (
	"cmp"
	"slices"
	"time"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/configuration"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

const (
	// equalCostRatio and minEqualCostMargin bound the cost difference within which
	// two candidates count as equal. Load reports lag by about a second, so
	// smaller differences say nothing about the present load.
	equalCostRatio     = 0.1
	minEqualCostMargin = 5 * time.Millisecond
	// recomputationDelayFactor is the delay that a recomputation causes to other
	// calls, as a multiple of its own duration. Without it, recomputation loads the
	// engines so much that all programs are slower than with CacheAffinity.
	recomputationDelayFactor = 4
	// bytesPerToken is the typical size of a token of text.
	bytesPerToken = 4
)

// Estimate predicts the speed of an upstream from earlier calls.
type Estimate struct {
	// Service is the mean duration of a call.
	Service time.Duration
	// Prefill and Output are the times to process one prompt token and to generate
	// one output token.
	Prefill time.Duration
	Output  time.Duration
}

// Candidate is an upstream that may run the call.
type Candidate struct {
	Upstream ident.UpstreamID
	Region   ident.Region
	Slots    int
	// Free is true if the call may start there now.
	Free bool
	// ReportedLoad is the number of running and waiting calls in the last load
	// report; WaitingTokens is the prefill work of the waiting calls.
	ReportedLoad  int
	WaitingTokens unit.Tokens
	// InFlight is the number of the VM's own calls there; InFlightAtReport is
	// how many of them the report can include.
	InFlight         int
	InFlightAtReport int
	Cached           unit.Tokens
	Estimate         Estimate
}

// Input is the complete input of a decision.
type Input struct {
	Candidates []Candidate
	// Prompt and Output are the expected lengths of the call.
	Prompt unit.Tokens
	Output unit.Tokens
	// LongestPrefix is the length of the longest prefix that any upstream has
	// cached. The part of it that a candidate lacks has to be recomputed there.
	LongestPrefix unit.Tokens
	Region        ident.Region
	Weights       configuration.Weights
	// Sequence is the number of earlier decisions, for RoundRobin.
	Sequence uint64
	// Random is a uniformly distributed number.
	Random uint64
}

// Decision is the result. The interface is sealed: its implementations are the
// types of this package.
type Decision interface{ sealedDecision() }

type (
	// Use sends the call to the candidate at Index.
	Use struct {
		Index int
		// Wait is the predicted wait there.
		Wait time.Duration
		// Cost is the predicted latency plus weighted waste, or 0 for policies
		// that do not predict it.
		Cost time.Duration
	}
	// Wait means that no candidate may start the call now.
	Wait struct{}
	// NoCandidate means that there are no candidates.
	NoCandidate struct{}
)

func (Use) sealedDecision()         {}
func (Wait) sealedDecision()        {}
func (NoCandidate) sealedDecision() {}

// Router chooses among candidates.
type Router struct {
	policy    Policy
	regionRTT time.Duration
}

// Option configures a Router.
type Option func(*Router)

// WithPolicy sets the policy; LowestCost is the default.
func WithPolicy(p Policy) Option { return func(r *Router) { r.policy = p } }

// WithRegionRTT sets the round-trip time between regions.
func WithRegionRTT(d time.Duration) Option { return func(r *Router) { r.regionRTT = d } }

// New returns a router with the given options.
func New(options ...Option) Router {
	// 10 ms between regions is ten times the usual delay between failure domains.
	r := Router{policy: LowestCost{}, regionRTT: 10 * time.Millisecond}
	for _, option := range options {
		option(&r)
	}
	return r
}

// Decide chooses a free candidate by the policy.
func (r Router) Decide(in Input) Decision {
	if len(in.Candidates) == 0 {
		return NoCandidate{}
	}
	free := make([]int, 0, len(in.Candidates))
	for i := range in.Candidates {
		if in.Candidates[i].Free {
			free = append(free, i)
		}
	}
	switch r.policy.(type) {
	case CacheAffinity:
		if index, ok := findLongestPrefix(in.Candidates); ok {
			if !in.Candidates[index].Free {
				return Wait{}
			}
			return r.useCandidate(in, index)
		}
	case RoundRobin:
		if len(free) > 0 {
			return r.useCandidate(in, free[in.Sequence%uint64(len(free))])
		}
	case LeastLoaded:
		if len(free) > 0 {
			return r.useCandidate(in, slices.MinFunc(free, func(a, b int) int {
				return cmp.Compare(in.Candidates[a].ReportedLoad, in.Candidates[b].ReportedLoad)
			}))
		}
	case LowestCost, FirstCome:
	}
	if len(free) == 0 {
		return Wait{}
	}
	return r.cheapest(in, free)
}

// findLongestPrefix returns the candidate with the longest cached prefix, and
// false if no candidate has any of it cached.
func findLongestPrefix(candidates []Candidate) (int, bool) {
	best := 0
	for i, c := range candidates {
		if c.Cached > candidates[best].Cached {
			best = i
		}
	}
	return best, candidates[best].Cached > 0
}

func (r Router) useCandidate(in Input, index int) Decision {
	return Use{Index: index, Wait: PredictWait(in.Candidates[index])}
}

// cheapest draws two random candidates among those with a cost near the lowest,
// and uses the cheaper of them. Otherwise, all VMs with the same load report
// would send their calls to the same upstream.
func (r Router) cheapest(in Input, free []int) Decision {
	costs := make([]time.Duration, len(free))
	for i, index := range free {
		costs[i] = r.cost(in, in.Candidates[index])
	}
	threshold := slices.Min(costs)
	threshold += max(minEqualCostMargin, time.Duration(float64(threshold)*equalCostRatio))
	similar := make([]int, 0, len(free))
	for i, cost := range costs {
		if cost <= threshold {
			similar = append(similar, i)
		}
	}
	n := uint64(len(similar))
	first := similar[in.Random%n]
	if n > 1 {
		second := similar[(in.Random%n+1+(in.Random>>32)%(n-1))%n]
		if costs[second] < costs[first] {
			first = second
		}
	}
	return Use{
		Index: free[first],
		Wait:  PredictWait(in.Candidates[free[first]]),
		Cost:  costs[first],
	}
}

// cost returns the predicted latency plus weighted waste of a call at a candidate.
func (r Router) cost(in Input, c Candidate) time.Duration {
	cached := min(c.Cached, in.Prompt)
	cost := PredictWait(c)
	cost += time.Duration(in.Prompt-cached) * c.Estimate.Prefill
	cost += time.Duration(in.Output) * c.Estimate.Output
	recomputed := max(0, min(in.LongestPrefix, in.Prompt)-cached)
	cost += time.Duration(recomputed) * (in.Weights.RecomputedToken + recomputationDelayFactor*c.Estimate.Prefill)
	if c.Region != in.Region {
		transferred := unit.Bytes(in.Prompt+in.Output) * bytesPerToken
		cost += r.regionRTT + time.Duration(transferred)*in.Weights.TransferredKilobyte/1000
	}
	return cost
}

// PredictWait returns the predicted time until a new call starts at c. The
// reported load is corrected by the change in the VM's own calls since the
// report.
func PredictWait(c Candidate) time.Duration {
	load := max(c.InFlight, c.ReportedLoad+c.InFlight-c.InFlightAtReport)
	if load < c.Slots {
		return 0
	}
	queued := time.Duration(load-c.Slots+1) * c.Estimate.Service / time.Duration(max(1, c.Slots))
	return max(queued, time.Duration(c.WaitingTokens)*c.Estimate.Prefill)
}
