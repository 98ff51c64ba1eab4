package router

// Policy selects how the router decides. The interface is sealed: its
// implementations are the types of this package.
type Policy interface {
	sealedPolicy()
	// String returns the policy's name in the settings.
	String() string
}

type (
	// LowestCost minimizes predicted latency plus weighted waste.
	LowestCost struct{}
	// RoundRobin uses the candidates in turn.
	RoundRobin struct{}
	// LeastLoaded uses the candidate with the lowest reported load and ignores
	// the VM's own calls.
	LeastLoaded struct{}
	// CacheAffinity uses the upstream with the longest cached prefix.
	CacheAffinity struct{}
	// FirstCome routes like LowestCost, with a queue in order of arrival.
	FirstCome struct{}
)

func (LowestCost) sealedPolicy()    {}
func (RoundRobin) sealedPolicy()    {}
func (LeastLoaded) sealedPolicy()   {}
func (CacheAffinity) sealedPolicy() {}
func (FirstCome) sealedPolicy()     {}

// String returns the name of the policy in the settings.
func (LowestCost) String() string { return "product" }

// String returns the name of the policy in the settings.
func (RoundRobin) String() string { return "round_robin" }

// String returns the name of the policy in the settings.
func (LeastLoaded) String() string { return "least_loaded" }

// String returns the name of the policy in the settings.
func (CacheAffinity) String() string { return "cache_affinity" }

// String returns the name of the policy in the settings.
func (FirstCome) String() string { return "fcfs" }

// PolicyByName returns the policy with the given name, and false if there is none.
func PolicyByName(name string) (Policy, bool) {
	for _, p := range []Policy{LowestCost{}, RoundRobin{}, LeastLoaded{}, CacheAffinity{}, FirstCome{}} {
		if p.String() == name {
			return p, true
		}
	}
	return nil, false
}
