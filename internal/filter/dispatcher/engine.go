package dispatcher

import (
	"context"

	"github.com/juju/errors"

	"github.com/sassafrasspur/sassafrasspur/internal/chain"
	"github.com/sassafrasspur/sassafrasspur/internal/enginecaller"
	"github.com/sassafrasspur/sassafrasspur/internal/failure"
	"github.com/sassafrasspur/sassafrasspur/internal/record"
	"github.com/sassafrasspur/sassafrasspur/internal/request"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

func (d *Dispatcher) callEngine(ctx context.Context, x *chain.Exchange, call request.Call) error {
	r := enginecaller.Request{
		Address:   x.Granted.Upstream.Address,
		ID:        requestID(x, call),
		Model:     string(call.Pool),
		Prompt:    d.prompter.Render(x.Run.History, call.Body),
		MaxTokens: call.MaxTokens,
		CacheKey:  call.Program,
	}
	started := d.timers.Now()
	result, err := d.engines.Call(ctx, r,
		func(index int, text string) error {
			if x.Chunks == 0 {
				x.FirstByte = d.timers.Now().Sub(started)
			}
			x.Chunks = index + 1
			return x.Sink.Chunk(index, text)
		},
		func() error {
			x.Chunks = 0
			return x.Sink.Void()
		})
	x.Duration = d.timers.Now().Sub(started)
	if err != nil {
		return d.engineFailed(ctx, x, r, err)
	}
	x.Result, x.Answer, x.Resident = chain.Answered{}, result.Answer, true
	x.Answer.Usage.Calls = 1
	return nil
}

// engineFailed finds out whether the call may run elsewhere, and what it spent
// at most.
func (d *Dispatcher) engineFailed(ctx context.Context, x *chain.Exchange, r enginecaller.Request, err error) error {
	var refused enginecaller.Refused
	if errors.As(err, &refused) {
		x.Result, x.Dispatched = chain.Declined{Leaving: refused.Leaving}, false
		return failure.Refusal(failure.Overloaded, 0, "%v", err)
	}
	var rejected enginecaller.Rejected
	if errors.As(err, &rejected) {
		x.Result = chain.Unresolved{}
		return failure.New(failure.InvalidRequest, "%v", rejected)
	}
	x.Result = chain.Interrupted{}
	x.Answer = record.Answer{Usage: record.Usage{
		Calls:        1,
		PromptTokens: unit.Tokens(len(r.Prompt)),
		OutputTokens: r.MaxTokens,
	}}
	cancelling, stop := context.WithTimeout(context.WithoutCancel(ctx), cancelLimit)
	defer stop()
	if cancelled := d.engines.Cancel(cancelling, r.Address, r.ID); cancelled == nil {
		x.Answer.Usage.OutputTokens = unit.Tokens(x.Chunks)
	}
	return upstreamFailed(err)
}
