// Package request defines the requests of callers that concern programs.
package request

import (
	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/record"
)

// Request is a request that concerns a program. The interface is sealed: the variants
// are the other types of this package.
type Request interface {
	// Subject returns the program that the request concerns.
	Subject() ident.ProgramID
	sealed()
}

// Open starts a root program.
type Open struct {
	Program ident.ProgramID
	Class   ident.Class
	Budget  record.Budget
}

// OpenChild starts a sub-agent of a program. The caller chooses the id Child, so that
// a repeated request does not open a second sub-agent.
type OpenChild struct {
	Parent ident.ProgramID
	Child  ident.ProgramID
}

// Call runs the next call of a program.
type Call struct {
	Program ident.ProgramID
	// FirstSubmission is true if the caller states that it has not sent this call id before.
	// Otherwise another VM may be about to run the call, so a refusal can't promise
	// that the call did not run.
	FirstSubmission bool
	record.Request
}

// End ends a program and its sub-agents.
type End struct {
	Program ident.ProgramID
}

// Show reads the history and budget of a program.
type Show struct {
	Program ident.ProgramID
}

// Resolve settles the unknown outcome of a call, as directed by a plan that an operator
// confirmed.
type Resolve struct {
	Program ident.ProgramID
	Call    ident.CallID
	Ran     bool
	Answer  string
	Plan    ident.PlanID
}

// Subject returns the program.
func (r Open) Subject() ident.ProgramID { return r.Program }

// Subject returns the parent program.
func (r OpenChild) Subject() ident.ProgramID { return r.Parent }

// Subject returns the program.
func (r Call) Subject() ident.ProgramID { return r.Program }

// Subject returns the program.
func (r End) Subject() ident.ProgramID { return r.Program }

// Subject returns the program.
func (r Show) Subject() ident.ProgramID { return r.Program }

// Subject returns the program.
func (r Resolve) Subject() ident.ProgramID { return r.Program }

func (Open) sealed()      {}
func (OpenChild) sealed() {}
func (Call) sealed()      {}
func (End) sealed()       {}
func (Show) sealed()      {}
func (Resolve) sealed()   {}
