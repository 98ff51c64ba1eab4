package program

import (
	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/record"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

// CallStatus is the status of a call.
type CallStatus string

// Statuses of a call.
const (
	// Started calls have an attempt under way.
	Started CallStatus = "started"
	// Intended calls must not be repeated and may have been dispatched.
	Intended CallStatus = "intended"
	// Unknown calls must not be repeated and have ended without an answer.
	Unknown CallStatus = "unknown"
	// Failed calls have no answer and may be started again.
	Failed CallStatus = "failed"
	// Done calls have an answer.
	Done CallStatus = "done"
)

// Turn is one completed call of the history.
type Turn struct {
	Call      ident.CallID
	Position  ident.Position
	Pool      ident.PoolID
	Operation ident.Operation
	Body      string
	Attempt   ident.Attempt
	Answer    record.Answer
}

// Call is the entry of a call in its program's call table.
type Call struct {
	Position ident.Position
	BodyHash uint64
	Status   CallStatus
	Attempt  ident.Attempt
	// Need is what the attempt may spend at most.
	Need       record.Amount
	Repeatable bool
	Holder     record.Holder
	// Ran is true if an earlier attempt may have run.
	Ran bool
	// Upstream is where an intended or done call was sent.
	Upstream ident.UpstreamID
	Request  record.Request
}

// Open reports whether the call may still get an answer from its attempt.
func (c Call) Open() bool {
	return c.Status == Started || c.Status == Intended || c.Status == Unknown
}

// State is the state of one program.
type State struct {
	ID    ident.ProgramID
	Team  ident.TeamID
	Class ident.Class
	Calls map[ident.CallID]Call
	Turns []Turn
	// Budget and Spent are kept at the root for the whole tree.
	Budget record.Budget
	Spent  record.Amount
	// HistoryTokens is the length of the history as the engines counted it.
	HistoryTokens unit.Tokens
	// Residents are the engines that may hold memory of the program.
	Residents map[ident.UpstreamID]unit.Tokens
	Ended     bool
	Reason    string
}

// NextPosition is the position of the call that may start next.
func (s *State) NextPosition() ident.Position { return ident.Position(len(s.Turns) + 1) }

// OpenCall returns the call that has an attempt and no answer, if there is one.
func (s *State) OpenCall() (ident.CallID, Call, bool) {
	for id, call := range s.Calls {
		if call.Open() {
			return id, call, true
		}
	}
	return "", Call{}, false
}

// View is a copy of a program's state for the caller.
type View struct {
	State
	// Root is the state of the program that holds the budget.
	Root State
	// Reserved is what the tree's calls under way may spend at most.
	Reserved record.Amount
	// Running is true while a call of the program is under way.
	Running bool
	// Epoch is the fencing number for orders about the tree. It grows with each
	// change of it.
	Epoch ident.Epoch
}
