package processtest

import (
	"net"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// tcpProxy forwards TCP connections to an address. While blackhole is set it
// accepts connections, drops the bytes of both directions and closes nothing, as a
// network partition does.
type tcpProxy struct {
	address   string
	blackhole atomic.Bool
	// forwardedBytes and droppedBytes let a spec wait until the proxy is in use and
	// until bytes have been lost.
	forwardedBytes, droppedBytes atomic.Int64
}

func newTCPProxy(target string) *tcpProxy {
	GinkgoHelper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	p := &tcpProxy{address: listener.Addr().String()}
	go func() {
		for {
			near, err := listener.Accept()
			if err != nil {
				return
			}
			far, err := net.Dial("tcp", target)
			if err != nil {
				_ = near.Close()
				continue
			}
			go p.copy(far, near)
			go p.copy(near, far)
		}
	}()
	return p
}

// copy forwards the bytes of one direction. It propagates the end of a connection
// only if blackhole is not set at that time.
func (p *tcpProxy) copy(to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if p.blackhole.Load() {
			p.droppedBytes.Add(int64(n))
			if err != nil {
				return
			}
			continue
		}
		p.forwardedBytes.Add(int64(n))
		if n > 0 {
			if _, failed := to.Write(buffer[:n]); failed != nil {
				err = failed
			}
		}
		if err != nil {
			_, _ = to.Close(), from.Close()
			return
		}
	}
}
