package dialer

import (
	"context"
	"encoding/json"
	"net"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/sassafrasspur/sassafrasspur/internal/peer/protocol"
)

// errUnwritten means that no byte of a request was written.
const errUnwritten = errors.ConstError("connection closed before the request was written")

// link is one connection.
type link struct {
	address string
	stream  *protocol.Stream
	conn    *jsonrpc2.Conn
	// turn is that of the request under way, nil if there is none.
	turn atomic.Pointer[turn]
	// used is when the last request ended; it belongs to the holder of the link.
	used time.Time
}

// turn hands the notifications of one request from the connection's reader to
// the goroutine that made the request. The channel has no buffer, so that all
// notifications have been taken before the reader goes on to the response.
type turn struct {
	notifications chan *jsonrpc2.Request
	over          chan struct{}
}

// conversation is one request and what is expected in return.
type conversation struct {
	method   string
	params   any
	result   any
	notified func(*jsonrpc2.Request) error
	// firstByte and between are the limits on silence.
	firstByte, between time.Duration
}

// Handle takes a message of the server. One that belongs to no request closes
// the connection: it could be taken for a part of the next answer.
func (l *link) Handle(_ context.Context, conn *jsonrpc2.Conn, r *jsonrpc2.Request) {
	t := l.turn.Load()
	if t == nil || !r.Notif {
		_ = conn.Close()
		return
	}
	select {
	case t.notifications <- r:
	case <-t.over:
		_ = conn.Close()
	case <-conn.DisconnectNotify():
	}
}

func (l *link) close() { _ = l.conn.Close() }

func (l *link) isClosed() bool {
	select {
	case <-l.conn.DisconnectNotify():
		return true
	default:
		return false
	}
}

// dial opens a connection on which both sides have proved themselves.
func (d *Dialer) dial(ctx context.Context, address string) (*link, error) {
	conn, err := (&net.Dialer{Timeout: d.helloLimit}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Trace(err)
	}
	l := &link{address: address, stream: protocol.NewStream(conn, d.writeLimit, d.timer.Now), used: d.timer.Now()}
	l.conn = jsonrpc2.NewConn(context.Background(), l.stream, l, jsonrpc2.SetLogger(&d.logger))
	if err := d.greet(ctx, l); err != nil {
		l.close()
		return nil, errors.Annotate(err, "hello")
	}
	return l, nil
}

func (d *Dialer) greet(ctx context.Context, l *link) error {
	hello := protocol.Hello{VM: d.vm, Nonce: protocol.NewNonce()}
	var reply protocol.HelloReply
	if err := d.converse(ctx, l, d.brief(protocol.MethodHello, hello, &reply)); err != nil {
		return errors.Trace(err)
	}
	if !protocol.Proves(reply.Proof, d.key, protocol.ServerSide, hello, reply) {
		return errors.Unauthorizedf("proof of VM %q", reply.VM)
	}
	proof := protocol.Proof{Proof: protocol.Prove(d.key, protocol.DialerSide, hello, reply)}
	if err := d.converse(ctx, l, d.brief(protocol.MethodProof, proof, &struct{}{})); err != nil {
		return errors.Trace(err)
	}
	l.stream.Admit()
	return nil
}

// brief is a conversation about the connection itself.
func (d *Dialer) brief(method string, params, result any) conversation {
	return conversation{method: method, params: params, result: result, firstByte: d.helloLimit, between: d.helloLimit}
}

// converse sends a request and waits for the response. The link is free after
// success and after an error response of the server's; it is closed after any
// other error.
func (d *Dialer) converse(ctx context.Context, l *link, c conversation) error {
	err := d.await(ctx, l, c)
	if _, answered := protocol.DecodeError(err); err != nil && !answered {
		l.close()
	}
	return errors.Trace(err)
}

type response struct {
	body json.RawMessage
	err  error
}

func (d *Dialer) await(ctx context.Context, l *link, c conversation) error {
	t := &turn{notifications: make(chan *jsonrpc2.Request), over: make(chan struct{})}
	l.turn.Store(t)
	defer close(t.over)
	defer l.turn.Store(nil)

	written := l.stream.Written()
	waiter, err := l.conn.DispatchCall(ctx, c.method, c.params)
	if err != nil && l.stream.Written() == written {
		return errors.WithType(err, errUnwritten)
	}
	if err != nil {
		return errors.Annotate(err, "sending the request")
	}
	responses := make(chan response, 1)
	go func() {
		var r response
		// Ends with the response or with the connection.
		r.err = waiter.Wait(context.Background(), &r.body)
		responses <- r
	}()
	w := newWatch(d.timer, l.stream, c.firstByte, c.between)
	defer w.stop()
	for {
		select {
		case n := <-t.notifications:
			if c.notified == nil {
				return errors.NotValidf("notification %q", n.Method)
			}
			if err := c.notified(n); err != nil {
				return errors.Trace(err)
			}
			w.progress()
		case r := <-responses:
			if r.err != nil {
				return errors.Annotate(r.err, "waiting for the response")
			}
			return errors.Annotate(protocol.Unmarshal(&r.body, c.result), "response")
		case <-w.subscription.C:
			if w.silent() {
				return errors.Timeoutf("connection without a sign for its limit;")
			}
		case <-ctx.Done():
			return errors.Annotate(ctx.Err(), "waiting for the response")
		}
	}
}
