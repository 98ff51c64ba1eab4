package connector_test

import (
	"context"
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sassafrasspur/sassafrasspur/internal/connector"
	"github.com/sassafrasspur/sassafrasspur/internal/timer"
)

// upstream accepts connections and hands them to the test.
func upstream(g *WithT) (string, <-chan net.Conn, func()) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	accepted := make(chan net.Conn, 4)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			accepted <- conn
		}
	}()
	return l.Addr().String(), accepted, func() { _ = l.Close() }
}

// Guards against calls on a connection that the upstream closed, or on which
// bytes arrived that belong to no call, and against a new connection for each
// call.
func TestReuse(t *testing.T) {
	for _, c := range []struct {
		name   string
		before func(g *WithT, peer net.Conn)
		reused bool
	}{
		{"kept", func(*WithT, net.Conn) {}, true},
		{"closed by the upstream", func(g *WithT, peer net.Conn) { g.Expect(peer.Close()).To(Succeed()) }, false},
		{"bytes of no call", func(g *WithT, peer net.Conn) {
			_, err := peer.Write([]byte("HTTP/1.1 200 OK\r\n\r\n"))
			g.Expect(err).NotTo(HaveOccurred())
		}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			address, accepted, stop := upstream(g)
			defer stop()
			pool := connector.New(timer.New())
			first, err := pool.Take(context.Background(), address)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(first.Reused).To(BeFalse())
			pool.Keep(first, 0)
			c.before(g, <-accepted)
			time.Sleep(20 * time.Millisecond)
			second, err := pool.Take(context.Background(), address)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(second.Reused).To(Equal(c.reused))
		})
	}
}

// Guards against a call that crosses the upstream's close of an idle connection.
func TestIdleTime(t *testing.T) {
	g := NewWithT(t)
	address, _, stop := upstream(g)
	defer stop()
	clock := timer.NewManual(time.Unix(0, 0))
	pool := connector.New(timer.New(timer.WithManual(clock)))
	first, err := pool.Take(context.Background(), address)
	g.Expect(err).NotTo(HaveOccurred())
	pool.Keep(first, 2*time.Second)
	clock.Advance(1500 * time.Millisecond)
	second, err := pool.Take(context.Background(), address)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(second.Reused).To(BeFalse())
}
