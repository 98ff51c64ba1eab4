// Package planner computes the effect of an intent: a description for the
// operator and the resulting configuration. It has no side effects.
package planner

import (
	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/configuration"
)

// Plan describes the effect of an intent. It takes effect when an operator
// confirms it.
type Plan struct {
	ID ident.PlanID `json:"id"`
	// Base is the version of the configuration from which the plan was computed.
	Base ident.Version `json:"base"`
	// Steps describe what the confirmation does, in order.
	Steps   []string `json:"steps"`
	Changes []Change `json:"changes"`
	// Costs describe what the plan interrupts or wastes.
	Costs []string `json:"costs"`
	// NotPromised lists effects that the system can't guarantee.
	NotPromised []string `json:"not_promised"`
	// Next is the configuration that is in force after the confirmation.
	Next *configuration.Configuration `json:"-"`
	// Orders are carried out after the confirmation. They are idempotent, so a
	// repeated confirmation may repeat them.
	Orders []Order `json:"-"`
}

// Change describes what changes for one team.
type Change struct {
	// Team is empty if the change affects all teams.
	Team ident.TeamID `json:"team"`
	Text string       `json:"text"`
}

// Order is an action that does not change the configuration. The interface is
// sealed: the only variant is ResolveOrder. Orders to engines are part of the
// configuration instead.
type Order interface{ sealed() }

// ResolveOrder settles the unknown outcome of a call.
type ResolveOrder struct {
	Program ident.ProgramID
	Call    ident.CallID
	Ran     bool
	Answer  string
}

func (ResolveOrder) sealed() {}
