package sequencer

import (
	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/outcome"
	"github.com/sassafrasspur/sassafrasspur/internal/program"
	"github.com/sassafrasspur/sassafrasspur/internal/record"
)

// Request is the input of a decision. The interface is sealed: its variants are
// the types of this package.
type Request interface {
	// Subject returns the program whose tree the decision reads.
	Subject() ident.ProgramID
	request()
}

// Open opens a root program. The outcome is outcome.Opened.
type Open struct {
	Program ident.ProgramID
	Team    ident.TeamID
	Class   ident.Class
	Budget  record.Budget
}

// OpenChild opens a sub-agent of a program. The outcome is outcome.Opened.
type OpenChild struct {
	Parent ident.ProgramID
	Child  ident.ProgramID
	Team   ident.TeamID
}

// Submit asks to run a call. The outcome is outcome.Run for a new attempt, or
// outcome.Replay if the call already has an answer.
type Submit struct {
	Program  ident.ProgramID
	Team     ident.TeamID
	Request  record.Request
	BodyHash uint64
	// Repeatable is true if the call may be dispatched more than once.
	Repeatable bool
	// Engine is true if the call goes to an engine, which needs the program's
	// history.
	Engine bool
	// FirstSubmission is true if the caller states that it has not sent the call before.
	FirstSubmission bool
	// Awaited is the attempt of the same call that the request waited for, 0 if
	// none.
	Awaited ident.Attempt
}

// Intend records the intent to dispatch a call. The outcome is outcome.Durable.
type Intend struct {
	record.AttemptID
	Upstream ident.UpstreamID
}

// Cancel revokes an intent that was not dispatched. The outcome is
// outcome.Durable.
type Cancel struct{ record.AttemptID }

// Complete records the complete answer of an attempt. The outcome is
// outcome.Durable.
type Complete struct {
	record.AttemptID
	Upstream ident.UpstreamID
	Answer   record.Answer
	// Resident is true if the upstream holds engine memory of the program.
	Resident bool
}

// Fail records that an attempt ended without an answer. The outcome is
// outcome.Durable; the request is refused as not durable if another process has
// taken over the call.
type Fail struct {
	record.AttemptID
	// Dispatched is true if the attempt may have run.
	Dispatched bool
	Upstream   ident.UpstreamID
	// Usage is an upper bound of what the attempt spent.
	Usage record.Usage
}

// Withdraw ends an attempt that was not dispatched and whose start may not be
// recorded. A delayed transaction that starts it can no longer be applied
// afterwards. The outcome is outcome.Durable.
type Withdraw struct{ record.AttemptID }

// End ends a program. The outcome is outcome.Ended.
type End struct {
	Program ident.ProgramID
	Team    ident.TeamID
	Reason  string
}

// Show reads a program. The outcome is outcome.Shown.
type Show struct {
	Program ident.ProgramID
	Team    ident.TeamID
}

// Resolve settles an unknown outcome. The outcome of the request is
// outcome.Durable.
type Resolve struct {
	Program ident.ProgramID
	// Team is empty if the outcome was looked up at the upstream.
	Team   ident.TeamID
	Call   ident.CallID
	Ran    bool
	Answer record.Answer
	// By names the look-up or the operator's plan that settled the outcome.
	By string
}

// Release records that an engine no longer holds memory of a program. The
// outcome is outcome.Durable.
type Release struct {
	Program  ident.ProgramID
	Upstream ident.UpstreamID
}

// Subject implements Request.
func (r Open) Subject() ident.ProgramID { return r.Program }

// Subject implements Request. It returns the parent, whose tree gets the child.
func (r OpenChild) Subject() ident.ProgramID { return r.Parent }

// Subject implements Request.
func (r Submit) Subject() ident.ProgramID { return r.Program }

// Subject implements Request.
func (r Intend) Subject() ident.ProgramID { return r.Program }

// Subject implements Request.
func (r Cancel) Subject() ident.ProgramID { return r.Program }

// Subject implements Request.
func (r Complete) Subject() ident.ProgramID { return r.Program }

// Subject implements Request.
func (r Fail) Subject() ident.ProgramID { return r.Program }

// Subject implements Request.
func (r Withdraw) Subject() ident.ProgramID { return r.Program }

// Subject implements Request.
func (r End) Subject() ident.ProgramID { return r.Program }

// Subject implements Request.
func (r Show) Subject() ident.ProgramID { return r.Program }

// Subject implements Request.
func (r Resolve) Subject() ident.ProgramID { return r.Program }

// Subject implements Request.
func (r Release) Subject() ident.ProgramID { return r.Program }

func (Open) request()      {}
func (OpenChild) request() {}
func (Submit) request()    {}
func (Intend) request()    {}
func (Cancel) request()    {}
func (Complete) request()  {}
func (Fail) request()      {}
func (Withdraw) request()  {}
func (End) request()       {}
func (Show) request()      {}
func (Resolve) request()   {}
func (Release) request()   {}

// Decision is the result of Decide. The interface is sealed: its variants are
// the types of this package.
type Decision interface{ decision() }

// Answer decides a request without writing a record.
type Answer struct{ Outcome outcome.Outcome }

// Write decides a request with the outcome once the records are durable.
type Write struct {
	Records []record.Record
	Outcome outcome.Outcome
}

// Wait defers a request that depends on a call in progress. The request must be
// decided again after the tree has changed or a process has ended.
type Wait struct {
	// Attempt is the attempt in progress if it is one of the same call, 0 if the
	// request waits for another call.
	Attempt ident.Attempt
}

func (Answer) decision() {}
func (Write) decision()  {}
func (Wait) decision()   {}

// PendingRelease identifies engine memory of an ended program.
type PendingRelease struct {
	Program  ident.ProgramID
	Upstream ident.UpstreamID
}

// PendingReleases returns the engine memory that ended programs of a tree still
// hold and no call in progress uses.
func (s Sequencer) PendingReleases(t program.Tree) []PendingRelease {
	var pending []PendingRelease
	for _, id := range t.IDs() {
		state := t[id]
		if !state.Ended || s.running(state) {
			continue
		}
		for _, upstream := range sortedCachedUpstreams(state) {
			pending = append(pending, PendingRelease{Program: id, Upstream: upstream})
		}
	}
	return pending
}
