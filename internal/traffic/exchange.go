package traffic

import (
	"context"
	"net/http"
	"time"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/routing"
	"github.com/sassafrasspur/sassafrasspur/internal/upstream"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

// Request is what a caller sent. It is not changed.
type Request struct {
	ID     ident.RequestID
	Method string
	// Target is the path and query, byte for byte; Path is the path alone.
	Target string
	Path   string
	Host   string
	// Header has the headers that go on to the upstream unchanged.
	Header http.Header
	Body   []byte
	// TimeLimit is how long the caller waits, 0 if it did not say.
	TimeLimit time.Duration
	// After is the last event that the caller has, 0 for none.
	After ident.EventID
	// Subject names what the request is about, empty if it did not say.
	Subject string
	// Prompt is nil for a request without a prompt.
	Prompt *Prompt
	// Program is nil for a request that belongs to no program.
	Program *Program
}

// Prompt describes the prompt of a request to an engine.
type Prompt struct {
	// Parts are in the order of the prompt.
	Parts []Part
	// Input is the number of tokens of the prompt, Output the largest number
	// of tokens to generate.
	Input  unit.Tokens
	Output unit.Tokens
}

// Part is a part of a prompt that others may share.
type Part struct {
	ID     ident.PartID
	Tokens unit.Tokens
}

// Program says to which program a request belongs.
type Program struct {
	ID   ident.ProgramID
	Line ident.LineID
	// Left is the time in which the program is to end.
	Left time.Duration
	// Budget is the number of tokens that all turns of the program may
	// generate, 0 if the request is no turn.
	Budget unit.Tokens
	// Previous is the turn that this one continues, empty for a first turn.
	Previous ident.RequestID
}

// Exchange is a request on its way through the chain.
type Exchange struct {
	Request Request
	Arrived time.Time
	// Deadline is when the caller is answered at the latest.
	Deadline time.Time
	Table    *routing.Table
	Route    *routing.Route
	Pool     ident.PoolID
	// Body is what the upstream receives.
	Body []byte
	// Responder takes the answer.
	Responder Responder
	// Trace notes what was decided, for the log.
	Trace Trace
}

// Trace has the decisions on one exchange.
type Trace struct {
	Status int
	// Upstreams are the upstreams that the call was sent to, in order.
	Upstreams []ident.UpstreamID
	// Refusals counts upstreams that said that they did not run the call.
	Refusals int
	// Failures are the reasons of attempts that failed.
	Failures []string
	Events   int
	// Holder is the VM that granted the turn.
	Holder ident.VMID
	// Reserved is how long it took to reserve budget and read the history.
	Reserved time.Duration
	// Kept is how long it took to store the turn.
	Kept time.Duration
	// FirstEvent is the time from the arrival to the first event.
	FirstEvent time.Duration
	ViewAge    time.Duration
}

// Responder takes the answer of an exchange. Its methods return an error if the
// caller can't be reached any more.
type Responder interface {
	// Whole sends a complete answer.
	Whole(a upstream.Whole) error
	// Begin sends the head of a stream.
	Begin(status int, header http.Header) error
	Event(e upstream.Event) error
	// End completes a stream.
	End() error
	// Abort breaks the answer off, so that it does not look complete.
	Abort()
}

// Handler serves an exchange. An error is what the caller is told, unless a
// part of the answer was sent.
type Handler func(ctx context.Context, x *Exchange) error

// Filter is a link of the chain.
type Filter interface {
	Serve(ctx context.Context, x *Exchange, next Handler) error
}

// Chain returns the handler that passes an exchange through filters in order.
// The last filter must not call next.
func Chain(filters ...Filter) Handler {
	var next Handler
	for i := len(filters) - 1; i >= 0; i-- {
		filter, following := filters[i], next
		next = func(ctx context.Context, x *Exchange) error { return filter.Serve(ctx, x, following) }
	}
	return next
}
