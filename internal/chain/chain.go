// Package chain has the filter chain that every request of the program API passes
// through.
//
// Each filter performs one step and calls the next filter. If the next filter
// fails, a filter undoes its own step. The filters run in the order of New's
// arguments, which the root package defines.
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

// Role defines what an account is allowed to do.
type Role string

// The roles of accounts.
const (
	Caller   Role = "caller"
	Operator Role = "operator"
)

// Account is the client account that makes a request.
type Account struct {
	ID   ident.AccountID
	Team ident.TeamID
	Role Role
}

// Sink receives the stream of an answer. A stream without End is incomplete.
type Sink interface {
	// Chunk receives a part of the answer; index counts from 0.
	Chunk(index int, text string) error
	// Void discards all chunks received so far; index restarts at 0.
	Void() error
	// End receives the end marker. It is called at most once, after the answer is
	// stored durably.
	End(end End) error
}

// End is the end marker of an answer.
type End struct {
	Call    ident.CallID
	Attempt ident.Attempt
	// Chunks is the number of valid chunks. It is 0 for a replayed answer, whose
	// complete text is in Answer.
	Chunks int
	Answer record.Answer
}

// Exchange is one request and the state that the filters keep about it.
type Exchange struct {
	// Credential is the bearer token of the request.
	Credential string
	Request    request.Request
	Sink       Sink

	// Account is set by the authenticator.
	Account Account
	// Reply is the answer to a request that is not a call.
	Reply outcome.Outcome
	// Queued is the total time that the call waited for grants.
	Queued time.Duration
	// Pool, Repeatable and Run are set by the orderer.
	Pool       configuration.Pool
	Repeatable bool
	Run        outcome.Run
	// Granted is the current grant for an upstream, set by the admitter.
	Granted outcome.Granted
	// Dispatched is set before the first byte is sent to an upstream. From then on
	// the call may have run; it is cleared if the upstream certainly did not run
	// the call.
	Dispatched bool
	// Avoid lists the upstreams on which an earlier attempt was interrupted.
	Avoid []ident.UpstreamID
	// Dispatches counts the dispatches of this attempt.
	Dispatches int
	// Result is the result of the last dispatch.
	Result Result
	// FirstByte and Duration are measured from the last dispatch.
	FirstByte time.Duration
	Duration  time.Duration
	// Answer is the answer of the last dispatch. Cached is true if the engine now
	// holds the program in its cache.
	Answer record.Answer
	Cached bool
	// Settling is true if the answer is being recorded in the background because
	// the store did not respond in time.
	Settling bool
	// Chunks is the number of valid chunks that the sink has received.
	Chunks int
}

// Attempt returns the id of the current attempt, or the zero value for a request that
// is not a call.
func (x *Exchange) Attempt() record.AttemptID {
	call, ok := x.Request.(request.Call)
	if !ok {
		return record.AttemptID{}
	}
	return record.AttemptID{Program: call.Program, Call: call.Call, Attempt: x.Run.Attempt}
}

// Handler passes an exchange through the remaining filters of the chain.
type Handler func(ctx context.Context, x *Exchange) error

// Filter performs one step of the chain.
type Filter interface {
	Serve(ctx context.Context, x *Exchange, next Handler) error
}

// Chain is a sequence of filters.
type Chain struct {
	handler Handler
}

// New returns a chain that runs the filters in the given order.
func New(filters ...Filter) *Chain {
	handler := func(context.Context, *Exchange) error { return nil }
	for i := len(filters) - 1; i >= 0; i-- {
		handler = wrap(filters[i], handler)
	}
	return &Chain{handler: handler}
}

// Serve passes a request through the chain. Errors have a kind defined in package
// failure.
func (c *Chain) Serve(ctx context.Context, x *Exchange) error {
	return c.handler(ctx, x)
}

func wrap(filter Filter, next Handler) Handler {
	return func(ctx context.Context, x *Exchange) error {
		return filter.Serve(ctx, x, next)
	}
}
