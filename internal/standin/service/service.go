// Package service is a stand-in for a plain service with idempotent look-ups and
// non-idempotent operations.
//
// Its state is a worker.Worker that is owned by one goroutine. A run continues
// when its client disconnects, so its result can be looked up later.
package service

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/standin/injector"
	"github.com/sassafrasspur/sassafrasspur/internal/standin/responder"
	"github.com/sassafrasspur/sassafrasspur/internal/standin/runner"
	"github.com/sassafrasspur/sassafrasspur/internal/standin/worker"
	"github.com/sassafrasspur/sassafrasspur/internal/timer"
)

// Service is a simulated plain service. It is safe for concurrent use.
type Service struct {
	timers        *timer.Service
	workerOptions []worker.Option
	runner        *runner.Runner[worker.Command, worker.Reply]
	injector      *injector.Injector
	handler       http.Handler
	closing       chan struct{}
	closeOnce     sync.Once
}

// Option configures a Service.
type Option func(*Service)

func workerOption(o worker.Option) Option {
	return func(s *Service) { s.workerOptions = append(s.workerOptions, o) }
}

// WithTimers sets the timer service.
func WithTimers(t *timer.Service) Option { return func(s *Service) { s.timers = t } }

// WithSlots sets how many operations can run concurrently.
func WithSlots(n int) Option { return workerOption(worker.WithSlots(n)) }

// WithQueue sets the capacity of the queue.
func WithQueue(n int) Option { return workerOption(worker.WithQueue(n)) }

// WithDuration sets the run time of an operation.
func WithDuration(d time.Duration) Option { return workerOption(worker.WithDuration(d)) }

// WithLookUps sets the idempotent operations; all others are non-idempotent.
func WithLookUps(operations ...ident.Operation) Option {
	return workerOption(worker.WithLookUps(operations...))
}

// WithLoadLag sets the delay of the load report.
func WithLoadLag(d time.Duration) Option { return workerOption(worker.WithLoadLag(d)) }

// New starts a service. Close stops it.
func New(options ...Option) *Service {
	s := &Service{timers: timer.New(), closing: make(chan struct{})}
	for _, option := range options {
		option(s)
	}
	s.runner = runner.New[worker.Command, worker.Reply](worker.New(s.workerOptions...), s.timers)
	s.injector = injector.New(injector.WithTimers(s.timers), injector.WithLeavingCallback(func(leaving bool) {
		s.runner.Ask(worker.SetLeaving{Leaving: leaving})
	}))
	mux := http.NewServeMux()
	s.injector.Register(mux)
	mux.HandleFunc("POST /v1/operations/{operation}", s.operate)
	mux.HandleFunc("GET /v1/results", s.lookUp)
	mux.HandleFunc("GET /load", s.load)
	mux.HandleFunc("GET "+injector.ControlPrefix+"stats", s.stats)
	s.handler = s.injector.Filter(mux)
	return s
}

// Handler returns the HTTP handler of the service.
func (s *Service) Handler() http.Handler { return s.handler }

// Close aborts all requests and stops the goroutines of the service.
func (s *Service) Close() {
	s.closeOnce.Do(func() { close(s.closing) })
	s.runner.Close()
	s.injector.Close()
}

func (s *Service) operate(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Program ident.ProgramID `json:"program"`
		CallID  ident.CallID    `json:"call_id"`
		Attempt ident.Attempt   `json:"attempt"`
		Body    json.RawMessage `json:"body"`
	}
	if !responder.DecodeBody(w, r, &body) {
		return
	}
	// The operation rejects a body that is an object whose member reject is
	// true. Bodies of other types are accepted.
	var rules struct {
		Reject bool `json:"reject"`
	}
	_ = json.Unmarshal(body.Body, &rules)
	key := string(body.Program) + "/" + string(body.CallID)
	decision := s.injector.RecordArrival(key)
	if decision.Leaving {
		responder.RejectLeaving(w)
		return
	}
	job := &worker.Job{
		Program: body.Program, Call: body.CallID, Attempt: body.Attempt,
		Operation: ident.Operation(r.PathValue("operation")),
		Digest:    strconv.FormatUint(xxhash.Sum64(body.Body), 16),
		Reject:    rules.Reject, Endless: decision.Hang,
		Started: make(chan struct{}, 1), Finished: make(chan worker.Result, 1),
	}
	switch s.runner.Ask(worker.Submit{Job: job}).(type) {
	case worker.Accepted:
		s.awaitResult(w, r, decision, job, key)
	case worker.QueueFull:
		responder.RejectFull(w)
	default:
		panic(http.ErrAbortHandler)
	}
}

// awaitResult waits for a run and responds with its result, subject to the
// faults of decision. It also waits if the client has disconnected, so that the
// run is counted.
func (s *Service) awaitResult(w http.ResponseWriter, r *http.Request, decision injector.Decision, job *worker.Job, key string) {
	select {
	case <-job.Started:
		s.injector.RecordRun(key)
	case <-s.closing:
		panic(http.ErrAbortHandler)
	}
	if job.Endless {
		select {
		case <-r.Context().Done():
		case <-s.closing:
		}
		s.runner.Ask(worker.Abandon{Job: job})
		panic(http.ErrAbortHandler)
	}
	var result worker.Result
	select {
	case result = <-job.Finished:
	case <-s.closing:
		panic(http.ErrAbortHandler)
	}
	if decision.Drop || s.injector.Delay(r.Context(), decision.Delay) != nil || s.injector.WaitWhileSilent(r.Context()) != nil {
		panic(http.ErrAbortHandler)
	}
	if decision.Crossed {
		result = s.crossedResult(result)
	}
	writeResult(w, result)
}

// crossedResult returns the result of another call or, if there is none, the
// same result under another call ID.
func (s *Service) crossedResult(result worker.Result) worker.Result {
	found, _ := s.runner.Ask(worker.LookUpOther{Program: result.Program, Call: result.Call}).(worker.Found)
	if found.Result != nil {
		return *found.Result
	}
	result.Call = "crossed-" + result.Call
	return result
}

func writeResult(w http.ResponseWriter, result worker.Result) {
	body := map[string]any{"program": result.Program, "call_id": result.Call, "attempt": result.Attempt}
	if result.Error != "" {
		body["error"] = result.Error
		responder.JSON(w, http.StatusUnprocessableEntity, body)
		return
	}
	body["result"] = result.Result
	responder.JSON(w, http.StatusOK, body)
}

func (s *Service) lookUp(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	found, _ := s.runner.Ask(worker.LookUp{
		Program: ident.ProgramID(query.Get("program")), Call: ident.CallID(query.Get("call_id")),
	}).(worker.Found)
	if found.Result == nil {
		responder.Error(w, http.StatusNotFound, "no result of the call is known")
		return
	}
	writeResult(w, *found.Result)
}

func (s *Service) load(w http.ResponseWriter, _ *http.Request) {
	load, _ := s.runner.Ask(worker.ReadLoad{}).(worker.Load)
	responder.JSON(w, http.StatusOK, map[string]any{
		"running": load.Running, "waiting": load.Waiting, "waiting_tokens": 0, "leaving": load.Leaving,
	})
}

func (s *Service) stats(w http.ResponseWriter, _ *http.Request) {
	load, _ := s.runner.Ask(worker.ReadCurrentLoad{}).(worker.Load)
	responder.JSON(w, http.StatusOK, map[string]any{"running": load.Running, "waiting": load.Waiting})
}
