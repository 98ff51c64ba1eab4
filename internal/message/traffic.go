package message

import (
	"time"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/failure"
	"github.com/sassafrasspur/sassafrasspur/internal/record"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

// OpenProgram starts a root program. Answered with outcome.Opened.
type OpenProgram struct {
	Ticket  ident.Ticket
	Program ident.ProgramID
	Team    ident.TeamID
	Class   ident.Class
	Budget  record.Budget
}

// OpenChild starts a sub-agent. Answered with outcome.Opened.
type OpenChild struct {
	Ticket ident.Ticket
	Parent ident.ProgramID
	Child  ident.ProgramID
	Team   ident.TeamID
}

// EndProgram ends a program. Answered with outcome.Ended.
type EndProgram struct {
	Ticket  ident.Ticket
	Program ident.ProgramID
	Team    ident.TeamID
	Reason  string
}

// ShowProgram reads a program. Answered with outcome.Shown.
type ShowProgram struct {
	Ticket  ident.Ticket
	Program ident.ProgramID
	Team    ident.TeamID
}

// ResolveCall settles an unknown outcome. Answered with outcome.Durable.
type ResolveCall struct {
	Ticket  ident.Ticket
	Program ident.ProgramID
	Team    ident.TeamID
	Call    ident.CallID
	Ran     bool
	Answer  record.Answer
	By      string
}

// CallArrived asks to run a call. Answered with outcome.Run, outcome.Replay or
// outcome.Refused.
type CallArrived struct {
	Ticket   ident.Ticket
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
}

// WaitAbandoned says that nobody waits for the answer to a ticket any more.
type WaitAbandoned struct{ Ticket ident.Ticket }

// AttemptID names one attempt of a call. The epoch keeps the attempts apart that
// a node makes before and after it loses the shard.
type AttemptID struct {
	Program ident.ProgramID
	Call    ident.CallID
	Epoch   ident.Epoch
	Attempt ident.Attempt
}

// CallWithdrawn says that a call that was let run was never dispatched. It has
// no durable intent.
type CallWithdrawn struct {
	AttemptID
	Err *failure.Error
}

// IntentRequested asks for a durable intent. Answered with outcome.Durable.
type IntentRequested struct {
	Ticket ident.Ticket
	AttemptID
	Upstream ident.UpstreamID
}

// CancelRequested asks for a durable cancel of an intent that was not
// dispatched. Answered with outcome.Durable.
type CancelRequested struct {
	Ticket ident.Ticket
	AttemptID
}

// CallCompleted reports the whole answer of an attempt. Answered with
// outcome.Durable.
type CallCompleted struct {
	Ticket ident.Ticket
	AttemptID
	Upstream ident.UpstreamID
	Answer   record.Answer
	Resident bool
}

// CallFailed reports an attempt without an answer. If the call is not
// repeatable, its outcome is unknown from now on.
type CallFailed struct {
	AttemptID
	Upstream ident.UpstreamID
	// Usage is what the failed attempt spent at most.
	Usage record.Usage
	// Withheld is true if the attempt was not dispatched and never will be,
	// although its intent may be durable.
	Withheld bool
	Err      *failure.Error
}

// CallRetried reports an attempt without an answer of a call that is to be run
// again at once. Answered like CallArrived.
type CallRetried struct {
	Ticket ident.Ticket
	AttemptID
	Upstream ident.UpstreamID
	// Usage is what the failed attempt spent at most.
	Usage record.Usage
}

// GrantRequested asks for the use of an upstream of a pool. Answered with
// outcome.Granted or outcome.Refused.
type GrantRequested struct {
	Ticket  ident.Ticket
	Program ident.ProgramID
	Team    ident.TeamID
	Class   ident.Class
	Pool    ident.PoolID
	// Prompt and Output are the expected lengths.
	Prompt unit.Tokens
	Output unit.Tokens
	// Served is the attained service of the program's whole tree.
	Served unit.Tokens
	// Residents are the upstreams that hold a prefix of the program.
	Residents map[ident.UpstreamID]unit.Tokens
	// Avoid lists upstreams on which an earlier attempt of the call failed.
	Avoid []ident.UpstreamID
	// Retry is true if the call was dispatched before.
	Retry bool
	// Repeatable is true if the call may be cancelled after dispatch.
	Repeatable bool
	// Enqueued is when the call arrived.
	Enqueued time.Time
}

// GrantReturned ends the use of an upstream.
type GrantReturned struct {
	Grant    ident.Grant
	Upstream ident.UpstreamID
	// Duration and FirstByte are measured from the dispatch; 0 if there was
	// none.
	Duration  time.Duration
	FirstByte time.Duration
	Usage     record.Usage
	Failed    bool
	// Leaving is true if the upstream refused because it is leaving.
	Leaving bool
}

func (OpenProgram) sealed()     {}
func (OpenChild) sealed()       {}
func (EndProgram) sealed()      {}
func (ShowProgram) sealed()     {}
func (ResolveCall) sealed()     {}
func (CallArrived) sealed()     {}
func (WaitAbandoned) sealed()   {}
func (CallWithdrawn) sealed()   {}
func (IntentRequested) sealed() {}
func (CancelRequested) sealed() {}
func (CallCompleted) sealed()   {}
func (CallFailed) sealed()      {}
func (CallRetried) sealed()     {}
func (GrantRequested) sealed()  {}
func (GrantReturned) sealed()   {}
