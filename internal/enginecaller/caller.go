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
	"github.com/sassafrasspur/sassafrasspur/internal/expirer"
	"github.com/sassafrasspur/sassafrasspur/internal/record"
	"github.com/sassafrasspur/sassafrasspur/internal/timer"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

// RequestID names one run of a call at an engine. The engine echoes it.
type RequestID string

// Request is a completion to run.
type Request struct {
	// Address is the IP address and port of the engine.
	Address   string
	ID        RequestID
	Model     string
	Prompt    string
	MaxTokens unit.Tokens
	// Priority orders the engine's queue; lower goes first.
	Priority int
	// CacheKey is the program whose prefix the engine keeps.
	CacheKey ident.ProgramID
}

// Result is a whole completion.
type Result struct {
	Answer record.Answer
	// Chunks is the number of valid chunks that the callback received.
	Chunks int
	// FirstByte and Duration are measured from the start of the call, to the
	// first event and to the end marker.
	FirstByte time.Duration
	Duration  time.Duration
}

// Caller calls engines. It is safe for concurrent use.
type Caller struct {
	timers    *timer.Service
	firstByte time.Duration
	between   time.Duration
	resumes   int
	pooled    *http.Client
	fresh     *http.Client
	crossed   atomic.Uint64
	onCrossed func()
}

// Option changes how New builds a Caller.
type Option func(*Caller)

// WithFirstByte limits the wait for the first event; the default is 30 s.
func WithFirstByte(limit time.Duration) Option {
	return func(c *Caller) { c.firstByte = limit }
}

// WithBetween limits the wait between events; the default is 5 s.
func WithBetween(limit time.Duration) Option {
	return func(c *Caller) { c.between = limit }
}

// WithResumes limits how often one call is resumed; the default is 3.
func WithResumes(count int) Option {
	return func(c *Caller) { c.resumes = count }
}

// WithCrossed sets what is called for each stream that is closed because an
// event belonged to another request.
func WithCrossed(count func()) Option {
	return func(c *Caller) { c.onCrossed = count }
}

// New returns a Caller whose limits follow the timer service.
func New(timers *timer.Service, options ...Option) *Caller {
	c := &Caller{
		timers:    timers,
		firstByte: 30 * time.Second,
		between:   5 * time.Second,
		resumes:   3,
		onCrossed: func() {},
		pooled:    client(false),
		fresh:     client(true),
	}
	for _, option := range options {
		option(c)
	}
	return c
}

func client(fresh bool) *http.Client {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return &http.Client{
		Transport: &http.Transport{
			Protocols:           protocols,
			DisableCompression:  true,
			DisableKeepAlives:   fresh,
			MaxIdleConnsPerHost: 64,
			IdleConnTimeout:     time.Minute,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Crossed returns the number of streams closed because an event belonged to
// another request.
func (c *Caller) Crossed() uint64 { return c.crossed.Load() }

// Call runs a completion. chunk receives each token with its index from 0. void
// is called when the engine began anew instead of resuming; chunk then receives
// the whole answer again. Errors are variants of Failure.
func (c *Caller) Call(ctx context.Context, request Request, chunk func(index int, text string) error, void func() error) (Result, error) {
	run := &run{caller: c, request: request, chunk: chunk, void: void, started: c.timers.Now()}
	for attempt := 0; ; attempt++ {
		err := run.connect(ctx, attempt > 0)
		if err == nil {
			return run.result(), nil
		}
		if errors.Is(err, Crossed) {
			c.crossed.Add(1)
			c.onCrossed()
		}
		if attempt >= c.resumes || !run.resumable(ctx, err) {
			return Result{}, run.classify(ctx, err, attempt > 0)
		}
	}
}

// Cancel orders an engine to end a request. An engine that does not know the
// request confirms, too.
func (c *Caller) Cancel(ctx context.Context, address string, id RequestID) error {
	ctx, cancel := expirer.Context(ctx, c.timers, c.between)
	defer cancel()
	target := "http://" + address + "/v1/completions/" + url.PathEscape(string(id)) + "/cancel"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, target, strings.NewReader("{}"))
	if err != nil {
		return errors.Annotate(err, "cancel request")
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.pooled.Do(request)
	if err != nil {
		return errors.Annotatef(err, "cancel at engine %s; repeat the cancel", address)
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxText))
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("engine %s answers a cancel with status %d; repeat the cancel", address, response.StatusCode)
	}
	return nil
}
