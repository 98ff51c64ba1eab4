// Package intent defines the changes that operators can request in a plan.
package intent

import (
	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/configuration"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

// Intent is a change requested by an operator. The interface is sealed: its
// variants are the types of this package.
type Intent interface{ sealed() }

// Batch is a sequence of intents that are applied atomically.
type Batch struct{ Intents []Intent }

// Create adds an object, which must not exist yet.
type Create struct{ Object Object }

// Replace replaces an object, which must exist. An upstream keeps its loans and
// its drain flag.
type Replace struct{ Object Object }

// Remove removes an object. All fields except the IDs are ignored.
type Remove struct{ Object Object }

// SetWeights sets the weights that convert wasted work to time.
type SetWeights struct{ Weights configuration.Weights }

// SetDrain starts or stops draining an upstream.
type SetDrain struct {
	Upstream ident.UpstreamID
	Drain    bool
}

// SetBudget sets the maximum budget that a program of a team may request.
type SetBudget struct {
	Team      ident.TeamID
	MaxTokens unit.Tokens
	MaxCalls  unit.Calls
}

// Resolve settles the unknown outcome of a call.
type Resolve struct {
	Program ident.ProgramID
	Call    ident.CallID
	// Ran is true if the call ran.
	Ran bool
	// Answer is the answer of the call, set only if it ran.
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

// Object is an object of the configuration. The interface is sealed: its variants
// are the types of this package.
type Object interface{ object() }

// Team is a team of the configuration.
type Team struct{ configuration.Team }

// Pool is a pool of the configuration.
type Pool struct{ configuration.Pool }

// Upstream is an upstream without its loans and its drain flag.
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
