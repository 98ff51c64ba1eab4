// Package request has the requests that callers make about programs.
package request

import (
	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/record"
)

// Request is what a caller asks for. The interface is sealed: the variants are
// the types of this package.
type Request interface {
	// Subject is the program that the request is about.
	Subject() ident.ProgramID
	sealed()
}

// Open starts a root program.
type Open struct {
	Program ident.ProgramID
	Class   ident.Class
	Budget  record.Budget
}

// OpenChild starts a sub-agent of a program. Child is chosen by the caller, so
// that a repeat opens no second one.
type OpenChild struct {
	Parent ident.ProgramID
	Child  ident.ProgramID
}

// Call runs the next call of a program.
type Call struct {
	Program ident.ProgramID
	// First is the caller's statement that it has not sent this call id before.
	// Without it another VM may be about to run the call, so that a refusal can't
	// promise that it has not run.
	First bool
	record.Request
}

// End ends a program and its sub-agents.
type End struct {
	Program ident.ProgramID
}

// Show reads a program's history and budget.
type Show struct {
	Program ident.ProgramID
}

// Resolve settles an unknown outcome on an operator's confirmed plan.
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
