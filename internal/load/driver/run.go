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

// Budget of each program. It is far above what the workloads use: the
// experiments measure placement and not budgets.
const (
	BudgetCalls   unit.Calls  = 1000
	BudgetTokens  unit.Tokens = 10_000_000
	budgetSeconds             = 3600
)

// run is the state of one program.
type run struct {
	driver   *Driver
	caller   Caller
	start    time.Time
	paused   time.Duration
	children int
	outcome  Outcome
}

// agent is the state of the program itself or of one sub-agent.
type agent struct {
	id       ident.ProgramID
	position int
	// computed is the length of the last prompt and its answer, with which the
	// next prompt starts.
	computed unit.Tokens
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
		// Programs that fail are ended too, so that their engine memory is free.
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
				Pool: string(step.Pool), Body: step.Body(), MaxTokens: int64(step.Answer),
			}, r.turned)
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
	err := r.driver.wait(ctx, from.Add(d))
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

// call sends a call and passes the usage of its answer to account.
func (r *run) call(ctx context.Context, a *agent, p programs.CallPayload, account func(*agent, *programs.Usage)) error {
	a.position++
	p.Program, p.Position = string(a.id), a.position
	p.CallID = "call-" + strconv.Itoa(a.position)
	return r.retry(ctx, func() error {
		return r.caller.Call(ctx, p, func(e *programs.Event) error {
			if e.Event == client.End && e.Usage != nil {
				account(a, e.Usage)
			}
			return nil
		})
	})
}

func (r *run) turned(a *agent, u *programs.Usage) {
	prompt := unit.Tokens(u.PromptTokens)
	cacheable := min(a.computed, prompt)
	r.outcome.Cacheable += cacheable
	r.outcome.Recomputed += max(0, cacheable-unit.Tokens(u.CachedTokens))
	a.computed = prompt + unit.Tokens(u.OutputTokens)
}

// retry sends a request until it succeeds, fails for good or was sent too often.
func (r *run) retry(ctx context.Context, send func() error) error {
	for try := 1; ; try++ {
		err := send()
		if err == nil {
			return nil
		}
		known := failure.From(err)
		if known.NotRun {
			r.outcome.Refused++
		}
		if known.RetryAfter <= 0 || try == r.driver.tries {
			return known
		}
		if err := r.driver.wait(ctx, r.driver.timers.Now().Add(known.RetryAfter)); err != nil {
			return known
		}
		r.outcome.Retries++
	}
}
