package message

import (
	"time"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/record"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

// WaitAbandoned reports that the sender of a request no longer waits for the reply.
type WaitAbandoned struct{ Ticket ident.Ticket }

// GrantRequested requests a grant to use an upstream of a pool. Answered with
// outcome.Granted or outcome.Refused.
type GrantRequested struct {
	Ticket  ident.Ticket
	Program ident.ProgramID
	Team    ident.TeamID
	Class   ident.Class
	Pool    ident.PoolID
	// Prompt and Output are the expected lengths of the prompt and of the answer.
	Prompt unit.Tokens
	Output unit.Tokens
	// AttainedService is the attained service of the program's whole tree.
	AttainedService unit.Tokens
	// CachedTokens has the upstreams that hold a prefix of the program in memory, with
	// its length.
	CachedTokens map[ident.UpstreamID]unit.Tokens
	// Avoid lists the upstreams on which an earlier attempt of the call failed.
	Avoid []ident.UpstreamID
	// Retry is true if the call was already dispatched.
	Retry bool
	// Repeatable is true if the call may be cancelled after dispatch.
	Repeatable bool
	// Enqueued is when the call arrived.
	Enqueued time.Time
}

// GrantReturned returns a grant after the use of its upstream.
type GrantReturned struct {
	Grant    ident.Grant
	Upstream ident.UpstreamID
	// Duration and FirstByte are measured from the dispatch; 0 if the call was not
	// dispatched.
	Duration  time.Duration
	FirstByte time.Duration
	Usage     record.Usage
	Failed    bool
	// Leaving is true if the upstream declined the call because it is shutting down.
	Leaving bool
}

func (WaitAbandoned) sealed()  {}
func (GrantRequested) sealed() {}
func (GrantReturned) sealed()  {}
