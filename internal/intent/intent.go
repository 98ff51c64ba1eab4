// Package intent has what operators can ask for in a plan.
package intent

import (
	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/configuration"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

// Intent is what an operator wants. The interface is sealed: the variants are
// the types of this package.
type Intent interface{ sealed() }

// Batch is a sequence of intents that take effect together.
type Batch struct{ Intents []Intent }

// Create adds an object that must not exist.
type Create struct{ Object Object }

// Replace changes an object that must exist. An upstream keeps its loans and
// its drain mark.
type Replace struct{ Object Object }

// Remove removes an object. Only its ids are read.
type Remove struct{ Object Object }

// SetWeights sets the weights of waste.
type SetWeights struct{ Weights configuration.Weights }

// SetDrain starts or ends the drain of an upstream.
type SetDrain struct {
	Upstream ident.UpstreamID
	Drain    bool
}

// SetBudget sets the limits of the budgets that a team's programs may ask for.
type SetBudget struct {
	Team      ident.TeamID
	MaxTokens unit.Tokens
	MaxCalls  unit.Calls
}

// Resolve settles the unknown outcome of a call.
type Resolve struct {
	Program ident.ProgramID
	Call    ident.CallID
	Ran     bool
	// Answer is the answer of the call if it ran.
	Answer string
}

// Load loads a model, or an adapter of a model, on an upstream.
type Load struct {
	Upstream ident.UpstreamID
	Model    string
	// Adapter is empty if the model itself is loaded.
	Adapter string
}

// SetRole changes the role of an upstream.
type SetRole struct {
	Upstream ident.UpstreamID
	Role     string
}

func (Batch) sealed()      {}
func (Create) sealed()     {}
func (Replace) sealed()    {}
func (Remove) sealed()     {}
func (SetWeights) sealed() {}
func (SetDrain) sealed()   {}
func (SetBudget) sealed()  {}
func (Resolve) sealed()    {}
func (Load) sealed()       {}
func (SetRole) sealed()    {}

// Object is a part of the configuration. The interface is sealed: the variants
// are the types of this package.
type Object interface{ object() }

// Team is a team.
type Team struct{ configuration.Team }

// Pool is a pool.
type Pool struct{ configuration.Pool }

// Upstream is an upstream without its loans and its drain mark.
type Upstream struct{ configuration.Upstream }

// Class is a priority class.
type Class struct{ configuration.Class }

// Loan is the loan of an upstream to a borrower.
type Loan struct {
	Upstream ident.UpstreamID
	configuration.Loan
}

func (Team) object()     {}
func (Pool) object()     {}
func (Upstream) object() {}
func (Class) object()    {}
func (Loan) object()     {}
