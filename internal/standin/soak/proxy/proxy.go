// Package proxy is a TCP proxy on the loopback interface that injects faults
// into the connections that it forwards.
package proxy

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/juju/errors"
)

// Fault is a fault of the forwarded connections. The interface is sealed: its
// variants are the types of this package.
type Fault interface{ fault() }

// None forwards all bytes.
type None struct{}

// Delay forwards bytes after a delay.
type Delay struct{ By time.Duration }

// Stall holds back the bytes of both directions without closing connections.
type Stall struct{}

// StallResponses holds back the bytes from the target to the client only.
type StallResponses struct{}

// Refuse resets new connections; open connections are not affected.
type Refuse struct{}

func (None) fault()           {}
func (Delay) fault()          {}
func (Stall) fault()          {}
func (StallResponses) fault() {}
func (Refuse) fault()         {}

// Proxy forwards TCP connections to one target. It is safe for concurrent use.
type Proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	fault Fault
	// faultChanged is closed when the fault changes.
	faultChanged chan struct{}
	connections  map[net.Conn]bool
}

// New starts a proxy to target on a free address. Close stops it.
func New(target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Annotate(err, "start proxy")
	}
	p := &Proxy{
		listener: listener, target: target, fault: None{},
		faultChanged: make(chan struct{}), connections: map[net.Conn]bool{},
	}
	go p.accept()
	return p, nil
}

// Address returns the address on which the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// SetFault replaces the fault, also for the bytes that are held back.
func (p *Proxy) SetFault(newFault Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = newFault
	close(p.faultChanged)
	p.faultChanged = make(chan struct{})
}

// ResetConnections resets all open connections.
func (p *Proxy) ResetConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.connections {
		reset(conn)
	}
}

// reset closes a connection with a TCP reset instead of an orderly close.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		// This fails only for a connection that is already closed.
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// Close stops the proxy and resets its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.SetFault(None{})
	p.ResetConnections()
}

func (p *Proxy) current() (Fault, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault, p.faultChanged
}

func (p *Proxy) track(conn net.Conn, open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if open {
		p.connections[conn] = true
		return
	}
	delete(p.connections, conn)
}

func (p *Proxy) accept() {
	for {
		from, err := p.listener.Accept()
		if err != nil {
			return
		}
		if activeFault, _ := p.current(); activeFault == (Refuse{}) {
			reset(from)
			continue
		}
		to, err := net.Dial("tcp", p.target)
		if err != nil {
			reset(from)
			continue
		}
		p.track(from, true)
		p.track(to, true)
		go p.copyBytes(from, to, false)
		go p.copyBytes(to, from, true)
	}
}

// copyBytes forwards the bytes of one direction until either side closes.
// isResponse is set for the direction from the target to the client.
func (p *Proxy) copyBytes(from, to net.Conn, isResponse bool) {
	defer func() {
		p.track(from, false)
		reset(to)
	}()
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			p.applyFault(isResponse)
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if errors.Is(err, io.EOF) {
			if tcp, ok := to.(*net.TCPConn); ok && tcp.CloseWrite() == nil {
				p.awaitPeerClose(from)
			}
			return
		}
		if err != nil {
			return
		}
	}
}

// awaitPeerClose gives the other direction up to a second to end after a half
// close.
func (p *Proxy) awaitPeerClose(conn net.Conn) {
	if err := conn.SetReadDeadline(time.Now().Add(time.Second)); err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, conn)
}

// applyFault blocks for as long as the fault holds bytes back.
func (p *Proxy) applyFault(isResponse bool) {
	for {
		activeFault, changed := p.current()
		switch activeFault := activeFault.(type) {
		case Delay:
			time.Sleep(activeFault.By)
			return
		case StallResponses:
			if !isResponse {
				return
			}
		case Stall:
		default:
			return
		}
		<-changed
	}
}
