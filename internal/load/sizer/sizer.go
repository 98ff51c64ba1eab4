// Package sizer computes how many programs a second a set of upstreams carries.
//
// The capacity is the rate at which the busiest pool has no free slot left. It
// assumes that every token of an earlier turn is served from a cache, so it is
// the capacity under an ideal placement.
package sizer

import (
	"time"

	"github.com/sassafrasspur/sassafrasspur/internal/load/workload"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

// Engines describes the engines.
type Engines struct {
	Replicas int
	Slots    int
	// Prefill is the speed of one request in tokens a second.
	Prefill unit.Tokens
	// Step is the duration of a decode step with a full batch.
	Step time.Duration
}

// Services describes the services.
type Services struct {
	Replicas int
	Slots    int
	// Run is the duration of an operation.
	Run time.Duration
}

// Sizer computes capacities.
type Sizer struct {
	engines  Engines
	services Services
}

// New returns a sizer.
func New(engines Engines, services Services) Sizer {
	return Sizer{engines: engines, services: services}
}

// Capacity returns the rate at which programs like those of a sample use all
// slots of the engines or of the services. It is 0 for an empty sample.
func (s Sizer) Capacity(sample []workload.Program) workload.PerSecond {
	var engines, services time.Duration
	for _, p := range sample {
		e, v := s.demand(p.Steps)
		engines, services = engines+e, services+v
	}
	if engines+services == 0 {
		return 0
	}
	mean := max(
		engines.Seconds()/float64(max(1, s.engines.Replicas*s.engines.Slots)),
		services.Seconds()/float64(max(1, s.services.Replicas*s.services.Slots)),
	) / float64(len(sample))
	return workload.PerSecond(1 / mean)
}

// demand returns the slot time that steps take.
func (s Sizer) demand(steps []workload.Step) (engines, services time.Duration) {
	for _, step := range steps {
		switch step := step.(type) {
		case workload.Turn:
			engines += time.Duration(step.Answer) * s.engines.Step
			if s.engines.Prefill > 0 {
				engines += time.Duration(float64(step.Prompt) / float64(s.engines.Prefill) * float64(time.Second))
			}
		case workload.Operation:
			services += s.services.Run
		case workload.SubAgent:
			e, v := s.demand(step.Steps)
			engines, services = engines+e, services+v
		case workload.Pause:
		}
	}
	return engines, services
}
