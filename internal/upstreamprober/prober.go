package upstreamprober

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/juju/errors"

	"github.com/sassafrasspur/sassafrasspur/internal/connector"
	"github.com/sassafrasspur/sassafrasspur/internal/effect"
	"github.com/sassafrasspur/sassafrasspur/internal/expirer"
	"github.com/sassafrasspur/sassafrasspur/internal/failure"
	"github.com/sassafrasspur/sassafrasspur/internal/message"
	"github.com/sassafrasspur/sassafrasspur/internal/record"
	"github.com/sassafrasspur/sassafrasspur/internal/servicecaller"
	"github.com/sassafrasspur/sassafrasspur/internal/timer"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

// Prober reads the state of upstreams. It is safe for concurrent use.
type Prober struct {
	timers   *timer.Service
	timeout  time.Duration
	maxBytes unit.Bytes
	client   *http.Client
}

// Option configures a Prober.
type Option func(*Prober)

// WithTimeout sets the timeout of one operation. The default is 1 s, so that an
// upstream that does not respond is detected well within the 5 s limit on the age
// of a view.
func WithTimeout(timeout time.Duration) Option {
	return func(p *Prober) { p.timeout = timeout }
}

// WithMaxBytes limits the size of an answer. The default is 4 MiB.
func WithMaxBytes(maxBytes unit.Bytes) Option {
	return func(p *Prober) { p.maxBytes = maxBytes }
}

// New returns a Prober. Its timeouts use the clock of timers.
func New(timers *timer.Service, options ...Option) *Prober {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	p := &Prober{
		timers:   timers,
		timeout:  time.Second,
		maxBytes: 4 << 20,
		client: &http.Client{
			Transport: &http.Transport{
				Protocols:              protocols,
				MaxResponseHeaderBytes: connector.MaxHeadBytes,
				DisableCompression:     true,
				MaxIdleConnsPerHost:    2,
				IdleConnTimeout:        time.Minute,
			},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
	for _, option := range options {
		option(p)
	}
	return p
}

// ReadLoad reads the load of an upstream.
func (p *Prober) ReadLoad(ctx context.Context, e effect.ReadLoad) message.UpstreamReported {
	started := p.timers.Now()
	answer, err := p.exchange(ctx, http.MethodGet, e.Address, "/load", nil)
	var report message.UpstreamReported
	if err == nil {
		report, err = decodeLoad(answer)
	}
	report.Upstream, report.StartedAt, report.Err = e.Upstream, started, annotate(err, "load", e.Address)
	return report
}

// ReadCache reads the complete list of programs that an engine holds.
func (p *Prober) ReadCache(ctx context.Context, e effect.ReadCache) message.CacheRead {
	answer, err := p.exchange(ctx, http.MethodGet, e.Address, "/cache/programs", nil)
	var report message.CacheRead
	if err == nil {
		report, err = decodeCache(answer)
	}
	report.Upstream, report.Err = e.Upstream, annotate(err, "cache", e.Address)
	return report
}

// Release orders an engine to free a program's memory.
func (p *Prober) Release(ctx context.Context, e effect.Release) message.ReleaseDone {
	answer, err := p.exchange(ctx, http.MethodPost, e.Address, "/cache/release", encodeRelease(e))
	if err == nil {
		err = answer.requireStatus(http.StatusOK)
	}
	return message.ReleaseDone{Program: e.Program, Upstream: e.Upstream, Err: annotate(err, "release", e.Address)}
}

// Order sends an order to an engine.
func (p *Prober) Order(ctx context.Context, e effect.Order) message.OrderDone {
	answer, err := p.exchange(ctx, http.MethodPost, e.Address, "/orders", encodeOrder(e.Order))
	if err == nil {
		err = answer.requireStatus(http.StatusOK)
	}
	return message.OrderDone{OrderID: e.OrderID, Err: annotate(err, "order", e.Address)}
}

// LookUp asks a service for the result of a call. It returns false if the service
// has none.
func (p *Prober) LookUp(ctx context.Context, e effect.LookUp) (record.Answer, bool, error) {
	query := url.Values{"program": {string(e.Program)}, "call_id": {string(e.Call)}}
	answer, err := p.exchange(ctx, http.MethodGet, e.Address, "/v1/results?"+query.Encode(), nil)
	if err != nil {
		return record.Answer{}, false, annotate(err, "result", e.Address)
	}
	if answer.status == http.StatusNotFound {
		return record.Answer{}, false, nil
	}
	reply, err := decodeResult(answer, e)
	return reply.Answer, err == nil, annotate(err, "result", e.Address)
}

// exchange sends a request and reads the complete answer, within the timeout and
// the size limit.
func (p *Prober) exchange(ctx context.Context, method, address, path string, body []byte) (answer, error) {
	ctx, cancel := expirer.Context(ctx, p.timers, p.timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return answer{}, errors.Trace(err)
	}
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := p.client.Do(request)
	if err != nil {
		return answer{}, contextCause(ctx, err)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, int64(p.maxBytes)+1))
	if err != nil {
		return answer{}, contextCause(ctx, err)
	}
	if len(data) > int(p.maxBytes) {
		return answer{}, errors.Annotatef(servicecaller.TooLong, "more than %d bytes", p.maxBytes)
	}
	return answer{status: response.StatusCode, body: data}, nil
}

// contextCause returns the cause for which ctx ended, or err if it has not ended.
func contextCause(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	return err
}

func annotate(err error, operation, address string) error {
	if err == nil {
		return nil
	}
	return failure.New(failure.UpstreamFailed, "%s of upstream %s: %v; check the upstream", operation, address, err)
}
