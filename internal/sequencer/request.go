package sequencer

import (
	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/outcome"
	"github.com/sassafrasspur/sassafrasspur/internal/program"
	"github.com/sassafrasspur/sassafrasspur/internal/record"
)

// Request is what is to be decided. The interface is sealed: the variants are
// the types of this package.
type Request interface {
	// Subject is the program whose tree is looked at.
	Subject() ident.ProgramID
	request()
}

// Open starts a root program. Answered with outcome.Opened.
type Open struct {
	Program ident.ProgramID
	Team    ident.TeamID
	Class   ident.Class
	Budget  record.Budget
}

// OpenChild starts a sub-agent. Answered with outcome.Opened.
type OpenChild struct {
	Parent ident.ProgramID
	Child  ident.ProgramID
	Team   ident.TeamID
}

// Arrive asks to run a call. Answered with outcome.Run or outcome.Replay.
type Arrive struct {
	Program  ident.ProgramID
	Team     ident.TeamID
	Request  record.Request
	BodyHash uint64
	// Repeatable is true if the call may be dispatched more than once.
	Repeatable bool
	// Engine is true if the call needs the program's history.
	Engine bool
	// First is the caller's statement that it sends the call for the first time.
	First bool
	// Awaited is the attempt of the call that was waited for, 0 for none.
	Awaited ident.Attempt
}

// Intend asks for a durable intent. Answered with outcome.Durable.
type Intend struct {
	record.AttemptID
	Upstream ident.UpstreamID
}

// Cancel takes back an intent that was not dispatched. Answered with
// outcome.Durable.
type Cancel struct{ record.AttemptID }

// Complete records the whole answer of an attempt. Answered with
// outcome.Durable.
type Complete struct {
	record.AttemptID
	Upstream ident.UpstreamID
	Answer   record.Answer
	Resident bool
}

// Fail records that an attempt ended without an answer. Answered with
// outcome.Durable, or refused as not durable if another process has taken the
// call over.
type Fail struct {
	record.AttemptID
	// Dispatched is true if the attempt may have run.
	Dispatched bool
	Upstream   ident.UpstreamID
	// Usage is what the attempt spent at most.
	Usage record.Usage
}

// Withdraw ends an attempt that was not dispatched and may not have been started:
// a transaction that starts it late can't be applied any more. Answered with
// outcome.Durable.
type Withdraw struct{ record.AttemptID }

// End ends a program. Answered with outcome.Ended.
type End struct {
	Program ident.ProgramID
	Team    ident.TeamID
	Reason  string
}

// Show reads a program. Answered with outcome.Shown.
type Show struct {
	Program ident.ProgramID
	Team    ident.TeamID
}

// Resolve settles an unknown outcome. Answered with outcome.Durable.
type Resolve struct {
	Program ident.ProgramID
	// Team is empty for a look-up at the upstream.
	Team   ident.TeamID
	Call   ident.CallID
	Ran    bool
	Answer record.Answer
	By     string
}

// Release records that an engine holds no memory of a program any more.
// Answered with outcome.Durable.
type Release struct {
	Program  ident.ProgramID
	Upstream ident.UpstreamID
}

// Subject returns the program.
func (r Open) Subject() ident.ProgramID { return r.Program }

// Subject returns the parent.
func (r OpenChild) Subject() ident.ProgramID { return r.Parent }

// Subject returns the program.
func (r Arrive) Subject() ident.ProgramID { return r.Program }

// Subject returns the program.
func (r Intend) Subject() ident.ProgramID { return r.Program }

// Subject returns the program.
func (r Cancel) Subject() ident.ProgramID { return r.Program }

// Subject returns the program.
func (r Complete) Subject() ident.ProgramID { return r.Program }

// Subject returns the program.
func (r Fail) Subject() ident.ProgramID { return r.Program }

// Subject returns the program.
func (r Withdraw) Subject() ident.ProgramID { return r.Program }

// Subject returns the program.
func (r End) Subject() ident.ProgramID { return r.Program }

// Subject returns the program.
func (r Show) Subject() ident.ProgramID { return r.Program }

// Subject returns the program.
func (r Resolve) Subject() ident.ProgramID { return r.Program }

// Subject returns the program.
func (r Release) Subject() ident.ProgramID { return r.Program }

func (Open) request()      {}
func (OpenChild) request() {}
func (Arrive) request()    {}
func (Intend) request()    {}
func (Cancel) request()    {}
func (Complete) request()  {}
func (Fail) request()      {}
func (Withdraw) request()  {}
func (End) request()       {}
func (Show) request()      {}
func (Resolve) request()   {}
func (Release) request()   {}

// Decision is a result of Decide. The interface is sealed: the variants are the
// types of this package.
type Decision interface{ decision() }

// Answer needs no record.
type Answer struct{ Outcome outcome.Outcome }

// Write is answered with the outcome once the records are durable.
type Write struct {
	Records []record.Record
	Outcome outcome.Outcome
}

// Wait says that a call under way decides; the request is to be decided again
// when the tree has changed or a process has ended.
type Wait struct {
	// Attempt is the attempt of the same call that is under way, 0 if it is
	// another call.
	Attempt ident.Attempt
}

func (Answer) decision() {}
func (Write) decision()  {}
func (Wait) decision()   {}

// ReleaseWanted names engine memory of an ended program.
type ReleaseWanted struct {
	Program  ident.ProgramID
	Upstream ident.UpstreamID
}

// Releases returns the engine memory of a tree that nobody needs any more.
func (s Sequencer) Releases(t program.Tree) []ReleaseWanted {
	var wanted []ReleaseWanted
	for _, id := range t.IDs() {
		state := t[id]
		if !state.Ended || s.running(state) {
			continue
		}
		for _, upstream := range sortedResidents(state) {
			wanted = append(wanted, ReleaseWanted{Program: id, Upstream: upstream})
		}
	}
	return wanted
}
