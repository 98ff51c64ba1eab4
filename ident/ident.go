package ident

import (
	"strconv"
	"strings"
)

type (
	// ProgramID identifies a program. A sub-agent's id is its parent's id, a dot
	// and a number, so that the root can be derived from any id of the tree.
	ProgramID string
	// CallID identifies a call of a program. The caller chooses it, so that a
	// repeated request can be recognized.
	CallID string
	// TeamID identifies a team that owns or borrows upstreams.
	TeamID string
	// AccountID identifies a caller or operator account.
	AccountID string
	// PoolID identifies a set of interchangeable upstreams.
	PoolID string
	// UpstreamID identifies one upstream replica.
	UpstreamID string
	// VMID identifies an entry VM. It does not change when the process restarts.
	VMID string
	// Region is the name of a region.
	Region string
	// Domain is the name of a failure domain.
	Domain string
	// Class is the name of a priority class of programs.
	Class string
	// Operation is the name of an operation of a service.
	Operation string
	// PlanID identifies a plan of an operator.
	PlanID string
	// ProcessID identifies one process of an entry VM. It changes with every
	// restart.
	ProcessID string
)

type (
	// Epoch is the fencing token of orders to an engine. The engine may reject an
	// order whose epoch is lower than one that it has seen.
	Epoch uint64
	// Version counts the changes of a row or of the configuration.
	Version uint64
	// Incarnation identifies one start of an upstream, which may start again under its
	// id. A later start has a higher one; 0 is an unknown one.
	Incarnation uint64
	// Sequence numbers the transactions that record changes of a program tree,
	// from 1.
	Sequence uint64
	// Position is the position of a call in its program, from 1.
	Position int
	// Attempt numbers the dispatches of a call, from 1.
	Attempt int
	// Grant identifies a permission to send one call to an upstream.
	Grant uint64
	// Ticket identifies a request that waits for a reply of the control
	// goroutine.
	Ticket uint64
)

const childSeparator = "."

// Root returns the id of the root program of p's tree.
func (p ProgramID) Root() ProgramID {
	root, _, _ := strings.Cut(string(p), childSeparator)
	return ProgramID(root)
}

// IsRoot reports whether p has no parent.
func (p ProgramID) IsRoot() bool {
	return !strings.Contains(string(p), childSeparator)
}

// Child returns the id of the n-th sub-agent of p.
func (p ProgramID) Child(n int) ProgramID {
	return ProgramID(string(p) + childSeparator + strconv.Itoa(n))
}

// Replaces reports whether i is known to be a later start than other.
func (i Incarnation) Replaces(other Incarnation) bool { return other > 0 && i > other }

// Differs reports whether i and other are known to be different starts.
func (i Incarnation) Differs(other Incarnation) bool { return i > 0 && other > 0 && i != other }
