// Package upstreamprober asks upstreams about their load and cache, orders the
// release of engine memory and looks results up.
package upstreamprober

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/juju/errors"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/effect"
	"github.com/sassafrasspur/sassafrasspur/internal/expirer"
	"github.com/sassafrasspur/sassafrasspur/internal/message"
	"github.com/sassafrasspur/sassafrasspur/internal/record"
	"github.com/sassafrasspur/sassafrasspur/internal/timer"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

// maxBody bounds the size of an answer that is read.
const maxBody = 8 << 20

// Prober asks upstreams. It is safe for concurrent use.
type Prober struct {
	timers *timer.Service
	limit  time.Duration
	client *http.Client
}

// Option changes how New builds a Prober.
type Option func(*Prober)

// WithLimit sets the longest wait for an answer; the default is 2 s.
func WithLimit(limit time.Duration) Option {
	return func(p *Prober) { p.limit = limit }
}

// New returns a prober whose limit follows the timer service.
func New(timers *timer.Service, options ...Option) *Prober {
	p := &Prober{timers: timers, limit: 2 * time.Second, client: &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 2,
		IdleConnTimeout:     30 * time.Second,
	}}}
	for _, option := range options {
		option(p)
	}
	return p
}

// ReadLoad reads the load of an upstream.
func (p *Prober) ReadLoad(ctx context.Context, e effect.ReadLoad) message.UpstreamReported {
	reported := message.UpstreamReported{Upstream: e.Upstream, StartedAt: p.timers.Now()}
	var body struct {
		Running       int         `json:"running"`
		Waiting       int         `json:"waiting"`
		WaitingTokens unit.Tokens `json:"waiting_tokens"`
		Leaving       bool        `json:"leaving"`
	}
	if _, err := p.do(ctx, http.MethodGet, e.Address, "/load", nil, &body); err != nil {
		reported.Err = err
		return reported
	}
	reported.Running, reported.Waiting = max(body.Running, 0), max(body.Waiting, 0)
	reported.WaitingTokens, reported.Leaving = max(body.WaitingTokens, 0), body.Leaving
	return reported
}

// ReadCache reads the programs that an engine holds, as a whole.
func (p *Prober) ReadCache(ctx context.Context, e effect.ReadCache) message.CacheRead {
	read := message.CacheRead{Upstream: e.Upstream, Residents: map[ident.ProgramID]unit.Tokens{}}
	var body struct {
		Programs []struct {
			Program ident.ProgramID `json:"program"`
			Tokens  unit.Tokens     `json:"tokens"`
		} `json:"programs"`
	}
	if _, err := p.do(ctx, http.MethodGet, e.Address, "/cache/programs", nil, &body); err != nil {
		read.Err = err
		return read
	}
	for _, held := range body.Programs {
		read.Residents[held.Program] = held.Tokens
	}
	read.Complete = true
	return read
}

// Release orders an engine to free a program's prefix. An engine that has seen
// a higher epoch refuses; the owner with that epoch sees to the release then.
func (p *Prober) Release(ctx context.Context, e effect.Release) message.ReleaseDone {
	order := struct {
		Program ident.ProgramID `json:"program"`
		Epoch   ident.Epoch     `json:"epoch"`
	}{e.Program, e.Epoch}
	_, err := p.do(ctx, http.MethodPost, e.Address, "/cache/release", order, nil)
	return message.ReleaseDone{Program: e.Program, Upstream: e.Upstream, Err: err}
}

// LookUp asks a service for the result of a call.
func (p *Prober) LookUp(ctx context.Context, e effect.LookUp) message.LookedUp {
	found := message.LookedUp{Program: e.Program, Call: e.Call}
	var body struct {
		Program ident.ProgramID `json:"program"`
		Call    ident.CallID    `json:"call_id"`
		Result  string          `json:"result"`
		Error   string          `json:"error"`
	}
	query := url.Values{"program": {string(e.Program)}, "call_id": {string(e.Call)}}
	code, err := p.do(ctx, http.MethodGet, e.Address, "/v1/results?"+query.Encode(), nil, &body)
	if code == http.StatusNotFound {
		return found
	}
	if err != nil {
		found.Err = err
		return found
	}
	if body.Program != e.Program || body.Call != e.Call {
		found.Err = errors.New("the result belongs to another call")
		return found
	}
	found.Found = true
	found.Answer = record.Answer{Body: body.Result, Usage: record.Usage{Calls: 1}}
	if body.Error != "" {
		found.Answer.Body, found.Answer.Failed = body.Error, true
	}
	return found
}

// do sends a request and decodes the answer. It returns the status, 0 if there
// was no answer; a status other than 200 is an error.
func (p *Prober) do(ctx context.Context, method, address, path string, order, answer any) (int, error) {
	ctx, cancel := expirer.Context(ctx, p.timers, p.limit)
	defer cancel()
	var body io.Reader
	if order != nil {
		content, err := json.Marshal(order)
		if err != nil {
			return 0, errors.Trace(err)
		}
		body = bytes.NewReader(content)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, body)
	if err != nil {
		return 0, errors.Trace(err)
	}
	response, err := p.client.Do(request)
	if err != nil {
		// The connection may have gone silent; the next try opens another.
		p.client.CloseIdleConnections()
		return 0, errors.Annotatef(err, "upstream %s", address)
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxBody))
	if err != nil {
		return response.StatusCode, errors.Annotatef(err, "upstream %s", address)
	}
	if response.StatusCode != http.StatusOK && response.StatusCode != http.StatusUnprocessableEntity {
		return response.StatusCode, errors.Errorf("upstream %s answers %s with status %d", address, path, response.StatusCode)
	}
	if answer == nil {
		return response.StatusCode, nil
	}
	return response.StatusCode, errors.Annotatef(json.Unmarshal(content, answer), "upstream %s", address)
}
