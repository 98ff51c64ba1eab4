// Package outcome has what the control goroutine answers to a request.
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

// Outcome is an answer of the control goroutine. The interface is sealed: the
// variants are the types of this package.
type Outcome interface{ sealed() }

// Opened answers the opening of a program.
type Opened struct{ Program ident.ProgramID }

// Ended answers the end of a program.
type Ended struct{ Program ident.ProgramID }

// Shown answers a look at a program. View shares nothing with control state.
type Shown struct{ View program.View }

// Run lets a call go on to an upstream.
type Run struct {
	Attempt ident.Attempt
	Class   ident.Class
	// History holds the earlier turns with the same program; it is not changed.
	History []program.Turn
	// HistoryTokens is the length of History as the engines counted it.
	HistoryTokens unit.Tokens
	// Residents are the upstreams that hold engine memory of the program.
	Residents map[ident.UpstreamID]unit.Tokens
	// Served is the service that the whole tree of the program has attained.
	Served unit.Tokens
	// Fresh is true if no earlier attempt of the call can have run.
	Fresh bool
}

// Replay answers a repeated call with the answer of the first.
type Replay struct {
	Attempt ident.Attempt
	Answer  record.Answer
}

// Durable says that what was asked to be recorded is durable.
type Durable struct{}

// Granted permits one use of an upstream.
type Granted struct {
	Grant    ident.Grant
	Upstream configuration.Upstream
	// Cached is the length of the program's prefix that the upstream is
	// expected to hold.
	Cached unit.Tokens
}

// Refused refuses a request.
type Refused struct{ Err *failure.Error }

func (Opened) sealed()  {}
func (Ended) sealed()   {}
func (Shown) sealed()   {}
func (Run) sealed()     {}
func (Replay) sealed()  {}
func (Durable) sealed() {}
func (Granted) sealed() {}
func (Refused) sealed() {}

// Chosen names the upstream of a call. The caller reports the end of the call
// by message.CallEnded.
type Chosen struct {
	Upstream upstream.Upstream
	Urgency  upstream.Urgency
	// ViewAge is the age of the list that the upstream was chosen from.
	ViewAge time.Duration
	// SilenceLimit is the silence after which a call that may run again should
	// be sent to another upstream.
	SilenceLimit time.Duration
}

func (Chosen) sealed() {}
