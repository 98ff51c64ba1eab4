package main

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// linkBytes is what a machine's link carries in a second: linkMbps 1000.
	linkBytes = 125_000_000
	// linkPiece is the largest write that passes the link at once.
	linkPiece = 16 << 10
)

// link carries what the store, the replicas and the crowd send to the entry VMs, at the rate
// of the link of one machine.
var link = &sharedLink{}

// sharedLink delays senders that exceed its rate.
type sharedLink struct {
	mu     sync.Mutex
	freeAt time.Time
	bytes  atomic.Int64
	// longest is the longest time for which a write waited, in nanoseconds.
	longest atomic.Int64
}

// pass waits until n bytes have passed the link.
func (s *sharedLink) pass(n int) {
	now := time.Now()
	s.mu.Lock()
	if s.freeAt.Before(now) {
		s.freeAt = now
	}
	s.freeAt = s.freeAt.Add(time.Duration(n) * time.Second / linkBytes)
	wait := s.freeAt.Sub(now)
	s.mu.Unlock()
	s.bytes.Add(int64(n))
	for longest := s.longest.Load(); int64(wait) > longest && !s.longest.CompareAndSwap(longest, int64(wait)); longest = s.longest.Load() {
		continue
	}
	if wait > time.Millisecond {
		time.Sleep(wait)
	}
}

// linkedListener accepts connections that write over the link.
type linkedListener struct{ net.Listener }

func (l linkedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return linkedConn{c}, nil
}

type linkedConn struct{ net.Conn }

// Write writes in pieces that pass the link one after the other.
func (c linkedConn) Write(p []byte) (int, error) {
	written := 0
	for written < len(p) {
		piece := p[written:min(len(p), written+linkPiece)]
		link.pass(len(piece))
		n, err := c.Conn.Write(piece)
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// noteLink records the load of the link. A machine at whose link packets wait over half a
// second counts as slowed.
func (l *lab) noteLink() {
	l.note("the link to the entry VMs carried %d MB; the longest wait was %s", link.bytes.Load()/1e6, time.Duration(link.longest.Load()).Round(time.Millisecond))
}
