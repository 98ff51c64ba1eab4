package driver

import (
	"context"
	"strconv"
	"time"

	"github.com/sassafrasspur/sassafrasspur/gen/programs"
	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/client"
	"github.com/sassafrasspur/sassafrasspur/internal/failure"
	"github.com/sassafrasspur/sassafrasspur/internal/load/workload"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

// Budget of each program. It is far above what the workloads use, because the
// experiments measure placement and must not run into budget limits.
const (
	BudgetCalls   unit.Calls  = 1000
	BudgetTokens  unit.Tokens = 10_000_000
	budgetSeconds             = 3600
)

// run holds the state of one running program.
type run struct {
	driver   *Driver
	caller   Caller
	start    time.Time
	paused   time.Duration
	children int
	outcome  Outcome
}

// agent holds the state of the root program or of one sub-agent.
type agent struct {
	id       ident.ProgramID
	position int
	// contextTokens is the length of the last prompt and its answer, which form
	// the beginning of the next prompt.
	contextTokens unit.Tokens
}

func (r *run) program(ctx context.Context, p workload.Program) Outcome {
	r.outcome = Outcome{Program: p.ID, Arrival: p.Arrival}
	err := r.retry(ctx, func() error {
		_, err := r.caller.Open(ctx, programs.OpenPayload{
			Program: string(p.ID),
			Class:   string(p.Class),
			Budget:  &programs.Budget{Calls: int64(BudgetCalls), Tokens: int64(BudgetTokens), Seconds: budgetSeconds},
		})
		return err
	})
	opened := err == nil
	if opened {
		err = r.steps(ctx, &agent{id: p.ID}, p.Steps)
	}
	r.outcome.Done = r.driver.timers.Now().Sub(r.start)
	r.outcome.Latency = r.outcome.Done - p.Arrival - r.paused
	if opened {
		// Failed programs are ended too, so that engines release their memory.
		ended := r.retry(ctx, func() error {
			_, err := r.caller.End(ctx, string(p.ID))
			return err
		})
		if err == nil {
			err = ended
		}
	}
	r.outcome.Err = failure.From(err)
	return r.outcome
}

func (r *run) steps(ctx context.Context, a *agent, steps []workload.Step) error {
	for _, step := range steps {
		var err error
		switch step := step.(type) {
		case workload.Pause:
			err = r.pause(ctx, step.Duration)
		case workload.Turn:
			err = r.call(ctx, a, programs.CallPayload{
				Pool: string(step.Pool), Body: step.Body(), MaxTokens: int64(step.OutputTokens),
			}, r.countTokens)
		case workload.Operation:
			err = r.call(ctx, a, programs.CallPayload{
				Pool: string(step.Pool), Operation: string(step.Operation), Body: step.Body(),
			}, func(*agent, *programs.Usage) {})
		case workload.SubAgent:
			err = r.subAgent(ctx, a, step)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

func (r *run) pause(ctx context.Context, d time.Duration) error {
	from := r.driver.timers.Now()
	err := r.driver.waitUntil(ctx, from.Add(d))
	r.paused += r.driver.timers.Now().Sub(from)
	return err
}

func (r *run) subAgent(ctx context.Context, parent *agent, step workload.SubAgent) error {
	r.children++
	child := parent.id.Child(r.children)
	if err := r.retry(ctx, func() error {
		_, err := r.caller.Child(ctx, programs.ChildPayload{Program: string(parent.id), Child: string(child)})
		return err
	}); err != nil {
		return err
	}
	return r.steps(ctx, &agent{id: child}, step.Steps)
}

// call sends a call and passes the usage of its answer to onUsage.
func (r *run) call(ctx context.Context, a *agent, p programs.CallPayload, onUsage func(*agent, *programs.Usage)) error {
	a.position++
	p.Program, p.Position = string(a.id), a.position
	p.CallID = "call-" + strconv.Itoa(a.position)
	// Entry VMs guarantee "not run" only for a call id that was not sent before.
	p.FirstSubmission = true
	return r.retry(ctx, func() error {
		sent := p
		p.FirstSubmission = false
		return r.caller.Call(ctx, sent, func(e *programs.Event) error {
			if e.Event == client.End && e.Usage != nil {
				onUsage(a, e.Usage)
			}
			return nil
		})
	})
}

func (r *run) countTokens(a *agent, u *programs.Usage) {
	prompt := unit.Tokens(u.PromptTokens)
	cacheable := min(a.contextTokens, prompt)
	r.outcome.Cacheable += cacheable
	r.outcome.Recomputed += max(0, cacheable-unit.Tokens(u.CachedTokens))
	a.contextTokens = prompt + unit.Tokens(u.OutputTokens)
}

// retry sends a request until it succeeds, fails without a retry delay or has
// been sent maxAttempts times.
func (r *run) retry(ctx context.Context, send func() error) error {
	for attempt := 1; ; attempt++ {
		err := send()
		if err == nil {
			return nil
		}
		reqErr := failure.From(err)
		if reqErr.NotRun || reqErr.Kind == failure.Overloaded {
			r.outcome.Refused++
		}
		if reqErr.RetryAfter <= 0 || attempt == r.driver.maxAttempts {
			return reqErr
		}
		if err := r.driver.waitUntil(ctx, r.driver.timers.Now().Add(reqErr.RetryAfter)); err != nil {
			return reqErr
		}
		r.outcome.Retries++
		r.driver.log.Debug().Str("program", string(r.outcome.Program)).Str("kind", string(reqErr.Kind)).
			Bool("not_run", reqErr.NotRun).Dur("waited", reqErr.RetryAfter).Msg(reqErr.Message)
	}
}
