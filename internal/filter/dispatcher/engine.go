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
		Prompt:    d.promptRenderer.Render(x.Run.History, call.Body),
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
		return d.handleEngineError(ctx, x, r, err)
	}
	x.Result, x.Answer, x.Cached = chain.Answered{}, result.Answer, true
	x.Answer.Usage.Calls = 1
	return nil
}

// handleEngineError sets the result of a failed dispatch. A call that may have run is
// cancelled at the engine and charged with an upper bound of its usage.
func (d *Dispatcher) handleEngineError(ctx context.Context, x *chain.Exchange, r enginecaller.Request, err error) error {
	var notRun enginecaller.NotRun
	if errors.As(err, &notRun) {
		x.Result, x.Dispatched = chain.Declined{Leaving: notRun.Leaving}, false
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
	cancelCtx, stop := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
	defer stop()
	if cancelErr := d.engines.Cancel(cancelCtx, r.Address, r.ID); cancelErr == nil {
		x.Answer.Usage.OutputTokens = unit.Tokens(x.Chunks)
	}
	return upstreamFailed(err)
}
