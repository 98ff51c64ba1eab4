package batcher

import (
	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/standin/cacher"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

// Reply is a reply of the batcher. The interface is sealed.
type Reply interface{ reply() }

// Accepted means that the stream is attached to the request.
type Accepted struct {
	Stream StreamID
	// Total is the number of tokens of the whole answer.
	Total unit.Tokens
	// Started is false if the stream was attached to an earlier request.
	Started bool
}

// QueueFull means that the request did not run.
type QueueFull struct{}

// Leaving means that the engine takes no new request; it did not run.
type Leaving struct{}

// RequestUnknown means that there is nothing to resume.
type RequestUnknown struct{}

// RequestMismatch means that the request to resume has another prompt or
// fewer tokens than the client claims to have.
type RequestMismatch struct{}

// Done means that the command was carried out.
type Done struct{}

// Fenced means that the epoch is below one that was seen before.
type Fenced struct{ Seen ident.Epoch }

// Exported has the prefix of a program; nil if there is none.
type Exported struct{ Tokens []cacher.Token }

// Load is the load report.
type Load struct {
	Running       int
	Waiting       int
	WaitingTokens unit.Tokens
	Leaving       bool
}

// Residents has all programs in the cache.
type Residents struct {
	Sequence ident.Sequence
	Programs []cacher.Resident
}

// Events has events of the cache.
type Events struct{ Events []cacher.Event }

// Stats has the counters since the start.
type Stats struct {
	PrefillTokens  unit.Tokens
	CachedTokens   unit.Tokens
	OutputTokens   unit.Tokens
	EvictedTokens  unit.Tokens
	Orders         []Order
	RejectedOrders int
	// Streams is the number of clients that are attached now.
	Streams int
}

func (Accepted) reply()        {}
func (QueueFull) reply()       {}
func (Leaving) reply()         {}
func (RequestUnknown) reply()  {}
func (RequestMismatch) reply() {}
func (Done) reply()            {}
func (Fenced) reply()          {}
func (Exported) reply()        {}
func (Load) reply()            {}
func (Residents) reply()       {}
func (Events) reply()          {}
func (Stats) reply()           {}
