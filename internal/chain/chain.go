// Package chain has the chain of filters that every request passes.
//
// A filter does one job and calls the next. When the next one fails, a filter
// undoes what it did itself. The order of the filters is that of New's
// arguments and is set in the root package.
package chain

import (
	"context"
	"time"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/configuration"
	"github.com/sassafrasspur/sassafrasspur/internal/outcome"
	"github.com/sassafrasspur/sassafrasspur/internal/record"
	"github.com/sassafrasspur/sassafrasspur/internal/request"
)

// Role says what an account may do.
type Role string

// Roles.
const (
	Caller   Role = "caller"
	Operator Role = "operator"
)

// Account is who makes a request.
type Account struct {
	ID   ident.AccountID
	Team ident.TeamID
	Role Role
}

// Sink receives the stream of an answer. A stream without End is not whole.
type Sink interface {
	// Chunk gives a part of the answer; index counts from 0.
	Chunk(index int, text string) error
	// Void says that all chunks so far are void and index starts again.
	Void() error
	// End is the end marker. It is called at most once, when the answer is
	// durable.
	End(end End) error
}

// End is the end marker of an answer.
type End struct {
	Call    ident.CallID
	Attempt ident.Attempt
	// Chunks is the number of valid chunks. It is 0 for a replayed answer,
	// whose whole text is in Answer.
	Chunks int
	Answer record.Answer
}

// Exchange is one request on its way through the chain.
type Exchange struct {
	// Credential is what the caller presented.
	Credential string
	Request    request.Request
	Sink       Sink

	// Account is set by the identify filter.
	Account Account
	// Reply is the answer to a request that is not a call.
	Reply outcome.Outcome
	// Queued is the time that the call waited for upstreams.
	Queued time.Duration
	// Pool and Repeatable are set by the order filter.
	Pool       configuration.Pool
	Repeatable bool
	Run        outcome.Run
	// Granted is the use of an upstream, set by the admit filter.
	Granted outcome.Granted
	// Dispatched is set before the first byte is sent to an upstream. From then
	// on the call may have run, until it is known that it did not.
	Dispatched bool
	// Avoid lists upstreams on which an earlier attempt was interrupted.
	Avoid []ident.UpstreamID
	// Dispatches counts the dispatches of this attempt.
	Dispatches int
	// Result is the result of the last dispatch.
	Result Result
	// FirstByte and Duration are measured from the last dispatch.
	FirstByte time.Duration
	Duration  time.Duration
	// Answer and Resident are the result of the dispatch.
	Answer   record.Answer
	Resident bool
	// Settling is true if the answer is recorded in the background, because the
	// store could not be reached in time.
	Settling bool
	// Chunks is the number of valid chunks that the sink received.
	Chunks int
}

// Attempt returns the id of the attempt that the exchange is in. It is the zero
// value for requests that are not calls.
func (x *Exchange) Attempt() record.AttemptID {
	call, ok := x.Request.(request.Call)
	if !ok {
		return record.AttemptID{}
	}
	return record.AttemptID{Program: call.Program, Call: call.Call, Attempt: x.Run.Attempt}
}

// Handler is the rest of the chain as a filter sees it.
type Handler func(ctx context.Context, x *Exchange) error

// Filter is one step of the chain.
type Filter interface {
	Serve(ctx context.Context, x *Exchange, next Handler) error
}

// Chain is a sequence of filters.
type Chain struct {
	handler Handler
}

// New returns the chain of filters in this order.
func New(filters ...Filter) *Chain {
	handler := func(context.Context, *Exchange) error { return nil }
	for i := len(filters) - 1; i >= 0; i-- {
		handler = link(filters[i], handler)
	}
	return &Chain{handler: handler}
}

// Serve passes a request through the chain. Errors have a kind of package
// failure.
func (c *Chain) Serve(ctx context.Context, x *Exchange) error {
	return c.handler(ctx, x)
}

func link(filter Filter, next Handler) Handler {
	return func(ctx context.Context, x *Exchange) error {
		return filter.Serve(ctx, x, next)
	}
}
