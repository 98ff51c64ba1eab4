package dialer_test

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/sassafrasspur/sassafrasspur/internal/chain"
	"github.com/sassafrasspur/sassafrasspur/internal/peer/protocol"
)

func listen() net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	return l
}

// forwarder passes bytes to a target and can swallow those of the connections
// that it has, in both directions, without closing them.
type forwarder struct {
	net.Listener
	target string

	mu       sync.Mutex
	swallow  []*atomic.Bool
	conns    []net.Conn
	accepted int
	ended    int
}

func newForwarder(target string) *forwarder {
	f := &forwarder{Listener: listen(), target: target}
	go func() {
		for {
			conn, err := f.Accept()
			if err != nil {
				return
			}
			f.open(conn)
		}
	}()
	return f
}

func (f *forwarder) open(conn net.Conn) {
	onward, err := net.Dial("tcp", f.target)
	if err != nil {
		_ = conn.Close()
		return
	}
	swallow := &atomic.Bool{}
	f.mu.Lock()
	f.accepted++
	f.swallow = append(f.swallow, swallow)
	f.conns = append(f.conns, conn, onward)
	f.mu.Unlock()
	pass := func(to, from net.Conn, ended *int) {
		buffer := make([]byte, 4096)
		for {
			n, err := from.Read(buffer)
			if err != nil {
				f.mu.Lock()
				*ended++
				f.mu.Unlock()
				_ = to.Close()
				return
			}
			if !swallow.Load() {
				_, _ = to.Write(buffer[:n])
			}
		}
	}
	go pass(onward, conn, &f.ended)
	go pass(conn, onward, new(int))
}

// silence swallows all further bytes of the connections that exist now.
func (f *forwarder) silence() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, swallow := range f.swallow {
		swallow.Store(true)
	}
}

// cut closes the connections that exist now.
func (f *forwarder) cut() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, conn := range f.conns {
		_ = conn.Close()
	}
}

// counts returns how many connections were opened, and how many of these the
// dialer's side has closed.
func (f *forwarder) counts() (accepted, ended int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.accepted, f.ended
}

// script is a peer that proves itself and then answers as a test says.
type script func(conn *jsonrpc2.Conn, r *jsonrpc2.Request)

func newScripted(key []byte, answer script) string {
	l := listen()
	DeferCleanup(l.Close)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			var hello protocol.Hello
			var reply protocol.HelloReply
			stream := protocol.NewStream(conn, time.Second, time.Now)
			handler := jsonrpc2.HandlerWithError(func(_ context.Context, c *jsonrpc2.Conn, r *jsonrpc2.Request) (any, error) {
				switch r.Method {
				case protocol.MethodHello:
					_ = json.Unmarshal(*r.Params, &hello)
					reply = protocol.HelloReply{VM: "vm-2", Nonce: protocol.NewNonce()}
					reply.Proof = protocol.Prove(key, protocol.ServerSide, hello, reply)
					return reply, nil
				case protocol.MethodProof:
					stream.Admit()
					return struct{}{}, nil
				}
				answer(c, r)
				return protocol.EndResult(chain.End{Call: "c1", Attempt: 1, Chunks: 1}), nil
			})
			jsonrpc2.NewConn(context.Background(), stream, handler.SuppressErrClosed())
		}
	}()
	return l.Addr().String()
}

// sink keeps what it receives.
type sink struct {
	mu     sync.Mutex
	events []any
	err    error
}

func (s *sink) add(event any) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events = append(s.events, event)
	return s.err
}

func (s *sink) seen() []any {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]any(nil), s.events...)
}

func (s *sink) Chunk(_ int, text string) error { return s.add(text) }
func (s *sink) Void() error                    { return s.add("void") }
func (s *sink) End(end chain.End) error        { return s.add(end) }
