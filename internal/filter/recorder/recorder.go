// Package recorder has the filter that makes an answer durable before its end
// marker is sent.
package recorder

import (
	"context"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/chain"
	"github.com/sassafrasspur/sassafrasspur/internal/executor"
	"github.com/sassafrasspur/sassafrasspur/internal/failure"
	"github.com/sassafrasspur/sassafrasspur/internal/message"
	"github.com/sassafrasspur/sassafrasspur/internal/request"
)

// Recorder records answers.
type Recorder struct {
	control *executor.Executor
}

// New returns the filter on the control goroutine.
func New(control *executor.Executor) *Recorder {
	return &Recorder{control: control}
}

// Serve records what the dispatch gave and then sends the end marker. A caller
// that received it may rely on the answer being in the history.
func (r *Recorder) Serve(ctx context.Context, x *chain.Exchange, next chain.Handler) error {
	if err := next(ctx, x); err != nil {
		return err
	}
	call, ok := x.Request.(request.Call)
	if !ok {
		return failure.New(failure.Internal, "request type %T is not a call; report this", x.Request)
	}
	_, err := r.control.Ask(ctx, func(t ident.Ticket) message.Message {
		return message.CallCompleted{
			Ticket:    t,
			AttemptID: x.Attempt(),
			Upstream:  x.Granted.Upstream.ID,
			Answer:    x.Answer,
			Resident:  x.Resident,
		}
	})
	if err != nil && ctx.Err() != nil {
		return failure.New(failure.NotDurable, "the answer could not be recorded in time; repeat the call with the same call id")
	}
	if err != nil {
		return err
	}
	return x.Sink.End(chain.End{
		Call:    call.Call,
		Attempt: x.Run.Attempt,
		Chunks:  x.Chunks,
		Answer:  x.Answer,
	})
}
