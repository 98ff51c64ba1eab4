package driver

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"github.com/sassafrasspur/sassafrasspur/gen/programs"
	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/failure"
	"github.com/sassafrasspur/sassafrasspur/internal/load/workload"
	"github.com/sassafrasspur/sassafrasspur/internal/timer"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

// Caller sends requests to entry VMs. client.Client is one.
type Caller interface {
	Open(ctx context.Context, p programs.OpenPayload) (*programs.ProgramRef, error)
	Child(ctx context.Context, p programs.ChildPayload) (*programs.ProgramRef, error)
	Call(ctx context.Context, p programs.CallPayload, receive func(*programs.Event) error) error
	End(ctx context.Context, program string) (*programs.ProgramRef, error)
}

// Outcome is what became of a program.
type Outcome struct {
	Program ident.ProgramID
	// Arrival and Done are times from the start of the run. Done is the moment of
	// the last answer, or of the failure.
	Arrival time.Duration
	Done    time.Duration
	// Latency is the time from the arrival to Done without the tool pauses.
	Latency time.Duration
	// Err is nil if all calls were answered.
	Err *failure.Error
	// Refused counts the refusals that said "not run"; Retries counts the
	// requests that were sent again after any failure.
	Refused int
	Retries int
	// Cacheable counts the prompt tokens that an earlier turn had computed;
	// Recomputed counts those of them that were not served from a cache.
	Cacheable  unit.Tokens
	Recomputed unit.Tokens
}

// Driver runs programs.
type Driver struct {
	callers map[ident.Region][]Caller
	timers  *timer.Service
	log     zerolog.Logger
	tries   int
}

// Option changes how New builds a Driver.
type Option func(*Driver)

// WithTimers sets the timer service.
func WithTimers(t *timer.Service) Option { return func(d *Driver) { d.timers = t } }

// WithLog sets the log of failed programs.
func WithLog(log zerolog.Logger) Option { return func(d *Driver) { d.log = log } }

// WithTries sets how often a request is sent in all before its program fails.
func WithTries(n int) Option { return func(d *Driver) { d.tries = n } }

// New returns a driver. Each region has at least one caller; programs of a
// region take its callers in turn.
func New(callers map[ident.Region][]Caller, options ...Option) *Driver {
	d := &Driver{callers: callers, timers: timer.New(), log: zerolog.Nop(), tries: 10}
	for _, option := range options {
		option(d)
	}
	return d
}

// Run starts each program at its arrival and returns the outcomes in the order
// in which the programs ended. If ctx ends, programs that have not arrived are
// left out and the others fail.
func (d *Driver) Run(ctx context.Context, list []workload.Program) []Outcome {
	start := d.timers.Now()
	results := make(chan Outcome, len(list))
	started := 0
	for i, p := range list {
		if d.wait(ctx, start.Add(p.Arrival)) != nil {
			break
		}
		callers := d.callers[p.Region]
		r := &run{driver: d, caller: callers[i%len(callers)], start: start}
		started++
		go func() { results <- r.program(ctx, p) }()
	}
	outcomes := make([]Outcome, 0, started)
	for range started {
		o := <-results
		if o.Err != nil {
			d.log.Warn().Str("program", string(o.Program)).Str("kind", string(o.Err.Kind)).
				Bool("not_run", o.Err.NotRun).Msg(o.Err.Message)
		}
		outcomes = append(outcomes, o)
	}
	return outcomes
}

// wait waits for a moment. It returns the error of ctx if that ends first.
func (d *Driver) wait(ctx context.Context, moment time.Time) error {
	subscription := d.timers.At(moment)
	defer subscription.Cancel()
	select {
	case <-subscription.C:
		return ctx.Err()
	case <-ctx.Done():
		return ctx.Err()
	}
}
