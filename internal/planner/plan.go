// Package planner computes what an intent changes, in words and as a new
// configuration. It changes nothing itself.
package planner

import (
	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/configuration"
)

// Plan is what an operator confirms.
type Plan struct {
	ID ident.PlanID `json:"id"`
	// Base is the version of the configuration that the plan was computed from.
	Base ident.Version `json:"base"`
	// Steps say in words what happens, in this order.
	Steps   []string `json:"steps"`
	Changes []Change `json:"changes"`
	// Costs say what the plan interrupts or costs.
	Costs []string `json:"costs"`
	// NotPromised says what can't be promised.
	NotPromised []string `json:"not_promised"`
	// Next is the configuration that the confirmation puts in force.
	Next *configuration.Configuration `json:"-"`
	// Orders are carried out after the confirmation. They are convergent, so
	// that a repeat of the confirmation may repeat them.
	Orders []Order `json:"-"`
}

// Change says what changes for one team.
type Change struct {
	// Team is empty if all teams are affected.
	Team ident.TeamID `json:"team"`
	Text string       `json:"text"`
}

// Order is an act that is no change of the configuration. The interface is
// sealed: the only variant is ResolveOrder. Orders to engines are a part of the
// configuration.
type Order interface{ sealed() }

// ResolveOrder settles the unknown outcome of a call.
type ResolveOrder struct {
	Program ident.ProgramID
	Call    ident.CallID
	Ran     bool
	Answer  string
}

func (ResolveOrder) sealed() {}
