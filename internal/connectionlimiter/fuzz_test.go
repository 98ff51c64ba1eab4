package connectionlimiter_test

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// pipeListener accepts one end of a pipe.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	close(l.closed)
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// Guards against a panic, and against memory that stays claimed or exceeds the budget,
// whatever arrives on a connection and in whatever pieces.
func FuzzConnection(f *testing.F) {
	f.Add("GET / HTTP/1.1\r\nHost: a\r\nA: b\r\n c\r\n\r\nGET / HTTP/1.1\r\nHost: a\r\n\r\n", 3)
	f.Add("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nabc", 7)
	f.Add("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nTrailer: T\r\n\r\n1\r\na\r\n0\r\nT: u\r\n\r\nGET", 1)
	f.Add("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n", 40)
	f.Add("\r\n\r\n\r\n", 1)
	f.Add("POST / HTTP/1.1\r\nHost: a\r\n"+strings.Repeat("a:\r\n", 1000)+"Content-Length: 9\r\n\r\n123456789", 63)
	f.Add("POST / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 300000\r\n\r\n"+strings.Repeat("b", 300000), 0)
	f.Fuzz(func(t *testing.T, text string, size int) {
		listener := &pipeListener{conns: make(chan net.Conn, 1), closed: make(chan struct{})}
		s := newLimitedServer(t, listener, 2)
		close(s.released)
		caller, served := net.Pipe()
		go func() { _, _ = io.Copy(io.Discard, caller) }()
		listener.conns <- served
		if size = size % 64; size <= 0 {
			size = 64 << 10
		}
		for rest := text; rest != ""; {
			n := min(size, len(rest))
			if _, err := io.WriteString(caller, rest[:n]); err != nil {
				break
			}
			if used := s.memory.Used(); used > total {
				t.Fatalf("%d bytes are claimed", used)
			}
			rest = rest[n:]
		}
		_ = caller.Close()
		for s.memory.Used() > 0 {
			time.Sleep(time.Millisecond)
		}
	})
}
