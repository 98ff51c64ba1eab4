package servicecaller

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/answerclaimer"
	"github.com/sassafrasspur/sassafrasspur/internal/connector"
	"github.com/sassafrasspur/sassafrasspur/internal/expirer"
	"github.com/sassafrasspur/sassafrasspur/internal/record"
	"github.com/sassafrasspur/sassafrasspur/internal/timer"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

const (
	// answerCopies is the number of copies of an answer: two while it is read, its result
	// as JSON and as text, and its record.
	answerCopies = 5
	// freeAnswerBytes is the size up to which an answer claims no memory.
	freeAnswerBytes unit.Bytes = 4 << 10
)

// Request is one dispatch of a call to a service.
type Request struct {
	// Address is the IP address and port of the service.
	Address   string
	Program   ident.ProgramID
	Call      ident.CallID
	Attempt   ident.Attempt
	Operation ident.Operation
	Body      string
}

// Result is the answer of a service that ran the call.
type Result struct {
	Answer   record.Answer
	Duration time.Duration
}

// Caller sends calls to services. It is safe for concurrent use.
type Caller struct {
	timers         *timer.Service
	timeout        time.Duration
	maxAnswerBytes unit.Bytes
	client         *http.Client
	crossed        atomic.Uint64
	onCrossed      func()
}

// Option configures a Caller.
type Option func(*Caller)

// WithTimeout sets the timeout of a call; the default is 30 s.
func WithTimeout(limit time.Duration) Option {
	return func(c *Caller) { c.timeout = limit }
}

// WithMaxAnswerBytes sets the maximum size of an answer; the default is 4 MiB.
func WithMaxAnswerBytes(size unit.Bytes) Option {
	return func(c *Caller) { c.maxAnswerBytes = size }
}

// WithCrossedCounter sets a function that is called for each answer that belongs to
// another call or attempt.
func WithCrossedCounter(count func()) Option {
	return func(c *Caller) { c.onCrossed = count }
}

// New returns a Caller that measures its timeout with timers.
func New(timers *timer.Service, options ...Option) *Caller {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	c := &Caller{
		timers:         timers,
		timeout:        30 * time.Second,
		maxAnswerBytes: 4 << 20,
		onCrossed:      func() {},
		client: &http.Client{
			// net/http resends a request if the server closed the reused
			// connection. Without keep-alives, no connection is reused.
			Transport: &http.Transport{
				Protocols:              protocols,
				DisableKeepAlives:      true,
				MaxResponseHeaderBytes: connector.MaxHeadBytes,
				DisableCompression:     true,
			},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
	for _, option := range options {
		option(c)
	}
	return c
}

// Crossed returns the number of answers that belonged to another call or attempt.
func (c *Caller) Crossed() uint64 { return c.crossed.Load() }

// Call sends a call at most once and returns its answer. A non-nil error is one
// of the variants of Failure.
func (c *Caller) Call(ctx context.Context, request Request) (Result, error) {
	started := c.timers.Now()
	ctx, cancel := expirer.Context(ctx, c.timers, c.timeout)
	defer cancel()
	response, err := c.send(ctx, request)
	if err != nil {
		return Result{}, err
	}
	defer func() { _ = response.Body.Close() }()
	if err := checkStatus(response); err != nil {
		return Result{}, err
	}
	memory := answerclaimer.New(ctx, answerclaimer.WithCopies(answerCopies), answerclaimer.WithFree(freeAnswerBytes))
	reply, err := ReadReply(memory.Reader(ctx, response.Body), c.maxAnswerBytes)
	if err != nil {
		return Result{}, Unknown{Cause: contextCause(ctx, err)}
	}
	if reply.Program != request.Program || reply.Call != request.Call || reply.Attempt != request.Attempt {
		c.crossed.Add(1)
		c.onCrossed()
		return Result{}, Unknown{Cause: Crossed}
	}
	if reply.Answer.Failed != (response.StatusCode == http.StatusUnprocessableEntity) {
		return Result{}, Unknown{Cause: errors.Annotatef(Malformed, "status %d does not match the body", response.StatusCode)}
	}
	return Result{Answer: reply.Answer, Duration: c.timers.Now().Sub(started)}, nil
}

func (c *Caller) send(ctx context.Context, r Request) (*http.Response, error) {
	body, err := json.Marshal(struct {
		Program ident.ProgramID `json:"program"`
		Call    ident.CallID    `json:"call_id"`
		Attempt ident.Attempt   `json:"attempt"`
		Body    string          `json:"body"`
	}{r.Program, r.Call, r.Attempt, r.Body})
	if err != nil {
		return nil, NotRun{Cause: err}
	}
	var connected atomic.Bool
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	target := "http://" + r.Address + "/v1/operations/" + url.PathEscape(string(r.Operation))
	// The wrapper hides the type of the reader, so that net/http leaves GetBody
	// nil and can't send the body again.
	source := struct{ io.Reader }{strings.NewReader(string(body))}
	request, err := http.NewRequestWithContext(traced, http.MethodPost, target, source)
	if err != nil {
		return nil, NotRun{Cause: err}
	}
	request.ContentLength = int64(len(body))
	request.Header.Set("Content-Type", "application/json")
	response, err := c.client.Do(request)
	switch {
	case err == nil:
		return response, nil
	case !connected.Load():
		// No connection was established, so no byte was sent.
		return nil, NotRun{Cause: contextCause(ctx, err)}
	default:
		return nil, Unknown{Cause: contextCause(ctx, err)}
	}
}

// contextCause returns the cause of the context if it has ended, otherwise err.
func contextCause(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	return err
}

func checkStatus(response *http.Response) error {
	leaving := response.Header.Get("X-Upstream-Leaving") == "true"
	switch code := response.StatusCode; {
	case code == http.StatusOK, code == http.StatusUnprocessableEntity:
		return nil
	case code == http.StatusServiceUnavailable && leaving:
		return NotRun{Leaving: true, Cause: Leaving}
	case code == http.StatusTooManyRequests:
		return NotRun{Cause: Full}
	default:
		return Unknown{Cause: errors.Errorf("service responded with status %d", code)}
	}
}
