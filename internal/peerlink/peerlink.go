// Package peerlink connects entry VMs by JSON-RPC, over which they ask each
// other for grants of turns, and for calls of the platform's store while that
// turns them away.
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
	// dialLimit bounds the opening of a connection in a failure domain.
	dialLimit = 100 * time.Millisecond
	// failurePause is how long a peer is not asked that did not answer.
	failurePause = 500 * time.Millisecond
	// takeLimit bounds the wait for a grant: the time for which the peer waits for
	// the store, and 100 ms for a VM that runs slowly.
	takeLimit = escrow.PeerWait + 100*time.Millisecond
	// codeRefused marks an error whose data is a refusal.
	codeRefused = 1
)

// Peerlink serves and asks peers.
type Peerlink struct {
	store  rows.Store
	timers *timer.Service
	dialer net.Dialer
	report func(error)

	mu    sync.Mutex
	links map[string]*link
}

// link is the connection to one peer.
type link struct {
	mu         sync.Mutex
	conn       *jsonrpc2.Conn
	pauseUntil time.Time
}

// New returns a Peerlink that calls the store for peers, directly. Errors that
// no caller learns of are given to report.
func New(store rows.Store, timers *timer.Service, report func(error)) *Peerlink {
	return &Peerlink{
		store: store, timers: timers, report: report, links: map[string]*link{},
		dialer: net.Dialer{Timeout: dialLimit, Control: connector.BoundSilence},
	}
}

// returned ends a grant.
type returned struct {
	Grant escrow.Grant `json:"grant"`
	Used  unit.Tokens  `json:"used"`
}

// Serve answers the peers of a listener until it is closed, with grants from an
// escrow and the newest view of this VM.
func (p *Peerlink) Serve(ctx context.Context, listener net.Listener, own *escrow.Escrow, view func() snapshot.Entry) {
	handle := func(ctx context.Context, _ *jsonrpc2.Conn, r *jsonrpc2.Request) (any, error) {
		if r.Method == methodUpstreams || r.Method == methodMembers {
			return p.handleList(r, view())
		}
		return p.handle(ctx, r, own)
	}
	for {
		conn, err := listener.Accept()
		if err != nil {
			if !errors.Is(err, net.ErrClosed) {
				p.report(errors.Annotate(err, "accept a peer"))
			}
			return
		}
		stream := jsonrpc2.NewBufferedStream(conn, jsonrpc2.VSCodeObjectCodec{})
		jsonrpc2.NewConn(ctx, stream, jsonrpc2.AsyncHandler(jsonrpc2.HandlerWithError(handle).SuppressErrClosed()), jsonrpc2.SetLogger(p))
	}
}

// Printf reports what the library has to say.
func (p *Peerlink) Printf(format string, args ...any) {
	p.report(errors.Errorf(format, args...))
}

// handle answers one message of a peer.
func (p *Peerlink) handle(ctx context.Context, r *jsonrpc2.Request, own *escrow.Escrow) (any, error) {
	if r.Params == nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "no parameters"}
	}
	switch r.Method {
	case methodTake:
		var request escrow.Request
		if err := json.Unmarshal(*r.Params, &request); err != nil {
			return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
		}
		waiting, cancel := context.WithTimeout(ctx, escrow.PeerWait)
		defer cancel()
		grant, err := own.Take(waiting, request)
		if err != nil {
			return nil, refusal(err)
		}
		return grant, nil
	case methodReturn:
		var end returned
		if err := json.Unmarshal(*r.Params, &end); err != nil {
			return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
		}
		own.Return(end.Grant, end.Used)
		return nil, nil
	}
	return p.handleStore(ctx, r)
}

// refusal is an error as it goes to the peer.
func refusal(err error) *jsonrpc2.Error {
	e := &jsonrpc2.Error{Code: codeRefused, Message: err.Error()}
	e.SetError(failure.From(err))
	return e
}

// Take asks the peer at an address for a grant.
func (p *Peerlink) Take(ctx context.Context, address string, r escrow.Request) (escrow.Grant, error) {
	var grant escrow.Grant
	err := p.call(ctx, address, takeLimit, methodTake, r, &grant)
	var answered *jsonrpc2.Error
	switch {
	case err == nil:
		return grant, nil
	case errors.As(err, &answered) && answered.Code == codeRefused && answered.Data != nil:
		known := &failure.Error{}
		if err := json.Unmarshal(*answered.Data, known); err != nil {
			return grant, errors.Annotate(err, "refusal of a peer")
		}
		return grant, known
	}
	return grant, errors.Annotatef(err, "peer at %s", address)
}

// call asks a peer. A connection is closed if the peer does not answer within the
// limit. One whose caller has no time left stays: others use it as well.
func (p *Peerlink) call(ctx context.Context, address string, limit time.Duration, method string, question, answer any) error {
	l := p.link(address)
	conn, err := p.connect(ctx, l, address)
	if err != nil {
		return errUnreached{err}
	}
	limited, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	err = conn.Call(limited, method, question, answer)
	var answered *jsonrpc2.Error
	if err != nil && !errors.As(err, &answered) && ctx.Err() == nil {
		p.drop(l, conn)
	}
	return err
}

// errUnreached is an error of a peer to which nothing was sent.
type errUnreached struct{ error }

func (e errUnreached) Unwrap() error { return e.error }

// Return ends a grant of the peer at an address. A grant whose return is lost
// counts at its largest size.
func (p *Peerlink) Return(address string, g escrow.Grant, used unit.Tokens) {
	ctx, cancel := context.WithTimeout(context.Background(), dialLimit)
	defer cancel()
	l := p.link(address)
	conn, err := p.connect(ctx, l, address)
	if err == nil {
		err = conn.Notify(ctx, methodReturn, returned{Grant: g, Used: used})
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

// connect returns the open connection of a link, or opens one.
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
	if p.timers.Now().Before(l.pauseUntil) {
		return nil, errors.Errorf("peer at %s did not answer lately", address)
	}
	conn, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		l.pauseUntil = p.timers.Now().Add(failurePause)
		return nil, errors.Annotatef(err, "connect to peer at %s", address)
	}
	stream := jsonrpc2.NewBufferedStream(conn, jsonrpc2.VSCodeObjectCodec{})
	l.conn = jsonrpc2.NewConn(context.Background(), stream, jsonrpc2.HandlerWithError(refuseCalls), jsonrpc2.SetLogger(p))
	return l.conn, nil
}

// refuseCalls answers calls that come over a connection that this VM opened.
func refuseCalls(_ context.Context, _ *jsonrpc2.Conn, r *jsonrpc2.Request) (any, error) {
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: r.Method}
}

// drop closes a connection whose peer did not answer.
func (p *Peerlink) drop(l *link, conn *jsonrpc2.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pauseUntil = p.timers.Now().Add(failurePause)
	if l.conn == conn {
		l.conn = nil
		if err := conn.Close(); err != nil {
			p.report(errors.Annotate(err, "close a connection to a peer"))
		}
	}
}
