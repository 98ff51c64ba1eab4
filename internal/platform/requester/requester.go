// Package requester sends HTTP requests to the platform, each within a bounded
// time.
//
// Connections are kept for reuse. After a request that was not answered in
// time, all idle connections are closed: they probably lead to the same silent
// peer, and a connection that swallows bytes gives no other sign.
package requester

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"
)

const (
	defaultTimeout = 2 * time.Second
	// idleConnections is above the number of requests that one entry VM has
	// under way to the platform; net/http would keep only 2.
	idleConnections = 32
	keepAlive       = 5 * time.Second
)

// Requester is the HTTP client of the SDK's clients and of the VM list.
type Requester struct {
	client    *http.Client
	transport *http.Transport
	timeout   time.Duration
	observe   func(request *http.Request, err error)
}

// Option changes how New builds a Requester.
type Option func(*Requester)

// WithTimeout bounds one request from the dial to the last byte of its body.
func WithTimeout(d time.Duration) Option {
	return func(r *Requester) { r.timeout = d }
}

// WithObserver sets what is told of each request whose header or failure came
// back.
func WithObserver(observe func(request *http.Request, err error)) Option {
	return func(r *Requester) { r.observe = observe }
}

// New returns a Requester.
func New(options ...Option) *Requester {
	r := &Requester{timeout: defaultTimeout, observe: func(*http.Request, error) {}}
	for _, option := range options {
		option(r)
	}
	dialer := &net.Dialer{Timeout: r.timeout, KeepAlive: keepAlive}
	r.transport = &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: idleConnections,
	}
	r.client = &http.Client{
		Transport: r.transport,
		Timeout:   r.timeout,
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
	return r
}

// Do sends a request once.
func (r *Requester) Do(request *http.Request) (*http.Response, error) {
	request, err := detached(request)
	if err != nil {
		return nil, errors.Trace(err)
	}
	response, err := r.client.Do(request)
	r.observe(request, err)
	if err != nil {
		r.transport.CloseIdleConnections()
		return nil, errors.Trace(err)
	}
	response.Body = &body{ReadCloser: response.Body, transport: r.transport}
	return response, nil
}

// detached returns a request with a copy of the body. The SDK closes its own
// body as soon as an answer is there, at times before net/http has seen the
// body's end; the write then counts as failed and the connection is lost. The
// copy can't be rewound, so that net/http never sends it twice.
func detached(request *http.Request) (*http.Request, error) {
	if request.Body == nil || request.Body == http.NoBody {
		return request, nil
	}
	content, err := io.ReadAll(request.Body)
	_ = request.Body.Close()
	if err != nil {
		return nil, errors.Trace(err)
	}
	request = request.Clone(request.Context())
	request.Body = io.NopCloser(bytes.NewReader(content))
	request.GetBody = nil
	return request, nil
}

// body closes idle connections when an answer breaks off.
type body struct {
	io.ReadCloser
	transport *http.Transport
}

// Read passes io.EOF unwrapped, as io.Reader demands.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		b.transport.CloseIdleConnections()
	}
	return n, err
}
