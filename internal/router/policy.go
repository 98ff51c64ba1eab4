package router

// Policy selects how the router decides. The interface is sealed: the variants
// are the types of this package.
type Policy interface {
	sealedPolicy()
	// String returns the name that settings use.
	String() string
}

type (
	// Product minimizes predicted latency plus weighted waste.
	Product struct{}
	// RoundRobin takes the candidates in turn.
	RoundRobin struct{}
	// LeastLoaded takes the lowest reported load and ignores own work.
	LeastLoaded struct{}
	// CacheAffinity always takes the upstream that holds the longest prefix.
	CacheAffinity struct{}
	// FirstCome routes like Product; the queue is in order of arrival.
	FirstCome struct{}
)

func (Product) sealedPolicy()       {}
func (RoundRobin) sealedPolicy()    {}
func (LeastLoaded) sealedPolicy()   {}
func (CacheAffinity) sealedPolicy() {}
func (FirstCome) sealedPolicy()     {}

// String returns the name that settings use.
func (Product) String() string { return "product" }

// String returns the name that settings use.
func (RoundRobin) String() string { return "round_robin" }

// String returns the name that settings use.
func (LeastLoaded) String() string { return "least_loaded" }

// String returns the name that settings use.
func (CacheAffinity) String() string { return "cache_affinity" }

// String returns the name that settings use.
func (FirstCome) String() string { return "fcfs" }

// PolicyByName returns the policy with a name, and false if there is none.
func PolicyByName(name string) (Policy, bool) {
	for _, p := range []Policy{Product{}, RoundRobin{}, LeastLoaded{}, CacheAffinity{}, FirstCome{}} {
		if p.String() == name {
			return p, true
		}
	}
	return nil, false
}
