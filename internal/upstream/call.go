package upstream

import (
	"context"
	"net/http"
	"time"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

// Call is a request to an upstream.
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
	// AccountsListed is true if the configuration lists client accounts. Then what the
	// caller sent as its key or as the name of an account is not passed on.
	AccountsListed bool
	// Account is the client account that the upstream is told, empty for none.
	Account ident.AccountID
	// TimeLeft is the remaining time in which the upstream may work on the call.
	TimeLeft time.Duration
	// Urgency is the call's rank among the calls at its engine.
	Urgency Urgency
	// LastEventID is the id of the last event that the caller received, 0 for none.
	LastEventID ident.EventID
	// IdleTimeout is the time without a byte of the answer after which the call
	// fails. 0 means no limit.
	IdleTimeout time.Duration
	// Repeatable is true if the call may run again at another upstream.
	Repeatable bool
}

// Urgency ranks the calls at an engine; a call with a lower value runs first. The
// engine's default is 5.
type Urgency int

// Answer is the result of a call. The interface is sealed: its variants are
// NotRun, Failed, Complete and Streaming.
type Answer interface{ answer() }

// Notice is what an upstream states about itself in the head of an answer. The zero
// value states nothing.
type Notice struct {
	// Limit is the rate of requests that the upstream accepts from all VMs together,
	// 0 if it is not limited.
	Limit unit.Rate
	// Leaving is true if the upstream shuts down and must get no new work.
	Leaving bool
}

// NotRun reports that the upstream did not run the call and never will.
type NotRun struct {
	// Reason is one of a fixed set of texts, such as the status of the answer.
	Reason string
	// Misdirected is true if a different upstream answers at the address.
	Misdirected bool
	// RetryAfter is the delay that the upstream requested, 0 if it requested none.
	RetryAfter time.Duration
	Notice     Notice
}

// Failed reports that no complete answer arrived.
type Failed struct {
	Err error
	// Sent is true if a part of the call may have reached the upstream, which may
	// therefore run it.
	Sent bool
}

// Complete is a complete answer.
type Complete struct {
	Status int
	Header http.Header
	Body   []byte
	Notice Notice
}

// Streaming is an answer whose events are read from a stream.
type Streaming struct {
	Status int
	Header http.Header
	Events Events
	Notice Notice
}

func (NotRun) answer()    {}
func (Failed) answer()    {}
func (Complete) answer()  {}
func (Streaming) answer() {}

// Event is one event of a stream.
type Event struct {
	ID ident.EventID
	// Raw holds the bytes of the event, including the blank line that ends it.
	Raw []byte
	// Data holds the event's data without the framing.
	Data []byte
}

// Events reads the events of a stream.
type Events interface {
	// Next returns the next complete event. It returns io.EOF after the last event
	// of a stream that ended without an error.
	Next() (Event, error)
	// Close ends the stream. The connection is reused only after io.EOF.
	Close()
}

// Caller sends calls to upstreams. It does not retry them.
type Caller interface {
	Call(ctx context.Context, c Call) Answer
	// IsDown reports whether an upstream refuses connections, as it does once its
	// process has crashed.
	IsDown(ctx context.Context, u Upstream) bool
}
