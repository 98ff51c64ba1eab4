package processtest

import (
	"net"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// link forwards TCP connections to an address. While it is silent it accepts
// connections, swallows the bytes of both directions and closes nothing.
type link struct {
	address string
	silent  atomic.Bool
	// carried and swallowed count bytes, so that a case can wait until the link
	// is used and until a loss happened.
	carried, swallowed atomic.Int64
}

func newLink(target string) *link {
	GinkgoHelper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	l := &link{address: listener.Addr().String()}
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
			go l.copy(far, near)
			go l.copy(near, far)
		}
	}()
	return l
}

// copy passes the bytes of one direction on. The end of a connection is passed
// on only if the link is not silent at that moment.
func (l *link) copy(to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if l.silent.Load() {
			l.swallowed.Add(int64(n))
			if err != nil {
				return
			}
			continue
		}
		l.carried.Add(int64(n))
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
