// Package injector injects faults into upstream stand-ins and counts the
// requests that arrive and run.
//
// A silent upstream accepts requests but does not process them. When the
// silence ends, requests whose clients are still connected proceed, as if the
// process had been suspended and resumed.
package injector

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/sassafrasspur/sassafrasspur/internal/standin/responder"
	"github.com/sassafrasspur/sassafrasspur/internal/standin/runner"
	"github.com/sassafrasspur/sassafrasspur/internal/timer"
)

// ControlPrefix is the path prefix of the control requests of a stand-in, which
// are exempt from faults.
const ControlPrefix = "/standin/"

// Injector injects the faults of one upstream. It is safe for concurrent use.
type Injector struct {
	timers    *timer.Service
	onLeaving func(bool)
	runner    *runner.Runner[command, reply]
}

// Option configures an Injector.
type Option func(*Injector)

// WithTimers sets the timer service that delays responses.
func WithTimers(t *timer.Service) Option { return func(inj *Injector) { inj.timers = t } }

// WithLeavingCallback sets a function that is called after each change of the
// faults with whether the upstream is leaving.
func WithLeavingCallback(notify func(bool)) Option {
	return func(inj *Injector) { inj.onLeaving = notify }
}

// New starts an Injector without faults. Close stops it.
func New(options ...Option) *Injector {
	inj := &Injector{timers: timer.New(), onLeaving: func(bool) {}}
	for _, option := range options {
		option(inj)
	}
	s := &state{arrivals: map[string]int{}, runs: map[string]int{}}
	inj.runner = runner.New[command, reply](s, inj.timers)
	return inj
}

// Close stops the goroutine of the Injector and waits for it.
func (inj *Injector) Close() { inj.runner.Close() }

// RecordArrival counts the arrival of a request and returns the faults that
// apply to it.
func (inj *Injector) RecordArrival(key string) Decision {
	v, _ := inj.runner.Ask(recordArrival{key: key}).(Decision)
	return v
}

// RecordRun counts the start of a request's execution.
func (inj *Injector) RecordRun(key string) { inj.runner.Ask(recordRun{key: key}) }

// Delay waits for d, or returns the context's error if the context ends first.
func (inj *Injector) Delay(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return nil
	}
	subscription := inj.timers.After(d)
	defer subscription.Cancel()
	select {
	case <-subscription.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// WaitWhileSilent waits until the upstream is no longer silent, or returns the
// context's error if the context ends first.
func (inj *Injector) WaitWhileSilent(ctx context.Context) error {
	for {
		c, _ := inj.runner.Ask(readFaults{}).(faultState)
		if c.resumed == nil {
			return nil
		}
		select {
		case <-c.resumed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Filter holds requests while the upstream is silent.
func (inj *Injector) Filter(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !strings.HasPrefix(r.URL.Path, ControlPrefix) {
			// net/http detects a client disconnect only once the body has
			// been read.
			body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, responder.BodyLimit))
			if err != nil {
				responder.Error(w, http.StatusBadRequest, "read request body: "+err.Error())
				return
			}
			r.Body = io.NopCloser(bytes.NewReader(body))
			if inj.WaitWhileSilent(r.Context()) != nil {
				return
			}
		}
		next.ServeHTTP(w, r)
	})
}

// Register adds the control routes that set faults and report request counts.
func (inj *Injector) Register(mux *http.ServeMux) {
	mux.HandleFunc("POST "+ControlPrefix+"faults", func(w http.ResponseWriter, r *http.Request) {
		var c patch
		if !responder.DecodeBody(w, r, &c) {
			return
		}
		changed, _ := inj.runner.Ask(c).(faultState)
		inj.onLeaving(changed.faults.Leaving)
		responder.JSON(w, http.StatusOK, changed.faults)
	})
	mux.HandleFunc("GET "+ControlPrefix+"arrivals", func(w http.ResponseWriter, _ *http.Request) {
		c, _ := inj.runner.Ask(readCounts{}).(counts)
		responder.JSON(w, http.StatusOK, map[string]any{"arrivals": c.arrivals, "runs": c.runs})
	})
}
