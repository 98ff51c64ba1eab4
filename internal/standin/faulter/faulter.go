// Package faulter has the faults of upstream stand-ins and counts the requests
// that arrive and run.
//
// While an upstream is silent, it accepts requests and holds them; when the
// silence ends, those whose clients still wait go on, as after a process that
// was frozen.
package faulter

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/sassafrasspur/sassafrasspur/internal/standin/replier"
	"github.com/sassafrasspur/sassafrasspur/internal/standin/runner"
	"github.com/sassafrasspur/sassafrasspur/internal/timer"
)

// ControlPrefix is the path prefix of the requests that control a stand-in.
// Faults do not apply to them.
const ControlPrefix = "/standin/"

// Faulter decides the faults of one upstream. It is safe for concurrent use.
type Faulter struct {
	timers  *timer.Service
	leaving func(bool)
	runner  *runner.Runner[command, reply]
}

// Option changes how New builds a Faulter.
type Option func(*Faulter)

// WithTimers sets the timer service.
func WithTimers(t *timer.Service) Option { return func(f *Faulter) { f.timers = t } }

// WithLeaving sets a function that is told whether the upstream is leaving
// after each change of the faults.
func WithLeaving(notify func(bool)) Option { return func(f *Faulter) { f.leaving = notify } }

// New starts a Faulter without faults. Close ends it.
func New(options ...Option) *Faulter {
	f := &Faulter{timers: timer.New(), leaving: func(bool) {}}
	for _, option := range options {
		option(f)
	}
	s := &state{arrivals: map[string]int{}, runs: map[string]int{}}
	f.runner = runner.New[command, reply](s, f.timers)
	return f
}

// Close ends the goroutine of the Faulter.
func (f *Faulter) Close() { f.runner.Close() }

// Arrive counts the arrival of a request and returns what happens to it.
func (f *Faulter) Arrive(key string) Verdict {
	v, _ := f.runner.Ask(arrive{key: key}).(Verdict)
	return v
}

// Run counts the start of a run.
func (f *Faulter) Run(key string) { f.runner.Ask(run{key: key}) }

// Delay waits for d. It returns the context's error if that ends first.
func (f *Faulter) Delay(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return nil
	}
	subscription := f.timers.After(d)
	defer subscription.Cancel()
	select {
	case <-subscription.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Wait waits until the upstream is not silent. It returns the context's error
// if that ends first.
func (f *Faulter) Wait(ctx context.Context) error {
	for {
		c, _ := f.runner.Ask(observe{}).(current)
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
func (f *Faulter) Filter(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !strings.HasPrefix(r.URL.Path, ControlPrefix) {
			// net/http notices that the client has gone only after the body
			// was read.
			body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, replier.BodyLimit))
			if err != nil {
				replier.Error(w, http.StatusBadRequest, "the body can't be read: "+err.Error())
				return
			}
			r.Body = io.NopCloser(bytes.NewReader(body))
			if f.Wait(r.Context()) != nil {
				return
			}
		}
		next.ServeHTTP(w, r)
	})
}

// Register adds the paths that set faults and show counts.
func (f *Faulter) Register(mux *http.ServeMux) {
	mux.HandleFunc("POST "+ControlPrefix+"faults", func(w http.ResponseWriter, r *http.Request) {
		var c change
		if !replier.Read(w, r, &c) {
			return
		}
		changed, _ := f.runner.Ask(c).(current)
		f.leaving(changed.faults.Leaving)
		replier.JSON(w, http.StatusOK, changed.faults)
	})
	mux.HandleFunc("GET "+ControlPrefix+"arrivals", func(w http.ResponseWriter, _ *http.Request) {
		c, _ := f.runner.Ask(count{}).(counts)
		replier.JSON(w, http.StatusOK, map[string]any{"arrivals": c.arrivals, "runs": c.runs})
	})
}
