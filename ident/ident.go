package ident

import (
	"strconv"
	"strings"
)

type (
	// ProgramID names a program. A sub-agent's id is its parent's id, a dot
	// and a number, so that the root can be derived from any id of the tree.
	ProgramID string
	// CallID names one call of a program. It is chosen by the caller and makes
	// a repeated request recognizable.
	CallID string
	// TeamID names a team that owns or borrows upstreams.
	TeamID string
	// AccountID names a caller or operator account.
	AccountID string
	// PoolID names a set of interchangeable upstreams.
	PoolID string
	// UpstreamID names one upstream replica.
	UpstreamID string
	// VMID names an entry VM. It survives restarts of the process.
	VMID string
	// Region names a region.
	Region string
	// Domain names a failure domain.
	Domain string
	// Class names a priority class of programs.
	Class string
	// Operation names an operation of a service.
	Operation string
	// PlanID names a plan of an operator.
	PlanID string
	// ProcessID names one process of an entry VM.
	ProcessID string
)

type (
	// Epoch is the fencing number of orders to an engine, which may reject those
	// that are lower than one that it has seen.
	Epoch uint64
	// Version counts the changes of a row or of the configuration.
	Version uint64
	// Sequence counts the transactions that recorded something of a tree, from 1.
	Sequence uint64
	// Position is the place of a call in its program, from 1.
	Position int
	// Attempt counts the dispatches of one call, from 1.
	Attempt int
	// Grant identifies a permission to use an upstream once.
	Grant uint64
	// Ticket identifies a request that waits for an answer of the control
	// goroutine.
	Ticket uint64
)

const childSeparator = "."

// Root returns the id of the program at the root of p's tree.
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
