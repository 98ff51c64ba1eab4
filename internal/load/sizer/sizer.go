// Package sizer computes how many programs per second a set of upstreams can
// sustain.
//
// The capacity is the arrival rate at which the busiest pool has no free slot
// left. It assumes that every token of an earlier turn is served from a cache, so
// it is the capacity under ideal placement.
package sizer

import (
	"time"

	"github.com/sassafrasspur/sassafrasspur/internal/load/workload"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

// Engines describes the replicas of the engine pool.
type Engines struct {
	Replicas int
	Slots    int
	// PrefillRate is the prefill throughput of one request in tokens per second. If
	// it is 0, prefill takes no time.
	PrefillRate unit.Tokens
	// DecodeStep is the duration of one decode step with a full batch.
	DecodeStep time.Duration
}

// Services describes the replicas of the service pool.
type Services struct {
	Replicas int
	Slots    int
	// OperationTime is the duration of one operation.
	OperationTime time.Duration
}

// Sizer computes the capacity of a set of upstreams.
type Sizer struct {
	engines  Engines
	services Services
}

// New returns a sizer for the given pools.
func New(engines Engines, services Services) Sizer {
	return Sizer{engines: engines, services: services}
}

// Capacity returns the arrival rate at which programs like those of the sample
// occupy all slots of the engines or of the services. It returns 0 if the sample
// makes no calls.
func (s Sizer) Capacity(sample []workload.Program) workload.Rate {
	var engines, services time.Duration
	for _, p := range sample {
		engineTime, serviceTime := s.demand(p.Steps)
		engines, services = engines+engineTime, services+serviceTime
	}
	if engines+services == 0 {
		return 0
	}
	mean := max(
		engines.Seconds()/float64(max(1, s.engines.Replicas*s.engines.Slots)),
		services.Seconds()/float64(max(1, s.services.Replicas*s.services.Slots)),
	) / float64(len(sample))
	return workload.Rate(1 / mean)
}

// demand returns the time for which the steps occupy engine and service slots.
func (s Sizer) demand(steps []workload.Step) (engines, services time.Duration) {
	for _, step := range steps {
		switch step := step.(type) {
		case workload.Turn:
			engines += time.Duration(step.OutputTokens) * s.engines.DecodeStep
			if s.engines.PrefillRate > 0 {
				engines += time.Duration(float64(step.PromptTokens) / float64(s.engines.PrefillRate) * float64(time.Second))
			}
		case workload.Operation:
			services += s.services.OperationTime
		case workload.SubAgent:
			engineTime, serviceTime := s.demand(step.Steps)
			engines, services = engines+engineTime, services+serviceTime
		case workload.Pause:
		}
	}
	return engines, services
}
