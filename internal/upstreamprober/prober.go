package upstreamprober

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/juju/errors"

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
	timers *timer.Service
	limit  time.Duration
	size   unit.Bytes
	client *http.Client
}

// Option changes how New builds a Prober.
type Option func(*Prober)

// WithLimit limits the time of one operation; the default is 1 s, so that a
// silent upstream is noticed well within the 5 s limit on the age of a view.
func WithLimit(limit time.Duration) Option {
	return func(p *Prober) { p.limit = limit }
}

// WithSize limits the size of an answer; the default is 4 MiB.
func WithSize(size unit.Bytes) Option {
	return func(p *Prober) { p.size = size }
}

// New returns a Prober whose limit follows the timer service.
func New(timers *timer.Service, options ...Option) *Prober {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	p := &Prober{
		timers: timers,
		limit:  time.Second,
		size:   4 << 20,
		client: &http.Client{
			Transport: &http.Transport{
				Protocols:           protocols,
				DisableCompression:  true,
				MaxIdleConnsPerHost: 2,
				IdleConnTimeout:     time.Minute,
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
		err = answer.want(http.StatusOK)
	}
	return message.ReleaseDone{Program: e.Program, Upstream: e.Upstream, Err: annotate(err, "release", e.Address)}
}

// Order gives an engine an order.
func (p *Prober) Order(ctx context.Context, e effect.Order) message.OrderDone {
	answer, err := p.exchange(ctx, http.MethodPost, e.Address, "/orders", encodeOrder(e.Order))
	if err == nil {
		err = answer.want(http.StatusOK)
	}
	return message.OrderDone{OrderID: e.OrderID, Err: annotate(err, "order", e.Address)}
}

// LookUp asks a service for the result of a call, false if it has none.
func (p *Prober) LookUp(ctx context.Context, e effect.LookUp) (record.Answer, bool, error) {
	query := url.Values{"program": {string(e.Program)}, "call_id": {string(e.Call)}}
	answer, err := p.exchange(ctx, http.MethodGet, e.Address, "/v1/results?"+query.Encode(), nil)
	if err != nil {
		return record.Answer{}, false, annotate(err, "result", e.Address)
	}
	if answer.status == http.StatusNotFound {
		return record.Answer{}, false, nil
	}
	reply, err := decodeReply(answer, e)
	return reply.Answer, err == nil, annotate(err, "result", e.Address)
}

// exchange sends a request and reads the whole answer within the limits.
func (p *Prober) exchange(ctx context.Context, method, address, path string, body []byte) (answer, error) {
	ctx, cancel := expirer.Context(ctx, p.timers, p.limit)
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
		return answer{}, cause(ctx, err)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, int64(p.size)+1))
	if err != nil {
		return answer{}, cause(ctx, err)
	}
	if len(data) > int(p.size) {
		return answer{}, errors.Annotatef(servicecaller.TooLong, "more than %d bytes", p.size)
	}
	return answer{status: response.StatusCode, body: data}, nil
}

// cause prefers the reason for which the context ended.
func cause(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	return err
}

func annotate(err error, what, address string) error {
	if err == nil {
		return nil
	}
	return failure.New(failure.UpstreamFailed, "%s of upstream %s: %v; check the upstream", what, address, err)
}
