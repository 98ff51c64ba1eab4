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
	// nearRatio and nearFloor bound the cost difference within which two
	// candidates count as equal. Reports lag by about a second, so smaller
	// differences say nothing about the present load.
	nearRatio = 0.1
	nearFloor = 5 * time.Millisecond
	// congestion is the delay that a recomputation causes to other calls,
	// relative to its own duration. Without it, recomputation raised the load of
	// the engines so far that all programs were slower than with cache affinity.
	congestion = 4
	// bytesPerToken is the usual size of a token of text.
	bytesPerToken = 4
)

// Estimate predicts the speed of an upstream from earlier calls.
type Estimate struct {
	// Service is the mean duration of a call.
	Service time.Duration
	// Prefill and Output are the times for one token.
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
	// Reported is the running and waiting work of the last load report;
	// WaitingTokens is the prefill work that waits in it.
	Reported      int
	WaitingTokens unit.Tokens
	// InFlight is the node's own work there; InFlightAtReport is what of the
	// node's own work the report can have counted.
	InFlight         int
	InFlightAtReport int
	Cached           unit.Tokens
	Estimate         Estimate
}

// Input is everything that a decision depends on.
type Input struct {
	Candidates []Candidate
	// Prompt and Output are the expected lengths of the call.
	Prompt unit.Tokens
	Output unit.Tokens
	// Computed is the longest prefix that any upstream holds. What of it is
	// not cached at a candidate is computed again there.
	Computed unit.Tokens
	Region   ident.Region
	Weights  configuration.Weights
	// Turn counts the decisions, for RoundRobin.
	Turn uint64
	// Random is a uniformly distributed number.
	Random uint64
}

// Decision is the result. The interface is sealed: the variants are the types
// of this package.
type Decision interface{ sealedDecision() }

type (
	// Use sends the call to the candidate at Index.
	Use struct {
		Index int
		// Wait is the wait that was predicted there.
		Wait time.Duration
		// Cost is the predicted latency plus weighted waste; 0 for the
		// policies that do not predict it.
		Cost time.Duration
	}
	// Wait says that no candidate may start the call now.
	Wait struct{}
	// None says that there is no candidate at all.
	None struct{}
)

func (Use) sealedDecision()  {}
func (Wait) sealedDecision() {}
func (None) sealedDecision() {}

// Router chooses among candidates.
type Router struct {
	policy   Policy
	distance time.Duration
}

// Option changes how New builds a Router.
type Option func(*Router)

// WithPolicy sets the policy; Product is the default.
func WithPolicy(p Policy) Option { return func(r *Router) { r.policy = p } }

// WithDistance sets the round-trip time between regions.
func WithDistance(d time.Duration) Option { return func(r *Router) { r.distance = d } }

// New returns a router.
func New(options ...Option) Router {
	// 10 ms is ten times the usual delay between failure domains.
	r := Router{policy: Product{}, distance: 10 * time.Millisecond}
	for _, option := range options {
		option(&r)
	}
	return r
}

// Decide chooses a candidate that is free.
func (r Router) Decide(in Input) Decision {
	if len(in.Candidates) == 0 {
		return None{}
	}
	free := make([]int, 0, len(in.Candidates))
	for i := range in.Candidates {
		if in.Candidates[i].Free {
			free = append(free, i)
		}
	}
	switch r.policy.(type) {
	case CacheAffinity:
		if resident, ok := longestPrefix(in.Candidates); ok {
			if !in.Candidates[resident].Free {
				return Wait{}
			}
			return r.use(in, resident)
		}
	case RoundRobin:
		if len(free) > 0 {
			return r.use(in, free[in.Turn%uint64(len(free))])
		}
	case LeastLoaded:
		if len(free) > 0 {
			return r.use(in, slices.MinFunc(free, func(a, b int) int {
				return cmp.Compare(in.Candidates[a].Reported, in.Candidates[b].Reported)
			}))
		}
	case Product, FirstCome:
	}
	if len(free) == 0 {
		return Wait{}
	}
	return r.cheapest(in, free)
}

func longestPrefix(candidates []Candidate) (int, bool) {
	best := 0
	for i, c := range candidates {
		if c.Cached > candidates[best].Cached {
			best = i
		}
	}
	return best, candidates[best].Cached > 0
}

func (r Router) use(in Input, index int) Decision {
	return Use{Index: index, Wait: PredictWait(in.Candidates[index])}
}

// cheapest takes the better of two random candidates out of those whose cost
// is near the lowest. Nodes with the same old report would otherwise all send
// to the same upstream.
func (r Router) cheapest(in Input, free []int) Decision {
	costs := make([]time.Duration, len(free))
	for i, index := range free {
		costs[i] = r.cost(in, in.Candidates[index])
	}
	limit := slices.Min(costs)
	limit += max(nearFloor, time.Duration(float64(limit)*nearRatio))
	near := make([]int, 0, len(free))
	for i, cost := range costs {
		if cost <= limit {
			near = append(near, i)
		}
	}
	n := uint64(len(near))
	first := near[in.Random%n]
	if n > 1 {
		second := near[(in.Random%n+1+(in.Random>>32)%(n-1))%n]
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

func (r Router) cost(in Input, c Candidate) time.Duration {
	cached := min(c.Cached, in.Prompt)
	cost := PredictWait(c)
	cost += time.Duration(in.Prompt-cached) * c.Estimate.Prefill
	cost += time.Duration(in.Output) * c.Estimate.Output
	recomputed := max(0, min(in.Computed, in.Prompt)-cached)
	cost += time.Duration(recomputed) * (in.Weights.RecomputedToken + congestion*c.Estimate.Prefill)
	if c.Region != in.Region {
		sent := unit.Bytes(in.Prompt+in.Output) * bytesPerToken
		cost += r.distance + time.Duration(sent)*in.Weights.TransferredKilobyte/1000
	}
	return cost
}

// PredictWait returns the time until a new call would start at c. The reported
// load is corrected by the change of the node's own work since the report.
func PredictWait(c Candidate) time.Duration {
	load := max(c.InFlight, c.Reported+c.InFlight-c.InFlightAtReport)
	if load < c.Slots {
		return 0
	}
	queued := time.Duration(load-c.Slots+1) * c.Estimate.Service / time.Duration(max(1, c.Slots))
	return max(queued, time.Duration(c.WaitingTokens)*c.Estimate.Prefill)
}
