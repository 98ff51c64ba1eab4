package server

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/chain"
	"github.com/sassafrasspur/sassafrasspur/internal/failure"
	"github.com/sassafrasspur/sassafrasspur/internal/peer/news"
	"github.com/sassafrasspur/sassafrasspur/internal/peer/protocol"
	"github.com/sassafrasspur/sassafrasspur/internal/request"
)

// shutdownBackoff is the delay that a closing server gives to callers; by then
// its shards have a new owner.
const shutdownBackoff = time.Second

// link is one connection. Its fields but busy are used by the connection's
// reader only.
type link struct {
	server *Server
	stream *protocol.Stream
	hello  *protocol.Hello
	reply  protocol.HelloReply
	// proven is closed when the dialer has shown that it has the key.
	proven chan struct{}
	busy   atomic.Bool
}

// Handle takes a message of the dialer. Any message that the protocol does not
// allow at this point closes the connection.
func (l *link) Handle(ctx context.Context, conn *jsonrpc2.Conn, r *jsonrpc2.Request) {
	if err := l.take(ctx, conn, r); err != nil {
		l.server.logger.Warn().Err(err).Str("method", r.Method).Msg("peer connection closed")
		_ = conn.Close()
	}
}

func (l *link) take(ctx context.Context, conn *jsonrpc2.Conn, r *jsonrpc2.Request) error {
	if r.Notif {
		return errors.NotValidf("notification to the server")
	}
	select {
	case <-l.proven:
	default:
		return errors.Trace(l.greet(ctx, conn, r))
	}
	if r.Method == protocol.MethodPing {
		if l.busy.Load() {
			return errors.NotValidf("ping during a request")
		}
		return errors.Trace(conn.Reply(ctx, r.ID, struct{}{}))
	}
	if r.Method != protocol.MethodGossip && !protocol.Carries(r.Method) {
		return errors.NotValidf("method")
	}
	if !l.busy.CompareAndSwap(false, true) {
		return errors.NotValidf("second request during a request")
	}
	if !l.server.begin() {
		l.respond(conn, r.ID, nil, failure.Refusal(failure.ShuttingDown, shutdownBackoff,
			"this entry VM is shutting down; repeat the request at another address"))
		return nil
	}
	go func() {
		defer l.server.work.Done()
		if r.Method == protocol.MethodGossip {
			l.gossip(conn, r)
			return
		}
		l.run(conn, r)
	}()
	return nil
}

func (l *link) greet(ctx context.Context, conn *jsonrpc2.Conn, r *jsonrpc2.Request) error {
	switch {
	case r.Method == protocol.MethodHello && l.hello == nil:
		var hello protocol.Hello
		if err := protocol.Unmarshal(r.Params, &hello); err != nil {
			return errors.Trace(err)
		}
		l.hello = &hello
		l.reply = protocol.HelloReply{VM: l.server.vm, Nonce: protocol.NewNonce()}
		l.reply.Proof = protocol.Prove(l.server.key, protocol.ServerSide, hello, l.reply)
		return errors.Trace(conn.Reply(ctx, r.ID, l.reply))
	case r.Method == protocol.MethodProof && l.hello != nil:
		var proof protocol.Proof
		if err := protocol.Unmarshal(r.Params, &proof); err != nil {
			return errors.Trace(err)
		}
		if !protocol.Proves(proof.Proof, l.server.key, protocol.DialerSide, *l.hello, l.reply) {
			return errors.Unauthorizedf("proof of VM %q", l.hello.VM)
		}
		l.stream.Admit()
		close(l.proven)
		return errors.Trace(conn.Reply(ctx, r.ID, struct{}{}))
	default:
		return errors.Unauthorizedf("message before the proof")
	}
}

func (l *link) gossip(conn *jsonrpc2.Conn, r *jsonrpc2.Request) {
	var heard news.News
	if err := protocol.Unmarshal(r.Params, &heard); err != nil {
		l.respond(conn, r.ID, nil, invalid(err))
		return
	}
	l.respond(conn, r.ID, l.server.gossiper(l.server.ctx, heard), nil)
}

func (l *link) run(conn *jsonrpc2.Conn, r *jsonrpc2.Request) {
	x, err := protocol.Decode(r.Method, r.Params)
	if err != nil {
		l.respond(conn, r.ID, nil, invalid(err))
		return
	}
	s := &sink{conn: conn, call: protocol.CallOf(x.Request)}
	x.Sink = s
	stop := l.keepAlive(conn, s.call)
	err = l.server.handler(l.server.ctx, x)
	stop()
	result, err := resultOf(x, s, err)
	l.respond(conn, r.ID, result, err)
}

// resultOf returns the response to a request that has ended. An end marker
// stands, whatever failed after it: it says that the answer is durable.
func resultOf(x *chain.Exchange, s *sink, err error) (any, error) {
	if s.end != nil {
		return protocol.EndResult(*s.end), nil
	}
	if err != nil {
		return nil, errors.Trace(err)
	}
	if _, ok := x.Request.(request.Call); ok {
		return nil, failure.New(failure.Internal, "the call ended without an end marker; repeat it with the same call id")
	}
	result, err := protocol.ReplyResult(x.Reply)
	return result, errors.Trace(err)
}

// keepAlive sends notifications at an interval until the returned function is
// called, which waits for the last one.
func (l *link) keepAlive(conn *jsonrpc2.Conn, call ident.CallID) func() {
	over, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for {
			next := l.server.timer.After(l.server.aliveInterval)
			select {
			case <-next.C:
				if notify(conn, protocol.NotifyAlive, protocol.Reference{Call: call}) != nil {
					return
				}
			case <-over:
				next.Cancel()
				return
			}
		}
	}()
	return func() {
		close(over)
		<-stopped
	}
}

// respond ends a request. The link is free before the response is sent, because
// the dialer may send the next request as soon as it has the response.
func (l *link) respond(conn *jsonrpc2.Conn, id jsonrpc2.ID, result any, err error) {
	response := &jsonrpc2.Response{ID: id}
	if err == nil {
		err = response.SetResult(result)
	}
	if err != nil {
		response.Result, response.Error = nil, protocol.EncodeError(err)
	}
	l.busy.Store(false)
	if err := conn.SendResponse(context.Background(), response); err != nil {
		l.server.logger.Warn().Err(err).Msg("response to a peer was lost")
		_ = conn.Close()
	}
}

func invalid(err error) error {
	return failure.New(failure.InvalidRequest, "the forwarded request is not valid: %v; check that all entry VMs run the same release", err)
}

// notify closes the connection on an error, since a part of the message may
// have been sent.
func notify(conn *jsonrpc2.Conn, method string, body any) error {
	err := conn.Notify(context.Background(), method, body)
	if err != nil {
		_ = conn.Close()
	}
	return errors.Trace(err)
}

// sink sends the stream of an answer to the dialer. It never fails: the work
// goes on without the connection.
type sink struct {
	conn *jsonrpc2.Conn
	call ident.CallID
	end  *chain.End
}

// Chunk sends a part of the answer.
func (s *sink) Chunk(index int, text string) error {
	_ = notify(s.conn, protocol.NotifyChunk, protocol.Chunk{Call: s.call, Index: index, Text: text})
	return nil
}

// Void voids the parts that were sent.
func (s *sink) Void() error {
	_ = notify(s.conn, protocol.NotifyVoid, protocol.Reference{Call: s.call})
	return nil
}

// End keeps the end marker for the response.
func (s *sink) End(end chain.End) error {
	s.end = &end
	return nil
}
