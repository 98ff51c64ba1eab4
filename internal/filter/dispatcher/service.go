package dispatcher

import (
	"context"

	"github.com/juju/errors"

	"github.com/sassafrasspur/sassafrasspur/internal/chain"
	"github.com/sassafrasspur/sassafrasspur/internal/failure"
	"github.com/sassafrasspur/sassafrasspur/internal/record"
	"github.com/sassafrasspur/sassafrasspur/internal/request"
	"github.com/sassafrasspur/sassafrasspur/internal/servicecaller"
)

func (d *Dispatcher) callService(ctx context.Context, x *chain.Exchange, call request.Call) error {
	started := d.timers.Now()
	result, err := d.services.Call(ctx, servicecaller.Request{
		Address:   x.Granted.Upstream.Address,
		Operation: call.Operation,
		Program:   call.Program,
		Call:      call.Call,
		Attempt:   x.Run.Attempt,
		Body:      call.Body,
	})
	x.Duration = d.timers.Now().Sub(started)
	if err != nil {
		return d.handleServiceError(ctx, x, call, err)
	}
	x.Result, x.Answer = chain.Answered{}, result.Answer
	x.FirstByte = result.Duration
	x.Chunks = 1
	return x.Sink.Chunk(0, result.Answer.Body)
}

// handleServiceError sets the result of a failed dispatch. If a declined call has a
// stored intent, the intent is cancelled, so that the call may be sent to another
// upstream or refused as not run.
func (d *Dispatcher) handleServiceError(ctx context.Context, x *chain.Exchange, call request.Call, err error) error {
	var declined servicecaller.NotRun
	if errors.As(err, &declined) {
		x.Dispatched = false
		if !x.Repeatable {
			if cancelErr := d.cancelIntent(ctx, x); cancelErr != nil {
				return cancelErr
			}
		}
		x.Result = chain.Declined{Leaving: declined.Leaving}
		return failure.Refusal(failure.Overloaded, 0, "%v", err)
	}
	x.Answer = record.Answer{Usage: record.Usage{Calls: 1}}
	if x.Repeatable {
		x.Result = chain.Interrupted{}
		return upstreamFailed(err)
	}
	x.Result = chain.Unresolved{}
	return outcomeUnknown(call.Call)
}
