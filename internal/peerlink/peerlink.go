// Package peerlink implements the JSON-RPC protocol between entry VMs. A VM
// requests grants of turns and copies of lists from its peers, and calls the
// platform's store through them while the store refuses its own calls.
package peerlink

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/sassafrasspur/sassafrasspur/internal/connector"
	"github.com/sassafrasspur/sassafrasspur/internal/escrow"
	"github.com/sassafrasspur/sassafrasspur/internal/failure"
	"github.com/sassafrasspur/sassafrasspur/internal/memorylimiter"
	"github.com/sassafrasspur/sassafrasspur/internal/rows"
	"github.com/sassafrasspur/sassafrasspur/internal/snapshot"
	"github.com/sassafrasspur/sassafrasspur/internal/timer"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

const (
	methodTake      = "grant.take"
	methodReturn    = "grant.return"
	methodUpstreams = "upstreams.after"
	methodMembers   = "members.after"
	// dialTimeout bounds connecting to a peer within a failure domain.
	dialTimeout = 100 * time.Millisecond
	// reconnectDelay is the time for which no new connection to a peer is opened
	// after it refused a connection or failed to respond.
	reconnectDelay = 500 * time.Millisecond
	// takeTimeout bounds a request for a grant: the time for which the peer waits
	// for the store, plus 100 ms for delays of a busy VM.
	takeTimeout = escrow.PeerTimeout + 100*time.Millisecond
	// codeRefused marks an error whose data is an encoded failure.Error.
	codeRefused = 1
)

// Peerlink is the client and server of the protocol.
type Peerlink struct {
	store  rows.Store
	timers *timer.Service
	dialer net.Dialer
	report func(error)
	// memory is nil if the memory for messages of peers is not bounded.
	memory *memorylimiter.Memorylimiter

	mu    sync.Mutex
	links map[string]*link
}

// link holds the connection to one peer.
type link struct {
	mu          sync.Mutex
	conn        *jsonrpc2.Conn
	reconnectAt time.Time
}

// Option configures a Peerlink.
type Option func(*Peerlink)

// WithMemory sets the budget from which the messages of peers are claimed. By default
// only the size of each is bounded.
func WithMemory(m *memorylimiter.Memorylimiter) Option { return func(p *Peerlink) { p.memory = m } }

// New returns a Peerlink that serves the store calls of peers from store, which
// must not use peers itself. Errors that are not returned to a caller are passed
// to report.
func New(store rows.Store, timers *timer.Service, report func(error), options ...Option) *Peerlink {
	p := &Peerlink{
		store: store, timers: timers, report: report, links: map[string]*link{},
		dialer: net.Dialer{Timeout: dialTimeout, Control: connector.SetTCPTimeouts},
	}
	for _, option := range options {
		option(p)
	}
	return p
}

// returnRequest returns a grant with the tokens that were used.
type returnRequest struct {
	Grant escrow.Grant `json:"grant"`
	Used  unit.Tokens  `json:"used"`
}

// server has what Serve serves beside grants and lists.
type server struct{ quotas Quotas }

// Serve serves peers until the listener is closed. Grants are taken from the
// local escrow, lists from the current view of this VM.
func (p *Peerlink) Serve(ctx context.Context, listener net.Listener, local *escrow.Escrow, view func() snapshot.Entry, options ...ServeOption) {
	var s server
	for _, option := range options {
		option(&s)
	}
	// A request runs to its end although its peer disconnects.
	handle := func(_ context.Context, _ *jsonrpc2.Conn, r *jsonrpc2.Request) (any, error) {
		switch r.Method {
		case methodUpstreams, methodMembers:
			return p.handleList(r, view())
		case methodQuota:
			return p.handleQuota(r, s.quotas)
		}
		return p.handle(ctx, r, local)
	}
	for {
		conn, err := listener.Accept()
		if err != nil {
			if !errors.Is(err, net.ErrClosed) {
				p.report(errors.Annotate(err, "accept peer connection"))
			}
			return
		}
		p.serveConnection(ctx, conn, jsonrpc2.HandlerWithError(handle).SuppressErrClosed())
	}
}

// Printf reports log messages of the jsonrpc2 library as errors.
func (p *Peerlink) Printf(format string, args ...any) {
	p.report(errors.Errorf(format, args...))
}

// handle serves one request of a peer.
func (p *Peerlink) handle(ctx context.Context, r *jsonrpc2.Request, local *escrow.Escrow) (any, error) {
	if r.Params == nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "no parameters"}
	}
	switch r.Method {
	case methodTake:
		var request escrow.Request
		if err := json.Unmarshal(*r.Params, &request); err != nil {
			return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
		}
		waitCtx, cancel := context.WithTimeout(ctx, escrow.PeerTimeout)
		defer cancel()
		grant, err := local.Take(waitCtx, request)
		if err != nil {
			return nil, encodeRefusal(err)
		}
		return grant, nil
	case methodReturn:
		var request returnRequest
		if err := json.Unmarshal(*r.Params, &request); err != nil {
			return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
		}
		local.Return(request.Grant, request.Used)
		return nil, nil
	}
	return p.handleStore(ctx, r)
}

// encodeRefusal returns the JSON-RPC form of an error of the escrow.
func encodeRefusal(err error) *jsonrpc2.Error {
	e := &jsonrpc2.Error{Code: codeRefused, Message: err.Error()}
	e.SetError(failure.From(err))
	return e
}

// Take requests a grant from the peer at an address.
func (p *Peerlink) Take(ctx context.Context, address string, r escrow.Request) (escrow.Grant, error) {
	var grant escrow.Grant
	err := p.call(ctx, address, takeTimeout, methodTake, r, &grant)
	var rpcErr *jsonrpc2.Error
	switch {
	case err == nil:
		return grant, nil
	case errors.As(err, &rpcErr) && rpcErr.Code == codeRefused && rpcErr.Data != nil:
		known := &failure.Error{}
		if err := json.Unmarshal(*rpcErr.Data, known); err != nil {
			return grant, errors.Annotate(err, "decode error of peer")
		}
		return grant, known
	}
	return grant, errors.Annotatef(err, "peer at %s", address)
}

// call sends a request to a peer. If the peer does not respond within the limit,
// the connection is closed. If the caller's context ends first, the connection
// stays open, because other calls share it.
func (p *Peerlink) call(ctx context.Context, address string, limit time.Duration, method string, params, rpcResult any) error {
	l := p.link(address)
	conn, err := p.connect(ctx, l, address)
	if err != nil {
		return notSentError{err}
	}
	callCtx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	err = conn.Call(callCtx, method, params, rpcResult)
	var rpcErr *jsonrpc2.Error
	if err != nil && !errors.As(err, &rpcErr) && ctx.Err() == nil {
		p.drop(l, conn)
	}
	return err
}

// notSentError is an error that occurred before anything was sent to the peer.
type notSentError struct{ error }

func (e notSentError) Unwrap() error { return e.error }

// Return returns a grant to the peer at an address. If the message is lost, the
// peer counts the grant at its largest size.
func (p *Peerlink) Return(address string, g escrow.Grant, used unit.Tokens) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	l := p.link(address)
	conn, err := p.connect(ctx, l, address)
	if err == nil {
		err = conn.Notify(ctx, methodReturn, returnRequest{Grant: g, Used: used})
	}
	if err != nil {
		p.report(errors.Annotatef(err, "grant of program %s not returned", g.Program))
	}
}

func (p *Peerlink) link(address string) *link {
	p.mu.Lock()
	defer p.mu.Unlock()
	l, ok := p.links[address]
	if !ok {
		l = &link{}
		p.links[address] = l
	}
	return l
}

// connect returns the open connection of a link, or opens a new one unless the
// peer failed within the reconnect delay.
func (p *Peerlink) connect(ctx context.Context, l *link, address string) (*jsonrpc2.Conn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != nil {
		select {
		case <-l.conn.DisconnectNotify():
			l.conn = nil
		default:
			return l.conn, nil
		}
	}
	if p.timers.Now().Before(l.reconnectAt) {
		return nil, errors.Errorf("peer at %s failed recently; not connecting", address)
	}
	conn, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		l.reconnectAt = p.timers.Now().Add(reconnectDelay)
		return nil, errors.Annotatef(err, "connect to peer at %s", address)
	}
	stream := jsonrpc2.NewBufferedStream(conn, &boundedCodec{max: maxResponseBytes})
	l.conn = jsonrpc2.NewConn(context.Background(), stream, jsonrpc2.HandlerWithError(refuseCalls), jsonrpc2.SetLogger(p))
	return l.conn, nil
}

// refuseCalls rejects requests that arrive on an outgoing connection. Peers send
// requests on connections of their own.
func refuseCalls(_ context.Context, _ *jsonrpc2.Conn, r *jsonrpc2.Request) (any, error) {
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: r.Method}
}

// drop closes a connection whose peer did not respond.
func (p *Peerlink) drop(l *link, conn *jsonrpc2.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reconnectAt = p.timers.Now().Add(reconnectDelay)
	if l.conn == conn {
		l.conn = nil
		if err := conn.Close(); err != nil {
			p.report(errors.Annotate(err, "close peer connection"))
		}
	}
}
