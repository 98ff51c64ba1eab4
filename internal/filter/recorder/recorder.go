// Package recorder has the filter that stores an answer durably before its end
// marker is sent.
package recorder

import (
	"context"

	"github.com/sassafrasspur/sassafrasspur/internal/chain"
	"github.com/sassafrasspur/sassafrasspur/internal/failure"
	"github.com/sassafrasspur/sassafrasspur/internal/outcome"
	"github.com/sassafrasspur/sassafrasspur/internal/request"
	"github.com/sassafrasspur/sassafrasspur/internal/sequencer"
)

// Programs stores the records of programs.
type Programs interface {
	Do(ctx context.Context, r sequencer.Request) (outcome.Outcome, error)
	// RecordInBackground retries in the background a request that could not be recorded
	// in time.
	RecordInBackground(r sequencer.Request)
}

// Recorder records answers.
type Recorder struct {
	programs Programs
}

// New returns the filter.
func New(programs Programs) *Recorder {
	return &Recorder{programs: programs}
}

// Serve records the answer and then sends the end marker. A caller that received the
// end marker can rely on the answer being in the history.
func (r *Recorder) Serve(ctx context.Context, x *chain.Exchange, next chain.Handler) error {
	if err := next(ctx, x); err != nil {
		return err
	}
	call, ok := x.Request.(request.Call)
	if !ok {
		return failure.New(failure.Internal, "request type %T is not a call; report this", x.Request)
	}
	complete := sequencer.Complete{
		AttemptID: x.Attempt(), Upstream: x.Granted.Upstream.ID, Answer: x.Answer, Resident: x.Cached,
	}
	if _, err := r.programs.Do(ctx, complete); err != nil {
		if failure.Is(err, failure.PlatformUnavailable) || ctx.Err() != nil {
			x.Settling = true
			r.programs.RecordInBackground(complete)
			return failure.New(failure.NotDurable, "the answer could not be recorded in time; repeat the call with the same call id")
		}
		return err
	}
	return x.Sink.End(chain.End{
		Call:    call.Call,
		Attempt: x.Run.Attempt,
		Chunks:  x.Chunks,
		Answer:  x.Answer,
	})
}
