package enginecaller

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/tmaxmax/go-sse"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/record"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

const (
	// maxText bounds what is read of an answer that is not a stream.
	maxText = 4 << 10
	// maxEvent bounds one event; an event holds one token and the usage.
	maxEvent = 64 << 10
	// closing bounds the wait for the end of the body after the end marker. A
	// body that was read to its end lets its connection be used again.
	closing = 100 * time.Millisecond
)

// run is the state of one Call over all of its connections.
type run struct {
	caller  *Caller
	request Request
	chunk   func(index int, text string) error
	void    func() error
	started time.Time

	texts []string
	// resumed is the position at which the current connection began.
	resumed   int
	usage     *record.Usage
	firstByte time.Duration
	ended     time.Time
}

// callbackError marks an error of a callback.
type callbackError struct{ error }

// received is what the reading goroutine hands over.
type received struct {
	data string
	err  error
}

// connect runs or resumes the request on one connection. It returns nil if the
// answer is whole.
func (r *run) connect(parent context.Context, fresh bool) error {
	ctx, cancel := context.WithCancel(parent)
	r.resumed = len(r.texts)
	r.usage = nil
	inbox := make(chan received)
	go r.read(ctx, fresh, inbox)
	defer func() {
		cancel()
		for range inbox {
			// The inbox is closed after the connection.
			continue
		}
	}()
	limit := r.caller.firstByte
	last := r.caller.timers.Now()
	wait := r.caller.timers.At(last.Add(limit))
	defer func() { wait.Cancel() }()
	for {
		select {
		case <-parent.Done():
			return context.Cause(parent)
		case <-wait.C:
			// The subscription is renewed only when it fires, so that a token
			// costs no timer.
			if due := last.Add(limit); r.caller.timers.Now().Before(due) {
				wait = r.caller.timers.At(due)
				continue
			}
			r.caller.pooled.CloseIdleConnections()
			return TimedOut{Limit: limit}
		case item, open := <-inbox:
			if !open {
				return errors.Annotate(Incomplete, "stream without end marker")
			}
			if item.err != nil {
				return item.err
			}
			last = r.caller.timers.Now()
			if r.firstByte == 0 {
				r.firstByte = last.Sub(r.started)
			}
			done, err := r.accept(item.data)
			if err != nil {
				return err
			}
			// The time that the callback took does not count as silence.
			last = r.caller.timers.Now()
			if limit != r.caller.between {
				limit = r.caller.between
				wait.Cancel()
				wait = r.caller.timers.At(last.Add(limit))
			}
			if done {
				r.ended = last
				r.awaitClose(inbox)
				return r.verify()
			}
		}
	}
}

func (r *run) awaitClose(inbox <-chan received) {
	wait := r.caller.timers.After(closing)
	defer wait.Cancel()
	for {
		select {
		case <-wait.C:
			return
		case _, open := <-inbox:
			if !open {
				return
			}
		}
	}
}

func (r *run) accept(data string) (done bool, err error) {
	e, err := decode(r.request.ID, data)
	if err != nil {
		return false, err
	}
	if e.text != "" {
		r.texts = append(r.texts, e.text)
		if err := r.chunk(len(r.texts)-1, e.text); err != nil {
			return false, callbackError{err}
		}
	}
	if e.usage != nil {
		r.usage = e.usage
	}
	return e.done, nil
}

// verify reports whether the stream is whole. usage counts the tokens of the
// whole answer, including those before the position of a resume.
func (r *run) verify() error {
	if r.usage == nil {
		return errors.Annotate(Incomplete, "stream without usage")
	}
	counted := int(r.usage.OutputTokens)
	if counted == len(r.texts) {
		return nil
	}
	again := r.texts[r.resumed:]
	if counted != len(again) || r.resumed == 0 || !begins(again, r.texts[:r.resumed]) {
		return errors.Annotatef(Miscounted, "%d of %d tokens", len(r.texts), counted)
	}
	if err := r.void(); err != nil {
		return callbackError{err}
	}
	r.texts = again
	for i, text := range again {
		if err := r.chunk(i, text); err != nil {
			return callbackError{err}
		}
	}
	return nil
}

func begins(texts, prefix []string) bool {
	if len(texts) < len(prefix) {
		return false
	}
	for i := range prefix {
		if texts[i] != prefix[i] {
			return false
		}
	}
	return true
}

// resumable reports whether another connection may continue the stream. Before
// the first token there is nothing to resume: the request would run again.
func (r *run) resumable(ctx context.Context, err error) bool {
	if len(r.texts) == 0 || ctx.Err() != nil {
		return false
	}
	var callback callbackError
	var rejected Rejected
	var refused Refused
	if errors.As(err, &refused) && refused.Leaving {
		return false
	}
	return !errors.Is(err, Miscounted) && !errors.As(err, &callback) && !errors.As(err, &rejected)
}

// classify returns the Failure for the error of the last connection. A refusal
// means "not run" only on the first connection.
func (r *run) classify(ctx context.Context, err error, ran bool) Failure {
	var callback callbackError
	var timedOut TimedOut
	var refused Refused
	var rejected Rejected
	switch {
	case errors.As(err, &callback):
		return Abandoned{Delivered: len(r.texts), Cause: callback.error}
	case ctx.Err() != nil:
		return Abandoned{Delivered: len(r.texts), Cause: context.Cause(ctx)}
	case errors.As(err, &timedOut):
		return TimedOut{Delivered: len(r.texts), Limit: timedOut.Limit}
	case errors.As(err, &refused) && !ran:
		return refused
	case errors.As(err, &rejected) && !ran:
		return rejected
	}
	return Broken{Delivered: len(r.texts), Cause: err}
}

func (r *run) result() Result {
	return Result{
		Answer:    record.Answer{Body: strings.Join(r.texts, ""), Usage: *r.usage},
		Chunks:    len(r.texts),
		FirstByte: r.firstByte,
		Duration:  r.ended.Sub(r.started),
	}
}

// read sends the request and hands the events over until the stream or the
// context ends.
func (r *run) read(ctx context.Context, fresh bool, inbox chan<- received) {
	defer close(inbox)
	hand := func(item received) bool {
		select {
		case inbox <- item:
			return true
		case <-ctx.Done():
			return false
		}
	}
	response, err := r.send(ctx, fresh)
	if err != nil {
		hand(received{err: err})
		return
	}
	defer func() { _ = response.Body.Close() }()
	if err := status(response); err != nil {
		hand(received{err: err})
		return
	}
	for e, err := range sse.Read(response.Body, &sse.ReadConfig{MaxEventSize: maxEvent}) {
		if !hand(received{data: e.Data, err: err}) {
			return
		}
	}
}

func (r *run) send(ctx context.Context, fresh bool) (*http.Response, error) {
	body, err := json.Marshal(struct {
		Model         string          `json:"model"`
		Prompt        string          `json:"prompt"`
		MaxTokens     unit.Tokens     `json:"max_tokens"`
		Stream        bool            `json:"stream"`
		StreamOptions map[string]bool `json:"stream_options"`
		RequestID     RequestID       `json:"request_id"`
		Priority      int             `json:"priority"`
		CacheKey      ident.ProgramID `json:"cache_key"`
		ResumeFrom    int             `json:"resume_from,omitempty"`
	}{
		Model: r.request.Model, Prompt: r.request.Prompt, MaxTokens: r.request.MaxTokens,
		Stream: true, StreamOptions: map[string]bool{"include_usage": true},
		RequestID: r.request.ID, Priority: r.request.Priority, CacheKey: r.request.CacheKey,
		ResumeFrom: r.resumed,
	})
	if err != nil {
		return nil, Refused{Cause: err}
	}
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.request.Address+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		return nil, Refused{Cause: err}
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Accept", "text/event-stream")
	client := r.caller.pooled
	if fresh {
		client = r.caller.fresh
	}
	response, err := client.Do(request)
	if err != nil && !connected.Load() {
		// Without a connection no byte was written.
		return nil, Refused{Cause: err}
	}
	return response, err
}

func status(response *http.Response) error {
	leaving := response.Header.Get("X-Upstream-Leaving") == "true"
	switch code := response.StatusCode; {
	case code == http.StatusOK:
		return nil
	case code == http.StatusServiceUnavailable && leaving:
		return Refused{Leaving: true, Cause: Leaving}
	case code == http.StatusTooManyRequests:
		return Refused{Cause: Full}
	case code >= 400 && code < 500:
		// A text that breaks off still tells more than the status.
		text, _ := io.ReadAll(io.LimitReader(response.Body, maxText))
		return Rejected{Status: code, Text: string(text)}
	default:
		return errors.Errorf("engine answers with status %d", code)
	}
}
