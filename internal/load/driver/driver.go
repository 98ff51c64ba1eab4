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

// Caller sends requests to entry VMs. client.Client implements it.
type Caller interface {
	Open(ctx context.Context, p programs.OpenPayload) (*programs.ProgramRef, error)
	Child(ctx context.Context, p programs.ChildPayload) (*programs.ProgramRef, error)
	Call(ctx context.Context, p programs.CallPayload, receive func(*programs.Event) error) error
	End(ctx context.Context, program string) (*programs.ProgramRef, error)
}

// Outcome is the result of running one program.
type Outcome struct {
	Program ident.ProgramID
	// Arrival and Done are offsets from the start of the run. Done is the time of
	// the last answer or of the failure.
	Arrival time.Duration
	Done    time.Duration
	// Latency is the time from Arrival to Done, excluding tool pauses.
	Latency time.Duration
	// Err is nil if every call was answered.
	Err *failure.Error
	// Refused counts the refused requests: those reported as "not run", and those
	// reported as overloaded, which carry no "not run" guarantee for a call that
	// was sent before. Retries counts requests sent again after any failure.
	Refused int
	Retries int
	// Cacheable counts the prompt tokens that an earlier turn had already
	// computed. Recomputed counts those that were not served from a cache.
	Cacheable  unit.Tokens
	Recomputed unit.Tokens
}

// Driver runs programs.
type Driver struct {
	callers     map[ident.Region][]Caller
	timers      *timer.Service
	log         zerolog.Logger
	maxAttempts int
}

// Option configures a Driver.
type Option func(*Driver)

// WithTimers sets the timer service that paces arrivals, pauses and retries.
func WithTimers(t *timer.Service) Option { return func(d *Driver) { d.timers = t } }

// WithLog sets the logger for failed programs and, at debug level, for retries.
func WithLog(log zerolog.Logger) Option { return func(d *Driver) { d.log = log } }

// WithMaxAttempts sets how many times a request is sent before its program fails.
// The default is 10.
func WithMaxAttempts(n int) Option { return func(d *Driver) { d.maxAttempts = n } }

// New returns a driver. Each region needs at least one caller; programs are
// assigned to the callers of their region by their position in the workload.
func New(callers map[ident.Region][]Caller, options ...Option) *Driver {
	d := &Driver{callers: callers, timers: timer.New(), log: zerolog.Nop(), maxAttempts: 10}
	for _, option := range options {
		option(d)
	}
	return d
}

// Run starts each program at its arrival time and returns the outcomes in
// completion order. If ctx is done, programs that have not arrived are omitted and
// running ones fail.
func (d *Driver) Run(ctx context.Context, list []workload.Program) []Outcome {
	start := d.timers.Now()
	results := make(chan Outcome, len(list))
	started := 0
	for i, p := range list {
		if d.waitUntil(ctx, start.Add(p.Arrival)) != nil {
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

// waitUntil blocks until deadline. It returns the error of ctx if ctx is done
// first.
func (d *Driver) waitUntil(ctx context.Context, deadline time.Time) error {
	subscription := d.timers.At(deadline)
	defer subscription.Cancel()
	select {
	case <-subscription.C:
		return ctx.Err()
	case <-ctx.Done():
		return ctx.Err()
	}
}
