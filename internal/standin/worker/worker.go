// Package worker is the state machine of the service stand-in: operations that
// run concurrently in a number of slots, and their results.
//
// The result of a non-idempotent operation contains a receipt number that is new
// for each run, so that a repeated run of the same call shows in its result. The
// result of a look-up, an idempotent operation, depends only on its body. The
// package does no I/O.
package worker

import (
	"slices"
	"strconv"
	"time"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/standin/delayer"
)

// Job is a request to run an operation.
type Job struct {
	Program   ident.ProgramID
	Call      ident.CallID
	Attempt   ident.Attempt
	Operation ident.Operation
	// Digest is the hash of the body.
	Digest string
	// Reject makes the operation reject its body.
	Reject bool
	// Endless makes the operation run until it is aborted with Abandon.
	Endless bool
	// Started receives a value when the run starts, Finished the result when it
	// ends. Both must have a capacity of 1.
	Started  chan struct{}
	Finished chan Result
}

// Result is the result of a run.
type Result struct {
	Program ident.ProgramID
	Call    ident.CallID
	Attempt ident.Attempt
	// Result is empty if the operation rejected its body.
	Result string
	// Error is empty if the operation succeeded.
	Error string
}

// Command is a command to the worker. The interface is sealed.
type Command interface{ command() }

// Submit starts or queues a job. The reply is Accepted or QueueFull.
type Submit struct{ Job *Job }

// Abandon aborts a job without a result. The reply is Accepted.
type Abandon struct{ Job *Job }

// LookUp reads the first result of a call. The reply is Found.
type LookUp struct {
	Program ident.ProgramID
	Call    ident.CallID
}

// LookUpOther reads the result of the latest call other than the given one. The
// reply is Found.
type LookUpOther struct {
	Program ident.ProgramID
	Call    ident.CallID
}

// ReadLoad reads the load report. The reply is Load.
type ReadLoad struct{}

// ReadCurrentLoad reads the load without the delay of the load report. The reply
// is Load.
type ReadCurrentLoad struct{}

// SetLeaving sets whether the load report says that the service is leaving. The
// reply is Accepted.
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

// Accepted means that the command was executed.
type Accepted struct{}

// QueueFull means that the queue is full and the job did not run.
type QueueFull struct{}

// Found is the outcome of a look-up; Result is nil if none is known.
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

// resultLimit is the number of results that are kept; the oldest are dropped.
const resultLimit = 100_000

type callKey struct {
	program ident.ProgramID
	call    ident.CallID
}

type run struct {
	job *Job
	// end is zero if the job runs until it is aborted.
	end time.Time
}

// Worker is the state machine of a service. It is not safe for concurrent use.
type Worker struct {
	slots      int
	queueLimit int
	duration   time.Duration
	lookUps    []ident.Operation
	loadLag    time.Duration

	running      []run
	waiting      []*Job
	load         *delayer.Delayer[Load]
	leaving      bool
	results      map[callKey]*Result
	resultOrder  []callKey
	receiptCount int
}

// Option configures a Worker.
type Option func(*Worker)

// WithSlots sets how many operations can run concurrently.
func WithSlots(n int) Option { return func(w *Worker) { w.slots = n } }

// WithQueue sets the capacity of the queue.
func WithQueue(n int) Option { return func(w *Worker) { w.queueLimit = n } }

// WithDuration sets the run time of an operation.
func WithDuration(d time.Duration) Option { return func(w *Worker) { w.duration = d } }

// WithLookUps sets the idempotent operations; all others are non-idempotent.
func WithLookUps(operations ...ident.Operation) Option {
	return func(w *Worker) { w.lookUps = operations }
}

// WithLoadLag sets the delay of the load report.
func WithLoadLag(d time.Duration) Option { return func(w *Worker) { w.loadLag = d } }

// New returns an idle Worker.
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

// Handle executes a command.
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
		return Found{Result: w.latestExcept(callKey{c.Program, c.Call})}
	case ReadLoad:
		return w.load.Get(now)
	case ReadCurrentLoad:
		return w.currentLoad()
	case SetLeaving:
		w.leaving = c.Leaving
	}
	return Accepted{}
}

func (w *Worker) latestExcept(key callKey) *Result {
	for i := len(w.resultOrder) - 1; i >= 0; i-- {
		if w.resultOrder[i] != key {
			return w.results[w.resultOrder[i]]
		}
	}
	return nil
}

func (w *Worker) currentLoad() Load {
	return Load{Running: len(w.running), Waiting: len(w.waiting), Leaving: w.leaving}
}

func (w *Worker) recordLoad(now time.Time) { w.load.Set(now, w.currentLoad()) }

// Tick finishes the runs that are due and returns the time at which the next one
// is due.
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

// start runs waiting jobs in order of arrival while slots are free.
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
		result.Error = "the operation rejected its body"
	case slices.Contains(w.lookUps, j.Operation):
		result.Result = string(j.Operation) + "-" + j.Digest
	default:
		w.receiptCount++
		result.Result = string(j.Operation) + "-" + j.Digest + "-" + strconv.Itoa(w.receiptCount)
	}
	key := callKey{j.Program, j.Call}
	if _, known := w.results[key]; !known {
		w.results[key] = &result
		w.resultOrder = append(w.resultOrder, key)
		if len(w.resultOrder) > resultLimit {
			delete(w.results, w.resultOrder[0])
			w.resultOrder = w.resultOrder[1:]
		}
	}
	j.Finished <- result
}
