package ranker

import (
	"time"

	"github.com/sassafrasspur/sassafrasspur/unit"
)

// defaultAging lets a program with 100,000 tokens of service catch up with a
// new one within 10 s of waiting.
const defaultAging unit.Tokens = 10_000

// Policy selects the order. The interface is sealed: the variants are the types
// of this package.
type Policy interface{ sealedPolicy() }

type (
	// LeastService orders by class and attained service with aging.
	LeastService struct{}
	// FirstCome orders by arrival alone.
	FirstCome struct{}
)

func (LeastService) sealedPolicy() {}
func (FirstCome) sealedPolicy()    {}

// Call is what the order depends on.
type Call struct {
	// Rank is the rank of the class; lower goes first.
	Rank int
	// Served is the attained service of the program's whole tree.
	Served  unit.Tokens
	Arrived time.Time
	// Number breaks ties; it grows with each call that arrives at the node.
	Number uint64
}

// Decision says which of two calls goes first. The interface is sealed: the
// variants are the types of this package.
type Decision interface{ sealedDecision() }

type (
	// First puts the first call before the second.
	First struct{}
	// Second puts the second call before the first.
	Second struct{}
)

func (First) sealedDecision()  {}
func (Second) sealedDecision() {}

// Ranker orders calls.
type Ranker struct {
	policy Policy
	aging  unit.Tokens
}

// Option changes how New builds a Ranker.
type Option func(*Ranker)

// WithPolicy sets the policy; LeastService is the default.
func WithPolicy(p Policy) Option { return func(r *Ranker) { r.policy = p } }

// WithAging sets by how many tokens per second of waiting the attained service
// that counts is lowered.
func WithAging(perSecond unit.Tokens) Option { return func(r *Ranker) { r.aging = perSecond } }

// New returns a ranker.
func New(options ...Option) Ranker {
	r := Ranker{policy: LeastService{}, aging: defaultAging}
	for _, option := range options {
		option(&r)
	}
	return r
}

// Decide says which of two calls goes first.
func (r Ranker) Decide(a, b Call) Decision {
	switch r.policy.(type) {
	case LeastService:
		if a.Rank != b.Rank {
			return firstIf(a.Rank < b.Rank)
		}
		// a.Served - aging*(now-a.Arrived) < b.Served - aging*(now-b.Arrived)
		lead := float64(a.Served-b.Served) + float64(r.aging)*a.Arrived.Sub(b.Arrived).Seconds()
		if lead != 0 {
			return firstIf(lead < 0)
		}
	case FirstCome:
		if !a.Arrived.Equal(b.Arrived) {
			return firstIf(a.Arrived.Before(b.Arrived))
		}
	}
	return firstIf(a.Number <= b.Number)
}

func firstIf(first bool) Decision {
	if first {
		return First{}
	}
	return Second{}
}
