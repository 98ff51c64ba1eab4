// Package effect has everything that a controller asks for.
//
// Controllers do no I/O: the executor carries out Answer, Send, WakeAt and
// Publish itself and gives all other effects to the performer, which reports
// the result as a message.
package effect

import (
	"time"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/message"
	"github.com/sassafrasspur/sassafrasspur/internal/outcome"
)

// Effect is a request of a controller. The interface is sealed: the variants
// are the types of this package.
type Effect interface{ sealed() }

// Answer answers a ticket.
type Answer struct {
	Ticket  ident.Ticket
	Outcome outcome.Outcome
}

// Send gives a message to the controllers before any other message.
type Send struct{ Message message.Message }

// WakeAt asks for message.Tick at a time. Ticks may come earlier, too. A tick
// ends all requests so far: a controller asks again for a later one.
type WakeAt struct{ Time time.Time }

// Publish asks for a new snapshot.
type Publish struct{}

// ReadLoad asks an upstream for its load. Reported by message.UpstreamReported.
type ReadLoad struct {
	Upstream ident.UpstreamID
	Address  string
}

// ReadCache asks an engine for the programs that it holds. Reported by
// message.CacheRead.
type ReadCache struct {
	Upstream ident.UpstreamID
	Address  string
}

// CheckMemory finds out which programs in an engine's memory do not need it any
// more. Reported by message.ReleaseWanted for each of them.
type CheckMemory struct {
	Upstream ident.UpstreamID
	Programs []ident.ProgramID
}

// Release orders an engine to free a program's memory, and records that it did.
// Reported by message.ReleaseDone.
type Release struct {
	Program  ident.ProgramID
	Upstream ident.UpstreamID
	Address  string
	Epoch    ident.Epoch
}

// CancelGrant stops a borrowed call whose upstream is reclaimed. The call still
// returns its grant.
type CancelGrant struct{ Grant ident.Grant }

// LookUp asks a service for the result of a call, and records an answer. Reported
// by message.LookedUp.
type LookUp struct {
	Program ident.ProgramID
	Call    ident.CallID
	Attempt ident.Attempt
	Address string
}

// Order gives an engine an order. Reported by message.OrderDone.
type Order struct{ message.OrderID }

func (Answer) sealed()      {}
func (Send) sealed()        {}
func (WakeAt) sealed()      {}
func (Publish) sealed()     {}
func (ReadLoad) sealed()    {}
func (ReadCache) sealed()   {}
func (Release) sealed()     {}
func (CheckMemory) sealed() {}
func (CancelGrant) sealed() {}
func (LookUp) sealed()      {}
func (Order) sealed()       {}
