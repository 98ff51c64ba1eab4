package program

import (
	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/record"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

// CallStatus is the status of a call.
type CallStatus string

// The statuses of a call.
const (
	// Started means that an attempt is in progress.
	Started CallStatus = "started"
	// Intended means that an intent is recorded: the call must not be repeated and
	// may have been dispatched.
	Intended CallStatus = "intended"
	// Unknown means that the call must not be repeated and its attempt ended
	// without an answer, so the outcome is in doubt.
	Unknown CallStatus = "unknown"
	// Failed means that the call has no answer and may be started again.
	Failed CallStatus = "failed"
	// Done means that the call has an answer.
	Done CallStatus = "done"
)

// Turn is a completed call in the history of a program.
type Turn struct {
	Call      ident.CallID
	Position  ident.Position
	Pool      ident.PoolID
	Operation ident.Operation
	Body      string
	Attempt   ident.Attempt
	Answer    record.Answer
}

// Call is the state of one call of a program.
type Call struct {
	Position ident.Position
	BodyHash uint64
	Status   CallStatus
	Attempt  ident.Attempt
	// Need is the maximum cost of the attempt.
	Need record.Amount
	// Repeatable is true if the call may be dispatched more than once.
	Repeatable bool
	// Holder is the process that runs the attempt.
	Holder record.Holder
	// Ran is true if an earlier attempt may have run.
	Ran bool
	// Upstream is the upstream that an intended or done call was sent to.
	Upstream ident.UpstreamID
	Request  record.Request
}

// Open reports whether the attempt of the call may still get an answer.
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
	// Budget and Spent are set in the root program only and cover the whole tree.
	Budget record.Budget
	Spent  record.Amount
	// HistoryTokens is the length of the history as counted by the engine that
	// completed the latest engine call.
	HistoryTokens unit.Tokens
	// CachedTokens are the engines that may hold memory of the program, with the
	// length of the cached history; 0 if the length is not known.
	CachedTokens map[ident.UpstreamID]unit.Tokens
	Ended        bool
	// Reason says why the program has ended.
	Reason string
}

// NextPosition returns the position of the next call to start.
func (s *State) NextPosition() ident.Position { return ident.Position(len(s.Turns) + 1) }

// OpenCall returns the open call of the program, if there is one. A program has
// at most one, because its calls run in order.
func (s *State) OpenCall() (ident.CallID, Call, bool) {
	for id, call := range s.Calls {
		if call.Open() {
			return id, call, true
		}
	}
	return "", Call{}, false
}

// View is a snapshot of a program's state for the caller.
type View struct {
	State
	// Root is the state of the root program, which holds the budget.
	Root State
	// Reserved is the maximum cost of the tree's open calls.
	Reserved record.Amount
	// Running is true while a call of the program is in progress.
	Running bool
	// Epoch is the fencing token of orders about the tree. It increases with each
	// change of the tree.
	Epoch ident.Epoch
}
