// Package effect defines the effects that controllers request.
//
// Controllers do no I/O: the executor executes Answer, Send, WakeAt and Publish itself
// and passes all other effects to the effect runner, which reports the result as a
// message.
package effect

import (
	"time"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/message"
	"github.com/sassafrasspur/sassafrasspur/internal/outcome"
)

// Effect is a side effect that a controller requests. The interface is sealed: the
// variants are the other types of this package.
type Effect interface{ sealed() }

// Answer replies to the request with a ticket.
type Answer struct {
	Ticket  ident.Ticket
	Outcome outcome.Outcome
}

// Send delivers a message to the controllers before the executor reads its inbox again.
type Send struct{ Message message.Message }

// WakeAt requests a message.Tick at a time. Ticks may also arrive earlier. A tick
// cancels all pending requests: a controller that needs a later one requests it again.
type WakeAt struct{ Time time.Time }

// Publish requests that a new snapshot be published.
type Publish struct{}

// ReadLoad reads the load of an upstream. Reported by message.UpstreamReported.
type ReadLoad struct {
	Upstream ident.UpstreamID
	Address  string
}

// ReadCache reads the list of programs that an engine holds in memory. Reported by
// message.CacheRead.
type ReadCache struct {
	Upstream ident.UpstreamID
	Address  string
}

// CheckCachedPrograms finds the programs whose memory at an engine is no longer needed.
// Reported by one message.ReleaseRequested for each of them.
type CheckCachedPrograms struct {
	Upstream ident.UpstreamID
	Programs []ident.ProgramID
}

// Release makes an engine free the memory of a program, and records the release.
// Reported by message.ReleaseDone.
type Release struct {
	Program  ident.ProgramID
	Upstream ident.UpstreamID
	Address  string
	Epoch    ident.Epoch
}

// CancelGrant stops a call on a borrowed upstream that its owner reclaims. The call
// still returns its grant.
type CancelGrant struct{ Grant ident.Grant }

// LookUp looks up the result of a call at its service, and records the answer if there
// is one. Reported by message.LookUpDone.
type LookUp struct {
	Program ident.ProgramID
	Call    ident.CallID
	Attempt ident.Attempt
	Address string
}

// Order sends an order to an engine. Reported by message.OrderDone.
type Order struct{ message.OrderID }

func (Answer) sealed()              {}
func (Send) sealed()                {}
func (WakeAt) sealed()              {}
func (Publish) sealed()             {}
func (ReadLoad) sealed()            {}
func (ReadCache) sealed()           {}
func (Release) sealed()             {}
func (CheckCachedPrograms) sealed() {}
func (CancelGrant) sealed()         {}
func (LookUp) sealed()              {}
func (Order) sealed()               {}
