package ranker

import (
	"time"

	"github.com/sassafrasspur/sassafrasspur/unit"
)

// defaultAgingRate is in tokens per second. With it, a program with 100,000 tokens
// of attained service is ranked equal to a new one after it has waited for 10 s.
const defaultAgingRate unit.Tokens = 10_000

// Policy selects the order. The interface is sealed: its implementations are the
// types of this package.
type Policy interface{ sealedPolicy() }

type (
	// LeastService orders by class, then by least attained service with aging.
	LeastService struct{}
	// FirstCome orders by time of arrival only.
	FirstCome struct{}
)

func (LeastService) sealedPolicy() {}
func (FirstCome) sealedPolicy()    {}

// Call holds the properties of a call that determine its place in the order.
type Call struct {
	// Rank is the rank of the class; lower ranks go first.
	Rank int
	// AttainedService is the service that all programs of the program's tree have
	// received.
	AttainedService unit.Tokens
	Arrived         time.Time
	// Sequence breaks ties. It is the number of the call in the VM's order of
	// arrival.
	Sequence uint64
}

// Decision is the order of two calls. The interface is sealed: its implementations
// are the types of this package.
type Decision interface{ sealedDecision() }

type (
	// First puts the first call before the second.
	First struct{}
	// Second puts the second call before the first.
	Second struct{}
)

func (First) sealedDecision()  {}
func (Second) sealedDecision() {}

// Ranker orders calls by a policy.
type Ranker struct {
	policy    Policy
	agingRate unit.Tokens
}

// Option configures a Ranker.
type Option func(*Ranker)

// WithPolicy sets the policy; LeastService is the default.
func WithPolicy(p Policy) Option { return func(r *Ranker) { r.policy = p } }

// WithAgingRate sets by how many tokens the attained service is lowered for each
// second of waiting.
func WithAgingRate(perSecond unit.Tokens) Option { return func(r *Ranker) { r.agingRate = perSecond } }

// New returns a ranker with the given options.
func New(options ...Option) Ranker {
	r := Ranker{policy: LeastService{}, agingRate: defaultAgingRate}
	for _, option := range options {
		option(&r)
	}
	return r
}

// Decide returns the order of two calls.
func (r Ranker) Decide(a, b Call) Decision {
	switch r.policy.(type) {
	case LeastService:
		if a.Rank != b.Rank {
			return decision(a.Rank < b.Rank)
		}
		// With S for the attained service, a goes first if
		// a.S - rate*(now-a.Arrived) < b.S - rate*(now-b.Arrived).
		difference := float64(a.AttainedService-b.AttainedService) + float64(r.agingRate)*a.Arrived.Sub(b.Arrived).Seconds()
		if difference != 0 {
			return decision(difference < 0)
		}
	case FirstCome:
		if !a.Arrived.Equal(b.Arrived) {
			return decision(a.Arrived.Before(b.Arrived))
		}
	}
	return decision(a.Sequence <= b.Sequence)
}

func decision(first bool) Decision {
	if first {
		return First{}
	}
	return Second{}
}
