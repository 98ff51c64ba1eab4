package upstream

import (
	"context"
	"net/http"
	"time"

	"github.com/sassafrasspur/sassafrasspur/ident"
)

// Call is a request as it is sent to an upstream.
type Call struct {
	Upstream Upstream
	// Request is the id of the caller's attempt.
	Request ident.RequestID
	Method  string
	// Target is the request's path and query, byte for byte.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Left is the time that the upstream may work on the call.
	Left time.Duration
	// Urgency is the rank among calls at one engine.
	Urgency Urgency
	// After is the last event that the caller has, 0 for none.
	After ident.EventID
	// SilenceLimit is the time without a byte of the answer after which the call
	// fails, 0 for no limit.
	SilenceLimit time.Duration
	// Repeatable calls may run again at another upstream.
	Repeatable bool
}

// Urgency ranks calls at an engine, 0 first. The engine's default is 5.
type Urgency int

// Answer is what a call resulted in. The interface is sealed: the variants are
// the types of this package.
type Answer interface{ answer() }

// NotRun says that the upstream did not run the call and never will.
type NotRun struct {
	// Reason is a fixed text.
	Reason string
	// Misdirected is set if another upstream has the address.
	Misdirected bool
	// RetryAfter is the upstream's own delay, 0 if it named none.
	RetryAfter time.Duration
}

// Failed says that there was no complete answer.
type Failed struct {
	Err error
	// Sent is set if a part of the call may have reached the upstream, which
	// may therefore run it.
	Sent bool
}

// Whole is a complete answer.
type Whole struct {
	Status int
	Header http.Header
	Body   []byte
}

// Streaming is an answer whose events are still to come.
type Streaming struct {
	Status int
	Header http.Header
	Events Events
}

func (NotRun) answer()    {}
func (Failed) answer()    {}
func (Whole) answer()     {}
func (Streaming) answer() {}

// Event is one event of a stream.
type Event struct {
	ID ident.EventID
	// Raw has the event's bytes with the blank line that ends it.
	Raw []byte
	// Data has the event's data.
	Data []byte
}

// Events reads the events of a stream.
type Events interface {
	// Next returns the next whole event. It returns io.EOF after the last
	// event of a stream that ended properly.
	Next() (Event, error)
	// Close ends the stream. The connection is kept only after io.EOF.
	Close()
}

// Caller sends calls to upstreams. It never repeats one.
type Caller interface {
	Call(ctx context.Context, c Call) Answer
}
