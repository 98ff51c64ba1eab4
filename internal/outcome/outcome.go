// Package outcome defines the replies to requests about programs and upstreams.
package outcome

import (
	"time"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/configuration"
	"github.com/sassafrasspur/sassafrasspur/internal/failure"
	"github.com/sassafrasspur/sassafrasspur/internal/program"
	"github.com/sassafrasspur/sassafrasspur/internal/record"
	"github.com/sassafrasspur/sassafrasspur/internal/upstream"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

// Outcome is the reply to a request to the control goroutine or to the records of
// programs. The interface is sealed: the variants are the other types of this package.
type Outcome interface{ sealed() }

// Opened confirms that a program was opened.
type Opened struct{ Program ident.ProgramID }

// Ended confirms that a program was ended.
type Ended struct{ Program ident.ProgramID }

// Shown returns a program. View shares no memory with control state.
type Shown struct{ View program.View }

// Run permits a call to be sent to an upstream.
type Run struct {
	Attempt ident.Attempt
	Class   ident.Class
	// History has the earlier turns of the program. It is immutable.
	History []program.Turn
	// HistoryTokens is the length of History as counted by the engines.
	HistoryTokens unit.Tokens
	// CachedTokens has the upstreams that hold the program in engine memory, with the
	// number of tokens.
	CachedTokens map[ident.UpstreamID]unit.Tokens
	// AttainedService is the attained service of the program's whole tree.
	AttainedService unit.Tokens
	// FirstAttempt is true if no earlier attempt of the call can have run.
	FirstAttempt bool
}

// Replay returns the recorded answer of an earlier attempt to a repeated call.
type Replay struct {
	Attempt ident.Attempt
	Answer  record.Answer
}

// Durable confirms that the request was recorded durably.
type Durable struct{}

// Granted permits one use of an upstream.
type Granted struct {
	Grant    ident.Grant
	Upstream configuration.Upstream
	// Cached is the length of the program's prefix that the upstream is
	// expected to hold.
	Cached unit.Tokens
}

// CrashCounted confirms that the crash of an upstream was counted.
type CrashCounted struct {
	// Quarantined is true if the request must not be sent to further upstreams.
	Quarantined bool
}

// TrialDecided says whether a quarantined request may be passed on.
type TrialDecided struct{ Allowed bool }

// Refused rejects a request with an error.
type Refused struct{ Err *failure.Error }

func (Opened) sealed()  {}
func (Ended) sealed()   {}
func (Shown) sealed()   {}
func (Run) sealed()     {}
func (Replay) sealed()  {}
func (Durable) sealed() {}
func (Granted) sealed() {}
func (Refused) sealed() {}

// UpstreamChosen is the upstream selected for a call. The receiver reports the end
// of the call with message.CallEnded.
type UpstreamChosen struct {
	Upstream upstream.Upstream
	Urgency  upstream.Urgency
	Basis    upstream.Basis
	// ListAge is the age of the list that the upstream was chosen from.
	ListAge time.Duration
	// IdleTimeout is the time without a byte from the upstream after which a call
	// that may run again should be sent to another one.
	IdleTimeout time.Duration
	// Limit is the request limit that the upstream is known to have, 0 for none.
	Limit unit.Rate
}

func (UpstreamChosen) sealed() {}
func (CrashCounted) sealed()   {}
func (TrialDecided) sealed()   {}
