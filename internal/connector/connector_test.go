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

// listenUpstream starts a listener and returns its address, the connections that
// it accepts and a function that stops it.
func listenUpstream(g *WithT) (string, <-chan net.Conn, func()) {
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

// Guards against reusing a connection that the upstream has closed or on which it
// sent bytes that belong to no call, and against opening a connection for each
// call.
func TestReuse(t *testing.T) {
	for _, c := range []struct {
		name    string
		disturb func(g *WithT, peer net.Conn)
		reused  bool
	}{
		{"kept", func(*WithT, net.Conn) {}, true},
		{"closed by the upstream", func(g *WithT, peer net.Conn) { g.Expect(peer.Close()).To(Succeed()) }, false},
		{"unexpected bytes", func(g *WithT, peer net.Conn) {
			_, err := peer.Write([]byte("HTTP/1.1 200 OK\r\n\r\n"))
			g.Expect(err).NotTo(HaveOccurred())
		}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			address, accepted, stop := listenUpstream(g)
			defer stop()
			connections := connector.New(timer.New())
			first, err := connections.Get(context.Background(), address)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(first.Reused).To(BeFalse())
			connections.Put(first, 0)
			c.disturb(g, <-accepted)
			time.Sleep(20 * time.Millisecond)
			second, err := connections.Get(context.Background(), address)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(second.Reused).To(Equal(c.reused))
		})
	}
}

// Guards against sending a call on an idle connection while the upstream closes it.
func TestIdleTime(t *testing.T) {
	g := NewWithT(t)
	address, _, stop := listenUpstream(g)
	defer stop()
	clock := timer.NewManual(time.Unix(0, 0))
	connections := connector.New(timer.New(timer.WithManual(clock)))
	first, err := connections.Get(context.Background(), address)
	g.Expect(err).NotTo(HaveOccurred())
	connections.Put(first, 2*time.Second)
	clock.Advance(1500 * time.Millisecond)
	second, err := connections.Get(context.Background(), address)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(second.Reused).To(BeFalse())
}
