package server_test

import (
	"context"
	"encoding/json"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/sassafrasspur/sassafrasspur/internal/chain"
	"github.com/sassafrasspur/sassafrasspur/internal/failure"
	"github.com/sassafrasspur/sassafrasspur/internal/outcome"
	"github.com/sassafrasspur/sassafrasspur/internal/peer/protocol"
	"github.com/sassafrasspur/sassafrasspur/internal/peer/server"
	"github.com/sassafrasspur/sassafrasspur/internal/request"
	"github.com/sassafrasspur/sassafrasspur/internal/timer"
)

var key = []byte("key of the deployment")

func TestServer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "server")
}

// peer is the other end of a connection, which may break the rules.
type peer struct {
	*jsonrpc2.Conn
	stream *protocol.Stream
	signs  chan string
}

// Handle notes the notifications that come.
func (p *peer) Handle(_ context.Context, _ *jsonrpc2.Conn, r *jsonrpc2.Request) { p.signs <- r.Method }

func connect(address string) *peer {
	conn, err := net.Dial("tcp", address)
	Expect(err).NotTo(HaveOccurred())
	p := &peer{stream: protocol.NewStream(conn, time.Second, time.Now), signs: make(chan string, 10)}
	p.Conn = jsonrpc2.NewConn(context.Background(), p.stream, p)
	DeferCleanup(func() { _ = p.Close() })
	return p
}

// greet proves a key and returns the messages of the hello.
func (p *peer) greet(key []byte) (protocol.Proof, error) {
	ctx := context.Background()
	hello := protocol.Hello{VM: "vm-1", Nonce: protocol.NewNonce()}
	var reply protocol.HelloReply
	Expect(p.Call(ctx, protocol.MethodHello, hello, &reply)).To(Succeed())
	proof := protocol.Proof{Proof: protocol.Prove(key, protocol.DialerSide, hello, reply)}
	err := p.Call(ctx, protocol.MethodProof, proof, nil)
	p.stream.Admit()
	return proof, err
}

func forwarded(r request.Request) (string, protocol.Forwarded) {
	method, body, err := protocol.Encode(&chain.Exchange{Request: r})
	Expect(err).NotTo(HaveOccurred())
	return method, body
}

var _ = Describe("Server", func() {
	var (
		ctx     = context.Background()
		clock   *timer.Manual
		address string
		peers   *server.Server
		arrived chan struct{}
		release chan struct{}
		ran     atomic.Int64
	)

	BeforeEach(func() {
		ran.Store(0)
		// The handler of a lost connection may outlive its test.
		arriving, released := make(chan struct{}, 10), make(chan struct{})
		arrived, release = arriving, released
		clock = timer.NewManual(time.Unix(0, 0))
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		address = l.Addr().String()
		peers = server.New(l, server.WithVM("vm-2"), server.WithKey(key), server.WithTimer(timer.New(timer.WithManual(clock))),
			server.WithHelloLimit(2*time.Second), server.WithAliveInterval(time.Second),
			server.WithHandler(func(_ context.Context, x *chain.Exchange) error {
				ran.Add(1)
				arriving <- struct{}{}
				<-released
				x.Reply = outcome.Durable{}
				return nil
			}))
		DeferCleanup(func() {
			expired, cancel := context.WithCancel(ctx)
			cancel()
			_ = peers.Close(expired)
		})
	})

	// Guards against a stranger that runs requests or holds connections.
	It("closes connections without a valid proof", func() {
		method, body := forwarded(request.End{Program: "p"})
		By("a request before the hello")
		p := connect(address)
		Expect(p.Call(ctx, method, body, nil)).To(MatchError(jsonrpc2.ErrClosed))
		By("a request before the proof")
		p = connect(address)
		Expect(p.Call(ctx, protocol.MethodHello, protocol.Hello{VM: "vm-1", Nonce: protocol.NewNonce()}, nil)).To(Succeed())
		Expect(p.Call(ctx, method, body, nil)).To(MatchError(jsonrpc2.ErrClosed))
		By("another key")
		_, err := connect(address).greet([]byte("other"))
		Expect(err).To(MatchError(jsonrpc2.ErrClosed))
		By("the proof of another connection")
		proof, err := connect(address).greet(key)
		Expect(err).NotTo(HaveOccurred())
		p = connect(address)
		Expect(p.Call(ctx, protocol.MethodHello, protocol.Hello{VM: "vm-1", Nonce: protocol.NewNonce()}, nil)).To(Succeed())
		Expect(p.Call(ctx, protocol.MethodProof, proof, nil)).To(MatchError(jsonrpc2.ErrClosed))
		By("a long message before the proof")
		p = connect(address)
		Expect(p.Call(ctx, protocol.MethodHello, protocol.Hello{VM: "vm-1", Nonce: []byte(strings.Repeat("x", 5000))}, nil)).NotTo(Succeed())
		Expect(ran.Load()).To(BeZero())
	})

	// Guards against silent strangers that use up file descriptors.
	It("closes a connection whose proof does not come in time", func() {
		p := connect(address)
		Eventually(clock.Waiting).Should(Equal(1))
		clock.Advance(2 * time.Second)
		Eventually(p.DisconnectNotify()).Should(BeClosed())
	})

	// Guards against two requests whose parts mix on one connection.
	It("closes a connection with a second request during a request", func() {
		p := connect(address)
		_, err := p.greet(key)
		Expect(err).NotTo(HaveOccurred())
		method, body := forwarded(request.End{Program: "p"})
		_, err = p.DispatchCall(ctx, method, body)
		Expect(err).NotTo(HaveOccurred())
		Eventually(arrived).Should(Receive())
		Expect(p.Call(ctx, method, body, nil)).To(MatchError(jsonrpc2.ErrClosed))
		Expect(ran.Load()).To(BeEquivalentTo(1))
		close(release)
	})

	// Guards against a wait that the dialer takes for silence, and against
	// signs that go on after the response.
	It("gives signs at an interval while a request is under way", func() {
		p := connect(address)
		_, err := p.greet(key)
		Expect(err).NotTo(HaveOccurred())
		method, body := forwarded(request.End{Program: "p"})
		waiter, err := p.DispatchCall(ctx, method, body)
		Expect(err).NotTo(HaveOccurred())
		Eventually(arrived).Should(Receive())
		for range 3 {
			Eventually(clock.Waiting).Should(Equal(1))
			clock.Advance(time.Second)
			Eventually(p.signs).Should(Receive(Equal(protocol.NotifyAlive)))
		}
		close(release)
		var result json.RawMessage
		Expect(waiter.Wait(ctx, &result)).To(Succeed())
		Eventually(clock.Waiting).Should(BeZero())
		Expect(p.signs).To(BeEmpty())
	})

	// Guards against a shutdown that interrupts requests, and against an untrue
	// answer to those that come too late.
	It("ends requests and refuses new ones when it closes", func() {
		busy, late := connect(address), connect(address)
		for _, p := range []*peer{busy, late} {
			_, err := p.greet(key)
			Expect(err).NotTo(HaveOccurred())
		}
		method, body := forwarded(request.End{Program: "p"})
		waiter, err := busy.DispatchCall(ctx, method, body)
		Expect(err).NotTo(HaveOccurred())
		Eventually(arrived).Should(Receive())
		closed := make(chan error, 1)
		go func() { closed <- peers.Close(ctx) }()
		Eventually(func() error {
			conn, err := net.Dial("tcp", address)
			if err == nil {
				_ = conn.Close()
			}
			return err
		}).Should(HaveOccurred())
		known, ok := protocol.DecodeError(late.Call(ctx, method, body, nil))
		Expect(ok).To(BeTrue())
		Expect(known.Kind).To(Equal(failure.ShuttingDown))
		Expect(known.NotRun).To(BeTrue())
		Consistently(closed, "50ms").ShouldNot(Receive())
		close(release)
		Expect(waiter.Wait(ctx, nil)).To(Succeed())
		Eventually(closed).Should(Receive(BeNil()))
		Eventually(late.DisconnectNotify()).Should(BeClosed())
		Expect(ran.Load()).To(BeEquivalentTo(1))
	})
})
