package batcher

import (
	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/standin/prefixcache"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

// Reply is a reply of the batcher. The interface is sealed.
type Reply interface{ reply() }

// Accepted means that the stream was attached to the request.
type Accepted struct {
	Stream StreamID
	// Total is the number of tokens of the complete answer.
	Total unit.Tokens
	// Started is false if the stream was attached to a known request.
	Started bool
}

// QueueFull means that the queue is full and the request did not run.
type QueueFull struct{}

// Leaving means that the engine accepts no new requests; the request did not run.
type Leaving struct{}

// RequestUnknown means that the request to resume is not known.
type RequestUnknown struct{}

// RequestMismatch means that the request to resume has a different prompt or
// fewer tokens than the client claims to have received.
type RequestMismatch struct{}

// Done means that the command was executed.
type Done struct{}

// Fenced means that the command's epoch is lower than Seen, the highest epoch so
// far.
type Fenced struct{ Seen ident.Epoch }

// Exported is the prefix of a program; Tokens is nil if none is cached.
type Exported struct{ Tokens []prefixcache.Token }

// Load is the load report.
type Load struct {
	Running       int
	Waiting       int
	WaitingTokens unit.Tokens
	Leaving       bool
}

// Residents lists all programs in the cache.
type Residents struct {
	Sequence ident.Sequence
	Programs []prefixcache.Resident
}

// Events lists cache events.
type Events struct{ Events []prefixcache.Event }

// Stats is the set of counters since the start.
type Stats struct {
	PrefillTokens  unit.Tokens
	CachedTokens   unit.Tokens
	OutputTokens   unit.Tokens
	EvictedTokens  unit.Tokens
	Orders         []Order
	RejectedOrders int
	// Streams is the number of streams that are attached now.
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
