package message

import (
	"time"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/record"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

// WaitAbandoned says that nobody waits for the answer to a ticket any more.
type WaitAbandoned struct{ Ticket ident.Ticket }

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

func (WaitAbandoned) sealed()  {}
func (GrantRequested) sealed() {}
func (GrantReturned) sealed()  {}
