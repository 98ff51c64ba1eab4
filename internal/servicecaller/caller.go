// Package servicecaller calls operations of plain services.
//
// net/http resends some requests by itself: on a reused connection that fails
// before the first byte, after a redirect, for requests with an idempotency
// key, and for refused HTTP/2 streams. Each of these is shut off here, because
// an operation that files something must reach its service at most once.
package servicecaller

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/expirer"
	"github.com/sassafrasspur/sassafrasspur/internal/record"
	"github.com/sassafrasspur/sassafrasspur/internal/timer"
)

// maxAnswer bounds the size of an answer that is read.
const maxAnswer = 4 << 20

// Request is one dispatch of an operation.
type Request struct {
	// Address is the IP address and port of the service.
	Address   string
	Operation ident.Operation
	Program   ident.ProgramID
	Call      ident.CallID
	Attempt   ident.Attempt
	Body      string
}

// Result is the answer to a dispatch.
type Result struct {
	Answer record.Answer
	// FirstByte and Duration are measured from the start of the dispatch.
	FirstByte time.Duration
	Duration  time.Duration
}

// Caller calls services. It is safe for concurrent use.
type Caller struct {
	timers  *timer.Service
	limit   time.Duration
	client  *http.Client
	crossed atomic.Uint64
}

// Option changes how New builds a Caller.
type Option func(*Caller)

// WithLimit sets the longest wait for an answer; the default is 30 s.
func WithLimit(limit time.Duration) Option {
	return func(c *Caller) { c.limit = limit }
}

// New returns a caller whose limit follows the timer service.
func New(timers *timer.Service, options ...Option) *Caller {
	c := &Caller{timers: timers, limit: 30 * time.Second, client: client()}
	for _, option := range options {
		option(c)
	}
	return c
}

// client opens a connection for each request and follows no redirect.
func client() *http.Client {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return &http.Client{
		Transport: &http.Transport{
			Protocols:          protocols,
			DisableKeepAlives:  true,
			DisableCompression: true,
			DialContext:        (&net.Dialer{Timeout: dialLimit}).DialContext,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// dialLimit bounds the time to connect. Nothing was sent when it is over.
const dialLimit = 2 * time.Second

// Crossed returns the number of answers that belonged to another call.
func (c *Caller) Crossed() uint64 { return c.crossed.Load() }

// Call dispatches an operation once. Errors are variants of Failure.
func (c *Caller) Call(ctx context.Context, r Request) (Result, error) {
	started := c.timers.Now()
	ctx, cancel := expirer.Context(ctx, c.timers, c.limit)
	defer cancel()
	request, sent, err := c.request(ctx, r)
	if err != nil {
		return Result{}, Declined{Cause: err}
	}
	response, err := c.client.Do(request)
	if err != nil {
		if !sent.Load() {
			return Result{}, Declined{Cause: err}
		}
		return Result{}, Unresolved{Cause: err}
	}
	defer func() { _ = response.Body.Close() }()
	firstByte := c.timers.Now().Sub(started)
	answer, err := c.read(r, response)
	if err != nil {
		return Result{}, err
	}
	return Result{Answer: answer, FirstByte: firstByte, Duration: c.timers.Now().Sub(started)}, nil
}

// request builds the HTTP request. Its body can't be rewound, and sent is set
// when the first part of the body is read, which comes before any byte is
// written to the connection's peer.
func (c *Caller) request(ctx context.Context, r Request) (*http.Request, *atomic.Bool, error) {
	content, err := json.Marshal(struct {
		Program ident.ProgramID `json:"program"`
		Call    ident.CallID    `json:"call_id"`
		Attempt ident.Attempt   `json:"attempt"`
		Body    string          `json:"body"`
	}{r.Program, r.Call, r.Attempt, r.Body})
	if err != nil {
		return nil, nil, errors.Trace(err)
	}
	sent := &atomic.Bool{}
	target := "http://" + r.Address + "/v1/operations/" + url.PathEscape(string(r.Operation))
	body := &onceReader{content: bytes.NewReader(content), sent: sent}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, target, body)
	if err != nil {
		return nil, nil, errors.Trace(err)
	}
	request.GetBody = nil
	request.ContentLength = int64(len(content))
	request.Header.Set("Content-Type", "application/json")
	return request, sent, nil
}

// onceReader notes when the body begins to be sent.
type onceReader struct {
	content io.Reader
	sent    *atomic.Bool
}

// Read reads the body.
func (o *onceReader) Read(p []byte) (int, error) {
	o.sent.Store(true)
	return o.content.Read(p)
}

// read checks that the answer is whole and belongs to the call.
func (c *Caller) read(r Request, response *http.Response) (record.Answer, error) {
	switch code := response.StatusCode; {
	case code == http.StatusServiceUnavailable && response.Header.Get("X-Upstream-Leaving") == "true":
		return record.Answer{}, Declined{Leaving: true, Cause: errors.New("the service is leaving")}
	case code == http.StatusTooManyRequests:
		return record.Answer{}, Declined{Cause: errors.New("the service is full")}
	case code != http.StatusOK && code != http.StatusUnprocessableEntity:
		return record.Answer{}, Unresolved{Cause: errors.Errorf("the service answers with status %d", code)}
	}
	content, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer))
	if err != nil {
		return record.Answer{}, Unresolved{Cause: err}
	}
	var body struct {
		Program ident.ProgramID `json:"program"`
		Call    ident.CallID    `json:"call_id"`
		Attempt ident.Attempt   `json:"attempt"`
		Result  string          `json:"result"`
		Error   string          `json:"error"`
	}
	if err := json.Unmarshal(content, &body); err != nil {
		return record.Answer{}, Unresolved{Cause: errors.Annotate(err, "answer")}
	}
	if body.Program != r.Program || body.Call != r.Call || body.Attempt != r.Attempt {
		c.crossed.Add(1)
		return record.Answer{}, Unresolved{Cause: errors.New("the answer belongs to another call")}
	}
	answer := record.Answer{Body: body.Result, Usage: record.Usage{Calls: 1}}
	if response.StatusCode == http.StatusUnprocessableEntity {
		answer.Body, answer.Failed = body.Error, true
	}
	return answer, nil
}
