package upstream

import "github.com/sassafrasspur/sassafrasspur/ident"

// Process identifies one process of an upstream. The zero value identifies none.
type Process struct {
	ID ident.UpstreamID `json:"id"`
	// Incarnation is the start of the upstream, 0 if it is not known.
	Incarnation ident.Incarnation `json:"incarnation,omitempty"`
}

// IsZero reports whether p identifies no process.
func (p Process) IsZero() bool { return p.ID == "" }

// Process returns the process that registered.
func (u Upstream) Process() Process { return Process{ID: u.ID, Incarnation: u.Incarnation} }

// Basis says why a call with an affinity key went to its upstream. It is empty for other
// calls.
type Basis string

const (
	// Hashed is the choice by a hash of the affinity key.
	Hashed Basis = "hashed"
	// Remembered is the engine that served the program before.
	Remembered Basis = "remembered"
	// ByLoad is the choice for a new program by the load and speed of engines.
	ByLoad Basis = "load"
)
