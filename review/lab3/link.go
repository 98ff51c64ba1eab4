package main

import (
	"net"
	"sync"
	"time"
)

const (
	// linkRate is the rate of the link of a machine: linkMbps 1000, in bytes a second.
	linkRate = 125_000_000
	// linkPiece is the number of bytes that are sent at once.
	linkPiece = 16 << 10
)

// link paces what is sent to one machine on all its channels together.
type link struct {
	mu     sync.Mutex
	freeAt time.Time
}

// pace waits until n more bytes may be sent.
func (l *link) pace(n int) {
	l.mu.Lock()
	now := time.Now()
	if l.freeAt.Before(now) {
		l.freeAt = now
	}
	l.freeAt = l.freeAt.Add(time.Duration(n) * time.Second / linkRate)
	wait := l.freeAt.Sub(now)
	l.mu.Unlock()
	if wait > time.Millisecond {
		time.Sleep(wait)
	}
}

// linkListener accepts channels over a link.
type linkListener struct {
	net.Listener
	link *link
}

// Accept returns the next channel.
func (l linkListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return linkConn{conn, l.link}, nil
}

type linkConn struct {
	net.Conn
	link *link
}

// Write sends bytes at the rate of the link.
func (c linkConn) Write(p []byte) (int, error) {
	written := 0
	for written < len(p) {
		piece := p[written:min(len(p), written+linkPiece)]
		c.link.pace(len(piece))
		n, err := c.Conn.Write(piece)
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}
