// Package worker is the state of the service stand-in: operations that run
// side by side in a number of slots, and their results.
//
// A filing gets a new receipt each time that it runs, so that a second run of
// the same call can be seen in its result. A look-up depends on its body only.
// The package does no I/O.
package worker

import (
	"slices"
	"strconv"
	"time"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/standin/delayer"
)

// Job is one request to run an operation.
type Job struct {
	Program   ident.ProgramID
	Call      ident.CallID
	Attempt   ident.Attempt
	Operation ident.Operation
	// Digest is the hash of the body.
	Digest string
	// Reject makes the operation fail by its own rules.
	Reject bool
	// Endless makes the operation run until it is abandoned.
	Endless bool
	// Started receives when the run starts, Finished when it ends. Both need a
	// capacity of 1.
	Started  chan struct{}
	Finished chan Result
}

// Result is what a run gave.
type Result struct {
	Program ident.ProgramID
	Call    ident.CallID
	Attempt ident.Attempt
	// Result is empty if the operation failed by its own rules.
	Result string
	// Error is empty if the operation succeeded.
	Error string
}

// Command is a command to the worker. The interface is sealed.
type Command interface{ command() }

// Submit starts a job or lets it wait. Answered by Accepted or QueueFull.
type Submit struct{ Job *Job }

// Abandon ends a job without a result. Answered by Accepted.
type Abandon struct{ Job *Job }

// LookUp reads the first result of a call. Answered by Found.
type LookUp struct {
	Program ident.ProgramID
	Call    ident.CallID
}

// LookUpOther reads the last result of any call but one. Answered by Found.
type LookUpOther struct {
	Program ident.ProgramID
	Call    ident.CallID
}

// ReadLoad reads the load report. Answered by Load.
type ReadLoad struct{}

// ReadCurrentLoad reads the load without its lag. Answered by Load.
type ReadCurrentLoad struct{}

// SetLeaving changes what the load report says. Answered by Accepted.
type SetLeaving struct{ Leaving bool }

func (Submit) command()          {}
func (Abandon) command()         {}
func (LookUp) command()          {}
func (LookUpOther) command()     {}
func (ReadLoad) command()        {}
func (ReadCurrentLoad) command() {}
func (SetLeaving) command()      {}

// Reply is a reply of the worker. The interface is sealed.
type Reply interface{ reply() }

// Accepted means that the command was carried out.
type Accepted struct{}

// QueueFull means that the job did not run.
type QueueFull struct{}

// Found has a result; nil if none is known.
type Found struct{ Result *Result }

// Load is the load report.
type Load struct {
	Running int
	Waiting int
	Leaving bool
}

func (Accepted) reply()  {}
func (QueueFull) reply() {}
func (Found) reply()     {}
func (Load) reply()      {}

// resultLimit bounds the results that are kept; the oldest are dropped.
const resultLimit = 100_000

type callKey struct {
	program ident.ProgramID
	call    ident.CallID
}

type run struct {
	job *Job
	// end is zero for a job that does not end by itself.
	end time.Time
}

// Worker is the state of a service. It is not safe for concurrent use.
type Worker struct {
	slots      int
	queueLimit int
	duration   time.Duration
	lookUps    []ident.Operation
	loadLag    time.Duration

	running  []run
	waiting  []*Job
	load     *delayer.Delayer[Load]
	leaving  bool
	results  map[callKey]*Result
	order    []callKey
	receipts int
}

// Option changes how New builds a Worker.
type Option func(*Worker)

// WithSlots sets how many operations run side by side.
func WithSlots(n int) Option { return func(w *Worker) { w.slots = n } }

// WithQueue sets how many jobs may wait.
func WithQueue(n int) Option { return func(w *Worker) { w.queueLimit = n } }

// WithDuration sets the run time of an operation.
func WithDuration(d time.Duration) Option { return func(w *Worker) { w.duration = d } }

// WithLookUps names the operations that are idempotent; all others are filings.
func WithLookUps(operations ...ident.Operation) Option {
	return func(w *Worker) { w.lookUps = operations }
}

// WithLoadLag sets the age of the load report.
func WithLoadLag(d time.Duration) Option { return func(w *Worker) { w.loadLag = d } }

// New returns an idle service.
func New(options ...Option) *Worker {
	w := &Worker{
		slots: 8, queueLimit: 256, duration: 50 * time.Millisecond,
		lookUps: []ident.Operation{"look_up"}, results: map[callKey]*Result{},
	}
	for _, option := range options {
		option(w)
	}
	w.load = delayer.New(w.loadLag, Load{})
	return w
}

// Handle carries out a command.
func (w *Worker) Handle(now time.Time, c Command) Reply {
	reply := w.handle(now, c)
	w.recordLoad(now)
	return reply
}

func (w *Worker) handle(now time.Time, c Command) Reply {
	switch c := c.(type) {
	case Submit:
		if len(w.running) >= w.slots && len(w.waiting) >= w.queueLimit {
			return QueueFull{}
		}
		w.waiting = append(w.waiting, c.Job)
		w.start(now)
	case Abandon:
		w.waiting = slices.DeleteFunc(w.waiting, func(j *Job) bool { return j == c.Job })
		w.running = slices.DeleteFunc(w.running, func(r run) bool { return r.job == c.Job })
		w.start(now)
	case LookUp:
		return Found{Result: w.results[callKey{c.Program, c.Call}]}
	case LookUpOther:
		return Found{Result: w.other(callKey{c.Program, c.Call})}
	case ReadLoad:
		return w.load.Get(now)
	case ReadCurrentLoad:
		return w.current()
	case SetLeaving:
		w.leaving = c.Leaving
	}
	return Accepted{}
}

func (w *Worker) other(key callKey) *Result {
	for i := len(w.order) - 1; i >= 0; i-- {
		if w.order[i] != key {
			return w.results[w.order[i]]
		}
	}
	return nil
}

func (w *Worker) current() Load {
	return Load{Running: len(w.running), Waiting: len(w.waiting), Leaving: w.leaving}
}

func (w *Worker) recordLoad(now time.Time) { w.load.Set(now, w.current()) }

// Tick ends the runs that are due and returns the time of the next one.
func (w *Worker) Tick(now time.Time) time.Time {
	for {
		next := -1
		for i, r := range w.running {
			if !r.end.IsZero() && (next < 0 || r.end.Before(w.running[next].end)) {
				next = i
			}
		}
		if next < 0 {
			return time.Time{}
		}
		ended := w.running[next]
		if ended.end.After(now) {
			return ended.end
		}
		w.running = slices.Delete(w.running, next, next+1)
		w.finish(ended.job)
		w.start(ended.end)
		w.recordLoad(ended.end)
	}
}

// start runs waiting jobs in their order while slots are free.
func (w *Worker) start(now time.Time) {
	for len(w.running) < w.slots && len(w.waiting) > 0 {
		r := run{job: w.waiting[0]}
		if !r.job.Endless {
			r.end = now.Add(w.duration)
		}
		w.waiting = slices.Delete(w.waiting, 0, 1)
		w.running = append(w.running, r)
		r.job.Started <- struct{}{}
	}
}

func (w *Worker) finish(j *Job) {
	result := Result{Program: j.Program, Call: j.Call, Attempt: j.Attempt}
	switch {
	case j.Reject:
		result.Error = "the body is rejected"
	case slices.Contains(w.lookUps, j.Operation):
		result.Result = string(j.Operation) + "-" + j.Digest
	default:
		w.receipts++
		result.Result = string(j.Operation) + "-" + j.Digest + "-" + strconv.Itoa(w.receipts)
	}
	key := callKey{j.Program, j.Call}
	if _, known := w.results[key]; !known {
		w.results[key] = &result
		w.order = append(w.order, key)
		if len(w.order) > resultLimit {
			delete(w.results, w.order[0])
			w.order = w.order[1:]
		}
	}
	j.Finished <- result
}
