package enginecaller

import (
	"context"
	"io"
	"net/http"
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

// RequestID identifies one run of a call on an engine. The engine returns it in
// each event.
type RequestID string

// Request is a completion request.
type Request struct {
	// Address is the IP address and port of the engine.
	Address   string
	ID        RequestID
	Model     string
	Prompt    string
	MaxTokens unit.Tokens
	// Priority orders the engine's queue; lower values run first.
	Priority int
	// CacheKey is the program whose prompt prefix the engine caches.
	CacheKey ident.ProgramID
}

// Result is the result of a request that ran to its end.
type Result struct {
	Answer record.Answer
	// Chunks is the number of valid chunks that the callback received.
	Chunks int
	// TimeToFirstEvent is the time from the start of the call to the first event,
	// Duration the time to the end marker.
	TimeToFirstEvent time.Duration
	Duration         time.Duration
}

// Caller sends completion requests to engines. It is safe for concurrent use.
type Caller struct {
	timers            *timer.Service
	firstEventTimeout time.Duration
	idleTimeout       time.Duration
	maxResumes        int
	pooled            *http.Client
	unpooled          *http.Client
	crossed           atomic.Uint64
	onCrossed         func()
}

// Option configures a Caller.
type Option func(*Caller)

// WithFirstEventTimeout sets the timeout for the first event; the default is 30 s.
func WithFirstEventTimeout(limit time.Duration) Option {
	return func(c *Caller) { c.firstEventTimeout = limit }
}

// WithIdleTimeout sets the timeout between two events; the default is 5 s.
func WithIdleTimeout(limit time.Duration) Option {
	return func(c *Caller) { c.idleTimeout = limit }
}

// WithMaxResumes sets how many times a call may be resumed; the default is 3.
func WithMaxResumes(count int) Option {
	return func(c *Caller) { c.maxResumes = count }
}

// WithCrossedCounter sets a function that is called for each stream that is closed
// because it carried an event of another request.
func WithCrossedCounter(count func()) Option {
	return func(c *Caller) { c.onCrossed = count }
}

// New returns a Caller that measures its timeouts with timers.
func New(timers *timer.Service, options ...Option) *Caller {
	c := &Caller{
		timers:            timers,
		firstEventTimeout: 30 * time.Second,
		idleTimeout:       5 * time.Second,
		maxResumes:        3,
		onCrossed:         func() {},
		pooled:            newClient(false),
		unpooled:          newClient(true),
	}
	for _, option := range options {
		option(c)
	}
	return c
}

func newClient(disableKeepAlives bool) *http.Client {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return &http.Client{
		Transport: &http.Transport{
			Protocols:              protocols,
			MaxResponseHeaderBytes: connector.MaxHeadBytes,
			DisableCompression:     true,
			DisableKeepAlives:      disableKeepAlives,
			MaxIdleConnsPerHost:    64,
			IdleConnTimeout:        time.Minute,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Crossed returns the number of streams that were closed because they carried an
// event of another request.
func (c *Caller) Crossed() uint64 { return c.crossed.Load() }

// Call runs a completion and passes each token to chunk, with an index that
// starts at 0. If the engine restarts the answer instead of resuming it, Call
// invokes void and then passes the whole answer to chunk again. A non-nil error
// is one of the variants of Failure.
func (c *Caller) Call(ctx context.Context, request Request, chunk func(index int, text string) error, void func() error) (Result, error) {
	run := &run{
		caller: c, request: request, chunk: chunk, void: void, started: c.timers.Now(),
		memory: answerclaimer.New(ctx, answerclaimer.WithCopies(answerCopies), answerclaimer.WithFree(freeAnswerBytes)),
	}
	for attempt := 0; ; attempt++ {
		err := run.connect(ctx, attempt > 0)
		if err == nil {
			return run.result(), nil
		}
		if errors.Is(err, Crossed) {
			c.crossed.Add(1)
			c.onCrossed()
		}
		if attempt >= c.maxResumes || !run.resumable(ctx, err) {
			return Result{}, run.classify(ctx, err, attempt > 0)
		}
	}
}

// Cancel asks an engine to stop a request. An engine that does not know the
// request confirms as well.
func (c *Caller) Cancel(ctx context.Context, address string, id RequestID) error {
	ctx, cancel := expirer.Context(ctx, c.timers, c.idleTimeout)
	defer cancel()
	target := "http://" + address + "/v1/completions/" + url.PathEscape(string(id)) + "/cancel"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, target, strings.NewReader("{}"))
	if err != nil {
		return errors.Annotate(err, "cancel request")
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.pooled.Do(request)
	if err != nil {
		return errors.Annotatef(err, "cancel at engine %s; retry the cancel", address)
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxBodyBytes))
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("engine %s responded to a cancel with status %d; retry the cancel", address, response.StatusCode)
	}
	return nil
}
