package dialer_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/juju/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/chain"
	"github.com/sassafrasspur/sassafrasspur/internal/failure"
	"github.com/sassafrasspur/sassafrasspur/internal/outcome"
	"github.com/sassafrasspur/sassafrasspur/internal/peer/dialer"
	"github.com/sassafrasspur/sassafrasspur/internal/peer/news"
	"github.com/sassafrasspur/sassafrasspur/internal/peer/protocol"
	"github.com/sassafrasspur/sassafrasspur/internal/peer/server"
	"github.com/sassafrasspur/sassafrasspur/internal/record"
	"github.com/sassafrasspur/sassafrasspur/internal/request"
)

const limit = 150 * time.Millisecond

var key = []byte("key of the deployment")

func TestDialer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "dialer")
}

func call(id ident.CallID) (*chain.Exchange, *sink) {
	s := &sink{}
	return &chain.Exchange{
		Account: chain.Account{ID: "a", Team: "t", Role: chain.Caller},
		Request: request.Call{Program: "p", Request: record.Request{Call: id, Position: 1, Body: "body"}},
		Sink:    s,
	}, s
}

// expectUnreachable checks the kind and whether the call can have run.
func expectUnreachable(err error, notRun bool) {
	GinkgoHelper()
	Expect(err).To(MatchError(failure.OwnerUnreachable))
	Expect(failure.From(err).NotRun).To(Equal(notRun))
}

var _ = Describe("the link between entry VMs", func() {
	var (
		ctx     context.Context
		handler chain.Handler
		peer    *server.Server
		between *forwarder
		address string
		links   *dialer.Dialer
		ran     atomic.Int64
		end     = chain.End{Call: "c1", Attempt: 2, Chunks: 1, Answer: record.Answer{Body: "two"}}
	)

	newDialer := func(options ...dialer.Option) *dialer.Dialer {
		d := dialer.New(append([]dialer.Option{
			dialer.WithVM("vm-1"), dialer.WithKey(key), dialer.WithHelloLimit(limit),
			dialer.WithSilenceLimits(limit, limit), dialer.WithPingInterval(time.Hour),
		}, options...)...)
		DeferCleanup(d.Close)
		return d
	}

	BeforeEach(func() {
		ctx = context.Background()
		ran.Store(0)
		handler = func(_ context.Context, x *chain.Exchange) error {
			_ = x.Sink.Chunk(0, "one")
			_ = x.Sink.Void()
			_ = x.Sink.Chunk(0, "two")
			return x.Sink.End(end)
		}
		l := listen()
		peer = server.New(l, server.WithVM("vm-2"), server.WithKey(key), server.WithAliveInterval(limit/5),
			server.WithHandler(func(ctx context.Context, x *chain.Exchange) error {
				ran.Add(1)
				return handler(ctx, x)
			}),
			server.WithGossiper(func(_ context.Context, heard news.News) news.News {
				return news.News{VM: "vm-2", Version: heard.Version + 1, Leaving: heard.Leaving}
			}))
		DeferCleanup(func() { _ = peer.Close(context.Background()) })
		between = newForwarder(l.Addr().String())
		DeferCleanup(between.Close)
		DeferCleanup(between.cut)
		address = between.Addr().String()
		links = newDialer()
	})

	// Guards against lost or reordered parts, and against a forwarded request
	// that the owner would identify again or forward on.
	It("relays the stream of a call", func() {
		inner := handler
		var got chain.Exchange
		handler = func(ctx context.Context, x *chain.Exchange) error {
			got = *x
			return inner(ctx, x)
		}
		x, s := call("c1")
		Expect(links.Forward(ctx, address, x)).To(Succeed())
		Expect(s.seen()).To(Equal([]any{"one", "void", "two", end}))
		Expect(x.Answer).To(Equal(end.Answer))
		Expect(x.Chunks).To(Equal(1))
		Expect(got.Forwarded).To(BeTrue())
		Expect(got.Account).To(Equal(x.Account))
		Expect(got.Request).To(Equal(x.Request))
	})

	// Guards against requests that can be served by their own VM only.
	DescribeTable("relays other requests and their replies",
		func(r request.Request, reply outcome.Outcome) {
			handler = func(_ context.Context, x *chain.Exchange) error {
				Expect(x.Request).To(Equal(r))
				x.Reply = reply
				return nil
			}
			x := &chain.Exchange{Request: r}
			Expect(links.Forward(ctx, address, x)).To(Succeed())
			Expect(x.Reply).To(Equal(reply))
		},
		Entry("open", request.Open{Program: "p", Class: "c"}, outcome.Opened{Program: "p"}),
		Entry("open child", request.OpenChild{Parent: "p", Child: "p.1"}, outcome.Opened{Program: "p.1"}),
		Entry("end", request.End{Program: "p"}, outcome.Ended{Program: "p"}),
		Entry("show", request.Show{Program: "p"}, outcome.Shown{}),
		Entry("resolve", request.Resolve{Program: "p", Call: "c"}, outcome.Durable{}),
	)

	// Guards against a promise or a backoff that is lost or invented on the way.
	It("relays errors with all fields, on a connection that stays usable", func() {
		refusal := failure.Refusal(failure.BudgetExhausted, 1234567*time.Nanosecond, "raise the budget")
		handler = func(context.Context, *chain.Exchange) error { return errors.Annotate(refusal, "admit") }
		for range 2 {
			x, _ := call("c1")
			Expect(failure.From(links.Forward(ctx, address, x))).To(Equal(refusal))
		}
		accepted, _ := between.counts()
		Expect(accepted).To(Equal(1))
	})

	// Guards against a call without an end marker that is taken for whole.
	It("reports a call that ended without an end marker", func() {
		handler = func(_ context.Context, x *chain.Exchange) error { return x.Sink.Chunk(0, "one") }
		x, _ := call("c1")
		Expect(links.Forward(ctx, address, x)).To(MatchError(failure.Internal))
	})

	// Guards against two requests on one connection, whose parts would mix, and
	// against a connection for each request.
	It("uses a connection for one request at a time", func() {
		arrived, release := make(chan struct{}, 2), make(chan struct{})
		inner := handler
		handler = func(ctx context.Context, x *chain.Exchange) error {
			arrived <- struct{}{}
			<-release
			return inner(ctx, x)
		}
		results := make(chan error, 2)
		for range 2 {
			go func() {
				x, _ := call("c1")
				results <- links.Forward(ctx, address, x)
			}()
		}
		Eventually(arrived).Should(Receive())
		Eventually(arrived).Should(Receive())
		close(release)
		Eventually(results).Should(Receive(BeNil()))
		Eventually(results).Should(Receive(BeNil()))
		x, _ := call("c1")
		Expect(links.Forward(ctx, address, x)).To(Succeed())
		accepted, _ := between.counts()
		Expect(accepted).To(Equal(2))
	})

	// Guards against an untrue "not run" and against a "not run" that is missed.
	It("promises that nothing ran if nothing was sent", func() {
		x, _ := call("c1")
		gone := listen()
		Expect(gone.Close()).To(Succeed())
		expectUnreachable(links.Forward(ctx, gone.Addr().String(), x), true)
		expectUnreachable(newDialer(dialer.WithKey([]byte("other"))).Forward(ctx, address, x), true)
		expectUnreachable(newDialer(dialer.WithKey(nil)).Forward(ctx, address, x), true)
		stranger := newScripted([]byte("other"), func(*jsonrpc2.Conn, *jsonrpc2.Request) { ran.Add(1) })
		expectUnreachable(links.Forward(ctx, stranger, x), true)
		silent := listen()
		DeferCleanup(silent.Close)
		expectUnreachable(links.Forward(ctx, silent.Addr().String(), x), true)
		Expect(ran.Load()).To(BeZero())
	})

	// Guards against a wait without end on a connection that swallows bytes,
	// against an untrue "not run", and against the reuse of that connection.
	It("finds a silent connection and replaces it", func() {
		x, _ := call("c1")
		Expect(links.Forward(ctx, address, x)).To(Succeed())
		between.silence()
		start := time.Now()
		x, s := call("c1")
		expectUnreachable(links.Forward(ctx, address, x), false)
		Expect(time.Since(start)).To(BeNumerically("<", 10*limit))
		Expect(s.seen()).To(BeEmpty())
		x, _ = call("c1")
		Expect(links.Forward(ctx, address, x)).To(Succeed())
		accepted, _ := between.counts()
		Expect(accepted).To(Equal(2))
		Eventually(func() int { _, ended := between.counts(); return ended }).Should(Equal(1))
	})

	// Guards against a stream that falls silent after its first part.
	It("finds a connection that falls silent between parts", func() {
		handler = func(_ context.Context, x *chain.Exchange) error {
			_ = x.Sink.Chunk(0, "one")
			between.silence()
			return nil
		}
		x, _ := call("c1")
		expectUnreachable(links.Forward(ctx, address, x), false)
	})

	// Guards against long work that is taken for silence.
	It("waits for an owner that works", func() {
		inner := handler
		handler = func(ctx context.Context, x *chain.Exchange) error {
			time.Sleep(4 * limit)
			return inner(ctx, x)
		}
		x, _ := call("c1")
		Expect(links.Forward(ctx, address, x)).To(Succeed())
	})

	// Guards against a slow caller that is taken for a silent owner.
	It("does not count the time in which the sink holds up the stream", func() {
		x, s := call("c1")
		x.Sink = slowSink{s}
		Expect(links.Forward(ctx, address, x)).To(Succeed())
		Expect(s.seen()).To(HaveLen(4))
	})

	// Guards against a silent idle connection that the next request finds.
	It("pings idle connections and closes silent ones", func() {
		links = newDialer(dialer.WithPingInterval(limit / 3))
		x, _ := call("c1")
		Expect(links.Forward(ctx, address, x)).To(Succeed())
		Consistently(func() int { _, ended := between.counts(); return ended }, 2*limit).Should(BeZero())
		between.silence()
		Eventually(func() int { _, ended := between.counts(); return ended }).Should(Equal(1))
		x, _ = call("c1")
		Expect(links.Forward(ctx, address, x)).To(Succeed())
	})

	// Guards against work that dies with its connection: the caller's repeat
	// could not join it, and a non-idempotent call would be in doubt.
	It("leaves the owner working when the connection is lost", func() {
		finished := make(chan error, 1)
		handler = func(ctx context.Context, x *chain.Exchange) error {
			_ = x.Sink.Chunk(0, "one")
			between.cut()
			time.Sleep(limit)
			err := x.Sink.Chunk(1, "two")
			if err == nil {
				err = ctx.Err()
			}
			finished <- err
			return x.Sink.End(end)
		}
		x, _ := call("c1")
		expectUnreachable(links.Forward(ctx, address, x), false)
		Eventually(finished).Should(Receive(BeNil()))
	})

	// Guards against a lost caller that keeps a goroutine and a connection.
	It("gives up when the caller does", func() {
		release := make(chan struct{})
		DeferCleanup(func() { close(release) })
		handler = func(context.Context, *chain.Exchange) error { <-release; return nil }
		short, cancel := context.WithTimeout(ctx, limit)
		defer cancel()
		x, _ := call("c1")
		expectUnreachable(links.Forward(short, address, x), false)
		Eventually(func() int { _, ended := between.counts(); return ended }).Should(Equal(1))
	})

	// Guards against an error of the caller's connection being blamed on the
	// owner's.
	It("returns the sink's own error", func() {
		x, s := call("c1")
		s.err = errors.New("caller is gone")
		Expect(links.Forward(ctx, address, x)).To(MatchError(s.err))
	})

	// Guards against parts of another answer, and against parts that are missing.
	DescribeTable("rejects a stream that does not match",
		func(answer script) {
			onward := newForwarder(newScripted(key, answer))
			DeferCleanup(onward.Close)
			x, s := call("c1")
			expectUnreachable(links.Forward(ctx, onward.Addr().String(), x), false)
			Eventually(func() int { _, ended := onward.counts(); return ended }).Should(Equal(1))
			Expect(s.seen()).NotTo(ContainElement(BeAssignableToTypeOf(chain.End{})))
			Expect(s.seen()).NotTo(ContainElement("crossed"))
		},
		Entry("chunk of another call", notifies(protocol.NotifyChunk, protocol.Chunk{Call: "c2", Text: "crossed"})),
		Entry("chunk out of order", notifies(protocol.NotifyChunk, protocol.Chunk{Call: "c1", Index: 1, Text: "crossed"})),
		Entry("void of another call", script(func(conn *jsonrpc2.Conn, r *jsonrpc2.Request) {
			notifies(protocol.NotifyChunk, protocol.Chunk{Call: "c1", Text: "one"})(conn, r)
			notifies(protocol.NotifyVoid, protocol.Reference{Call: "c2"})(conn, r)
			notifies(protocol.NotifyChunk, protocol.Chunk{Call: "c1", Text: "again"})(conn, r)
		})),
		Entry("sign of another call", script(func(conn *jsonrpc2.Conn, r *jsonrpc2.Request) {
			notifies(protocol.NotifyAlive, protocol.Reference{Call: "c2"})(conn, r)
			notifies(protocol.NotifyChunk, protocol.Chunk{Call: "c1", Text: "one"})(conn, r)
		})),
		Entry("missing chunk", script(func(*jsonrpc2.Conn, *jsonrpc2.Request) {})),
		Entry("voided chunk", script(func(conn *jsonrpc2.Conn, r *jsonrpc2.Request) {
			notifies(protocol.NotifyChunk, protocol.Chunk{Call: "c1", Text: "one"})(conn, r)
			notifies(protocol.NotifyVoid, protocol.Reference{Call: "c1"})(conn, r)
		})),
		Entry("unknown notification", notifies("call.other", struct{}{})),
	)

	// Guards against an end marker of another call.
	It("rejects an end marker of another call", func() {
		x, s := call("c2")
		expectUnreachable(links.Forward(ctx, newScripted(key, notifies(protocol.NotifyChunk, protocol.Chunk{Call: "c2", Text: "one"})), x), false)
		Expect(s.seen()).To(Equal([]any{"one"}))
	})

	// Guards against a late chunk that becomes a part of the next answer.
	It("drops a connection on which a part comes after the end", func() {
		var answered atomic.Int64
		onward := newForwarder(newScripted(key, func(conn *jsonrpc2.Conn, r *jsonrpc2.Request) {
			notifies(protocol.NotifyChunk, protocol.Chunk{Call: "c1", Text: "one"})(conn, r)
			if answered.Add(1) == 1 {
				go func() {
					time.Sleep(limit / 5)
					notifies(protocol.NotifyChunk, protocol.Chunk{Call: "c1", Text: "late"})(conn, r)
				}()
			}
		}))
		DeferCleanup(onward.Close)
		x, _ := call("c1")
		Expect(links.Forward(ctx, onward.Addr().String(), x)).To(Succeed())
		Eventually(func() int { _, ended := onward.counts(); return ended }).Should(Equal(1))
		x, s := call("c1")
		Expect(links.Forward(ctx, onward.Addr().String(), x)).To(Succeed())
		Expect(s.seen()).NotTo(ContainElement("late"))
	})

	// Guards against news that are lost in one direction.
	It("exchanges news", func() {
		heard, err := links.Gossip(ctx, address, news.News{VM: "vm-1", Version: 7, Leaving: []ident.UpstreamID{"u"}})
		Expect(err).NotTo(HaveOccurred())
		Expect(heard).To(Equal(news.News{VM: "vm-2", Version: 8, Leaving: []ident.UpstreamID{"u"}}))
	})
})

// notifies sends a notification before the end marker of call c1 with 1 chunk.
func notifies(method string, body any) script {
	return func(conn *jsonrpc2.Conn, _ *jsonrpc2.Request) {
		_ = conn.Notify(context.Background(), method, body)
	}
}

// slowSink takes longer than the limits on silence for each chunk.
type slowSink struct{ *sink }

func (s slowSink) Chunk(index int, text string) error {
	time.Sleep(2 * limit)
	return s.sink.Chunk(index, text)
}
