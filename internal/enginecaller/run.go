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
	"github.com/sassafrasspur/sassafrasspur/internal/answerclaimer"
	"github.com/sassafrasspur/sassafrasspur/internal/record"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

const (
	// maxBodyBytes limits how much is read of a response that is not a stream.
	maxBodyBytes = 4 << 10
	// maxEventBytes limits the size of an event, which holds one token and the
	// usage.
	maxEventBytes = 64 << 10
	// maxAnswerBytes limits the text of an answer, as that of services.
	maxAnswerBytes unit.Bytes = 4 << 20
	// answerCopies is the number of copies of an answer: its tokens, the joined text, and
	// its record in JSON.
	answerCopies = 4
	// freeAnswerBytes is the size up to which an answer claims no memory.
	freeAnswerBytes unit.Bytes = 4 << 10
	// tokenOverhead is the memory of a token beside its text.
	tokenOverhead unit.Bytes = 16
	// closeTimeout limits the wait for the end of the body after the end marker.
	// A connection can be reused only if its body was read to the end.
	closeTimeout = 100 * time.Millisecond
)

// run is the state of one Call across all of its connections.
type run struct {
	caller  *Caller
	request Request
	chunk   func(index int, text string) error
	void    func() error
	started time.Time

	tokens []string
	// size is the memory of the tokens, which memory claims.
	size   unit.Bytes
	memory *answerclaimer.Answerclaimer
	// resumeFrom is the position of the first token requested on the current
	// connection.
	resumeFrom       int
	usage            *record.Usage
	timeToFirstEvent time.Duration
	ended            time.Time
}

// callbackError wraps an error that a callback returned.
type callbackError struct{ error }

// readResult is an event or an error that the reading goroutine delivers.
type readResult struct {
	data string
	err  error
}

// connect starts or resumes the request on one connection. It returns nil if the
// answer is complete.
func (r *run) connect(parent context.Context, unpooled bool) error {
	ctx, cancel := context.WithCancel(parent)
	r.resumeFrom = len(r.tokens)
	r.usage = nil
	results := make(chan readResult)
	go r.read(ctx, unpooled, results)
	defer func() {
		cancel()
		for range results {
			// The reading goroutine closes the channel after the connection.
			continue
		}
	}()
	limit := r.caller.firstEventTimeout
	lastEvent := r.caller.timers.Now()
	idleTimer := r.caller.timers.At(lastEvent.Add(limit))
	defer func() { idleTimer.Cancel() }()
	for {
		select {
		case <-parent.Done():
			return context.Cause(parent)
		case <-idleTimer.C:
			// The timer is renewed only when it fires, so that no timer is
			// allocated for each token.
			if due := lastEvent.Add(limit); r.caller.timers.Now().Before(due) {
				idleTimer = r.caller.timers.At(due)
				continue
			}
			r.caller.pooled.CloseIdleConnections()
			return TimedOut{Limit: limit}
		case item, open := <-results:
			if !open {
				return errors.Annotate(Incomplete, "stream without end marker")
			}
			if item.err != nil {
				return item.err
			}
			lastEvent = r.caller.timers.Now()
			if r.timeToFirstEvent == 0 {
				r.timeToFirstEvent = lastEvent.Sub(r.started)
			}
			done, err := r.handleEvent(parent, item.data)
			if err != nil {
				return err
			}
			// The time spent in the callback does not count towards the timeout.
			lastEvent = r.caller.timers.Now()
			if limit != r.caller.idleTimeout {
				limit = r.caller.idleTimeout
				idleTimer.Cancel()
				idleTimer = r.caller.timers.At(lastEvent.Add(limit))
			}
			if done {
				r.ended = lastEvent
				r.awaitClose(results)
				return r.verify()
			}
		}
	}
}

func (r *run) awaitClose(results <-chan readResult) {
	closeTimer := r.caller.timers.After(closeTimeout)
	defer closeTimer.Cancel()
	for {
		select {
		case <-closeTimer.C:
			return
		case _, open := <-results:
			if !open {
				return
			}
		}
	}
}

func (r *run) handleEvent(ctx context.Context, data string) (done bool, err error) {
	e, err := decodeEvent(r.request.ID, data)
	if err != nil {
		return false, err
	}
	if e.text != "" {
		if err := r.keep(ctx, e.text); err != nil {
			return false, err
		}
		if err := r.chunk(len(r.tokens)-1, e.text); err != nil {
			return false, callbackError{err}
		}
	}
	if e.usage != nil {
		r.usage = e.usage
	}
	return e.done, nil
}

// keep adds a token to the answer. It waits for memory, and fails if the engine sends more
// than was asked for: it may send without end.
func (r *run) keep(ctx context.Context, token string) error {
	// An engine may restart an answer that it was to resume.
	if limit := r.request.MaxTokens; limit > 0 && len(r.tokens)-r.resumeFrom >= int(limit) {
		return errors.Annotatef(Excessive, "more than %d tokens", limit)
	}
	r.size += unit.Bytes(len(token)) + tokenOverhead
	if r.size > maxAnswerBytes {
		return errors.Annotatef(Excessive, "more than %d bytes", maxAnswerBytes)
	}
	if _, err := r.memory.Hold(ctx, r.size); err != nil {
		return err
	}
	r.tokens = append(r.tokens, token)
	return nil
}

// verify checks that the stream is complete. The usage counts the tokens of the
// whole answer, including those received before a resume. If the engine restarted
// the answer instead, verify voids the chunks and delivers them again.
func (r *run) verify() error {
	if r.usage == nil {
		return errors.Annotate(Incomplete, "stream without usage")
	}
	reported := int(r.usage.OutputTokens)
	if reported == len(r.tokens) {
		return nil
	}
	restarted := r.tokens[r.resumeFrom:]
	if reported != len(restarted) || r.resumeFrom == 0 || !hasPrefix(restarted, r.tokens[:r.resumeFrom]) {
		return errors.Annotatef(TokenCountMismatch, "received %d of %d tokens", len(r.tokens), reported)
	}
	if err := r.void(); err != nil {
		return callbackError{err}
	}
	r.tokens = restarted
	for i, text := range restarted {
		if err := r.chunk(i, text); err != nil {
			return callbackError{err}
		}
	}
	return nil
}

func hasPrefix(tokens, prefix []string) bool {
	if len(tokens) < len(prefix) {
		return false
	}
	for i := range prefix {
		if tokens[i] != prefix[i] {
			return false
		}
	}
	return true
}

// resumable reports whether a new connection may continue the stream. Before the
// first token there is nothing to resume: the engine would run the request again.
func (r *run) resumable(ctx context.Context, err error) bool {
	if len(r.tokens) == 0 || ctx.Err() != nil {
		return false
	}
	var callback callbackError
	var rejected Rejected
	var notRun NotRun
	if errors.As(err, &notRun) && notRun.Leaving {
		return false
	}
	return !errors.Is(err, TokenCountMismatch) && !errors.Is(err, Excessive) && !errors.As(err, &callback) && !errors.As(err, &rejected)
}

// classify converts the error of the last connection to a Failure. A refusal
// proves that the request did not run only if it came on the first connection.
func (r *run) classify(ctx context.Context, err error, mayHaveRun bool) Failure {
	var callback callbackError
	var timedOut TimedOut
	var notRun NotRun
	var rejected Rejected
	switch {
	case errors.As(err, &callback):
		return Aborted{Delivered: len(r.tokens), Cause: callback.error}
	case ctx.Err() != nil:
		return Aborted{Delivered: len(r.tokens), Cause: context.Cause(ctx)}
	case errors.As(err, &timedOut):
		return TimedOut{Delivered: len(r.tokens), Limit: timedOut.Limit}
	case errors.As(err, &notRun) && !mayHaveRun:
		return notRun
	case errors.As(err, &rejected) && !mayHaveRun:
		return rejected
	}
	return Broken{Delivered: len(r.tokens), Cause: err}
}

func (r *run) result() Result {
	return Result{
		Answer:           record.Answer{Body: strings.Join(r.tokens, ""), Usage: *r.usage},
		Chunks:           len(r.tokens),
		TimeToFirstEvent: r.timeToFirstEvent,
		Duration:         r.ended.Sub(r.started),
	}
}

// read sends the request and delivers its events to results until the stream or
// the context ends.
func (r *run) read(ctx context.Context, unpooled bool, results chan<- readResult) {
	defer close(results)
	deliver := func(item readResult) bool {
		select {
		case results <- item:
			return true
		case <-ctx.Done():
			return false
		}
	}
	response, err := r.send(ctx, unpooled)
	if err != nil {
		deliver(readResult{err: err})
		return
	}
	defer func() { _ = response.Body.Close() }()
	if err := checkStatus(response); err != nil {
		deliver(readResult{err: err})
		return
	}
	for e, err := range sse.Read(response.Body, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if !deliver(readResult{data: e.Data, err: err}) {
			return
		}
	}
}

func (r *run) send(ctx context.Context, unpooled bool) (*http.Response, error) {
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
		ResumeFrom: r.resumeFrom,
	})
	if err != nil {
		return nil, NotRun{Cause: err}
	}
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.request.Address+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		return nil, NotRun{Cause: err}
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Accept", "text/event-stream")
	client := r.caller.pooled
	if unpooled {
		client = r.caller.unpooled
	}
	response, err := client.Do(request)
	if err != nil && !connected.Load() {
		// No connection was established, so no byte was sent.
		return nil, NotRun{Cause: err}
	}
	return response, err
}

func checkStatus(response *http.Response) error {
	leaving := response.Header.Get("X-Upstream-Leaving") == "true"
	switch code := response.StatusCode; {
	case code == http.StatusOK:
		return nil
	case code == http.StatusServiceUnavailable && leaving:
		return NotRun{Leaving: true, Cause: Leaving}
	case code == http.StatusTooManyRequests:
		return NotRun{Cause: Full}
	case code >= 400 && code < 500:
		// A read error is ignored: a truncated body still says more than the
		// status alone.
		text, _ := io.ReadAll(io.LimitReader(response.Body, maxBodyBytes))
		return Rejected{Status: code, Text: string(text)}
	default:
		return errors.Errorf("engine responded with status %d", code)
	}
}
