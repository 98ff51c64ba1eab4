// Package commander implements the actions of the command line.
package commander

import (
	"context"
	"io"
	"os"

	"github.com/sassafrasspur/sassafrasspur/gen/programs"
	"github.com/sassafrasspur/sassafrasspur/internal/client"
	"github.com/sassafrasspur/sassafrasspur/internal/failure"
	"github.com/sassafrasspur/sassafrasspur/internal/printer"
)

// Exit codes of the command line.
const (
	Success        = 0
	Failed         = 1
	Usage          = 2
	Denied         = 3
	NotFound       = 4
	Conflict       = 5
	OutcomeUnknown = 6
	Unavailable    = 7
	Unreachable    = 8
	AnswerFailed   = 9
)

// answerFailed is the kind of error of a call that ran and was answered with an
// error.
const answerFailed = failure.Kind("answer_failed")

// unhealthy is the kind of error of a status with problems.
const unhealthy = failure.Kind("unhealthy")

// ExitCode returns the exit code of an error.
func ExitCode(err error) int {
	if err == nil {
		return Success
	}
	switch failure.From(err).Kind {
	case failure.InvalidRequest:
		return Usage
	case failure.Unauthorized, failure.Forbidden:
		return Denied
	case failure.NotFound:
		return NotFound
	case failure.PositionGap, failure.CallMismatch, failure.ProgramEnded, failure.BudgetExhausted, failure.PlanStale:
		return Conflict
	case failure.OutcomeUnknown:
		return OutcomeUnknown
	case failure.Overloaded, failure.NoUpstream, failure.PlatformUnavailable, failure.ConfigurationStale, failure.NotDurable,
		failure.UpstreamFailed, failure.TimedOut, failure.ShuttingDown:
		return Unavailable
	case client.Unreachable:
		return Unreachable
	case answerFailed:
		return AnswerFailed
	default:
		return Failed
	}
}

// Commander runs actions with a client and prints their results.
type Commander struct {
	client  *client.Client
	printer *printer.Printer
	input   io.Reader
}

// New returns a Commander. It reads input in place of a file named "-".
func New(c *client.Client, p *printer.Printer, input io.Reader) *Commander {
	return &Commander{client: c, printer: p, input: input}
}

// printResult returns a function that passes a result to write, unless there is
// an error.
func printResult[T any](write func(T) error) func(T, error) error {
	return func(result T, err error) error {
		if err != nil {
			return err
		}
		return write(result)
	}
}

// Addresses lists the addresses for an account.
func (c *Commander) Addresses(ctx context.Context, account string) error {
	return printResult(c.printer.Addresses)(c.client.Addresses(ctx, account))
}

func (c *Commander) printReference(action string) func(*programs.ProgramRef, error) error {
	return printResult(func(ref *programs.ProgramRef) error { return c.printer.Reference(action, ref) })
}

// Open opens a program.
func (c *Commander) Open(ctx context.Context, p programs.OpenPayload) error {
	return c.printReference("opened")(c.client.Open(ctx, p))
}

// Child opens a sub-agent.
func (c *Commander) Child(ctx context.Context, p programs.ChildPayload) error {
	return c.printReference("opened")(c.client.Child(ctx, p))
}

// End ends a program.
func (c *Commander) End(ctx context.Context, program string) error {
	return c.printReference("ended")(c.client.End(ctx, program))
}

// Show shows a program.
func (c *Commander) Show(ctx context.Context, program string) error {
	return printResult(c.printer.Program)(c.client.Show(ctx, program))
}

// Call runs a call. If file is not empty, it holds the call's body.
func (c *Commander) Call(ctx context.Context, p programs.CallPayload, file string) error {
	if file != "" {
		text, err := c.readFile(file)
		if err != nil {
			return err
		}
		p.Body = text
	}
	callFailed := false
	err := c.client.Call(ctx, p, func(event *programs.Event) error {
		callFailed = event.Failed != nil && *event.Failed
		return c.printer.Event(event)
	})
	if err == nil && callFailed {
		return failure.New(answerFailed, "the upstream ran the call and answered with an error; the answer says why")
	}
	return err
}

// CreatePlan creates a plan from the intent in a file.
func (c *Commander) CreatePlan(ctx context.Context, file string) error {
	text, err := c.readFile(file)
	if err != nil {
		return err
	}
	return printResult(c.printer.Plan)(c.client.CreatePlan(ctx, text))
}

// ShowPlan shows a plan.
func (c *Commander) ShowPlan(ctx context.Context, plan string) error {
	return printResult(c.printer.Plan)(c.client.ShowPlan(ctx, plan))
}

// ConfirmPlan puts a plan in force.
func (c *Commander) ConfirmPlan(ctx context.Context, plan string) error {
	return printResult(c.printer.Plan)(c.client.ConfirmPlan(ctx, plan))
}

// Status shows the state of the system. It returns an error if the system is not
// healthy.
func (c *Commander) Status(ctx context.Context) error {
	result, err := c.client.Status(ctx)
	if err != nil {
		return err
	}
	if err := c.printer.Status(result); err != nil || result.Healthy {
		return err
	}
	return failure.New(unhealthy, "the system has problems; take the next steps that the status names")
}

// View shows the state that the VM at a metrics address knows.
func (c *Commander) View(ctx context.Context) error {
	return printResult(c.printer.View)(c.client.View(ctx))
}

// Upstreams lists the upstreams.
func (c *Commander) Upstreams(ctx context.Context) error {
	return printResult(c.printer.Upstreams)(c.client.Upstreams(ctx))
}

// VMs lists the entry VMs.
func (c *Commander) VMs(ctx context.Context) error {
	return printResult(c.printer.VMs)(c.client.VMs(ctx))
}

func (c *Commander) readFile(file string) (string, error) {
	var text []byte
	var err error
	if file == "-" {
		text, err = io.ReadAll(c.input)
	} else {
		text, err = os.ReadFile(file)
	}
	if err != nil {
		return "", failure.Refusal(failure.InvalidRequest, 0, "the file can't be read: %v; check its name, or use - for the standard input", err)
	}
	return string(text), nil
}
