// Package proxier is a TCP proxy on the loopback interface that disturbs the
// connections that pass it.
package proxier

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/juju/errors"
)

// Disturbance says how connections are treated. The interface is sealed: the
// variants are the types of this package.
type Disturbance interface{ disturbance() }

// None passes all bytes on.
type None struct{}

// Delay passes bytes on later.
type Delay struct{ By time.Duration }

// Silence holds all bytes back without closing connections.
type Silence struct{}

// OneWay holds the bytes of answers back.
type OneWay struct{}

// Refuse resets new connections.
type Refuse struct{}

func (None) disturbance()    {}
func (Delay) disturbance()   {}
func (Silence) disturbance() {}
func (OneWay) disturbance()  {}
func (Refuse) disturbance()  {}

// Proxier is one proxy.
type Proxier struct {
	listener net.Listener
	target   string

	mu          sync.Mutex
	disturbance Disturbance
	// changed is closed when the disturbance changes.
	changed     chan struct{}
	connections map[net.Conn]bool
}

// New starts a proxy to a target on a free address.
func New(target string) (*Proxier, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Annotate(err, "start a proxy")
	}
	p := &Proxier{
		listener: listener, target: target, disturbance: None{},
		changed: make(chan struct{}), connections: map[net.Conn]bool{},
	}
	go p.accept()
	return p, nil
}

// Address is where the proxy listens.
func (p *Proxier) Address() string { return p.listener.Addr().String() }

// Set changes how connections are treated from now on.
func (p *Proxier) Set(d Disturbance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.disturbance = d
	close(p.changed)
	p.changed = make(chan struct{})
}

// Reset resets all connections.
func (p *Proxier) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.connections {
		reset(conn)
	}
}

// reset closes a connection so that its peer sees a reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		// A connection that is closed already needs no reset.
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// Close ends the proxy and its connections.
func (p *Proxier) Close() {
	_ = p.listener.Close()
	p.Set(None{})
	p.Reset()
}

func (p *Proxier) current() (Disturbance, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.disturbance, p.changed
}

func (p *Proxier) track(conn net.Conn, open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if open {
		p.connections[conn] = true
		return
	}
	delete(p.connections, conn)
}

func (p *Proxier) accept() {
	for {
		from, err := p.listener.Accept()
		if err != nil {
			return
		}
		if d, _ := p.current(); d == (Refuse{}) {
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
		go p.pump(from, to, false)
		go p.pump(to, from, true)
	}
}

// pump passes bytes of one direction on until an end closes.
func (p *Proxier) pump(from, to net.Conn, answers bool) {
	defer func() {
		p.track(from, false)
		reset(to)
	}()
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			p.hold(answers)
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if errors.Is(err, io.EOF) {
			if tcp, ok := to.(*net.TCPConn); ok && tcp.CloseWrite() == nil {
				p.drain(from)
			}
			return
		}
		if err != nil {
			return
		}
	}
}

// drain waits for the other direction after a half close.
func (p *Proxier) drain(conn net.Conn) {
	if err := conn.SetReadDeadline(time.Now().Add(time.Second)); err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, conn)
}

// hold keeps bytes back for as long as the disturbance says.
func (p *Proxier) hold(answers bool) {
	for {
		d, changed := p.current()
		switch d := d.(type) {
		case Delay:
			time.Sleep(d.By)
			return
		case OneWay:
			if !answers {
				return
			}
		case Silence:
		default:
			return
		}
		<-changed
	}
}
