package connector

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/sassafrasspur/sassafrasspur/internal/timer"
)

// MaxHeadBytes bounds the head of a response of an upstream or the store.
const MaxHeadBytes = 64 << 10

const (
	// dialTimeout limits the time to open a connection. The latency between
	// regions is 12 ms.
	dialTimeout = 400 * time.Millisecond
	// defaultIdleTimeout applies if the peer does not state its idle timeout.
	defaultIdleTimeout = 4 * time.Second
	// idleMargin is subtracted from the peer's idle timeout, so that no call is
	// sent while the peer closes the connection.
	idleMargin = 700 * time.Millisecond
	// readBufferBytes is the size of a connection's read buffer. An answer of
	// 800 bytes fits into it.
	readBufferBytes = 4 << 10
)

// Connector is a pool of idle connections by address. It is safe for concurrent
// use.
type Connector struct {
	timers *timer.Service
	dialer net.Dialer

	mu   sync.Mutex
	idle map[string][]*Connection
}

// Connection is a connection to an upstream. One call uses it at a time.
type Connection struct {
	net.Conn
	Reader *bufio.Reader
	source *limitedSource
	// Reused reports whether an earlier call used the connection.
	Reused bool

	address string
	expires time.Time
}

// New returns a Connector without idle connections.
func New(timers *timer.Service) *Connector {
	return &Connector{
		timers: timers,
		dialer: net.Dialer{Timeout: dialTimeout, Control: SetTCPTimeouts},
		idle:   map[string][]*Connection{},
	}
}

// Get returns an idle connection to an address, or opens a new one.
func (c *Connector) Get(ctx context.Context, address string) (*Connection, error) {
	for {
		connection := c.pop(address)
		if connection == nil {
			break
		}
		if c.timers.Now().Before(connection.expires) && isIdle(connection.Conn) {
			connection.Reused = true
			return connection, nil
		}
		discard(connection)
	}
	conn, err := c.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Annotatef(err, "connect to upstream at %s", address)
	}
	source := &limitedSource{conn: conn, left: unlimited}
	return &Connection{Conn: conn, Reader: bufio.NewReaderSize(source, readBufferBytes), source: source, address: address}, nil
}

// Probe opens a connection to an address and closes it again.
func (c *Connector) Probe(ctx context.Context, address string) error {
	conn, err := c.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return errors.Annotatef(err, "probe upstream at %s", address)
	}
	return conn.Close()
}

// LimitReads makes Reader fail with ErrReadLimit once n more bytes were read from
// the network. UnlimitReads removes the limit.
func (c *Connection) LimitReads(n int) { c.source.left = n }

// UnlimitReads removes the limit of LimitReads.
func (c *Connection) UnlimitReads() { c.source.left = unlimited }

// pop removes and returns the most recently used idle connection to an address,
// or nil if there is none.
func (c *Connector) pop(address string) *Connection {
	c.mu.Lock()
	defer c.mu.Unlock()
	connections := c.idle[address]
	if len(connections) == 0 {
		return nil
	}
	last := connections[len(connections)-1]
	c.idle[address] = connections[:len(connections)-1]
	return last
}

// Put returns a connection to the pool after its call has ended and the answer
// was read completely. peerIdleTimeout is the idle timeout that the peer stated,
// or 0 if it stated none.
func (c *Connector) Put(connection *Connection, peerIdleTimeout time.Duration) {
	idleTimeout := defaultIdleTimeout
	if peerIdleTimeout > 0 {
		idleTimeout = peerIdleTimeout - idleMargin
	}
	if idleTimeout <= 0 || connection.Reader.Buffered() > 0 || connection.SetDeadline(time.Time{}) != nil {
		discard(connection)
		return
	}
	connection.expires = c.timers.Now().Add(idleTimeout)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle[connection.address] = append(c.idle[connection.address], connection)
}

// CloseExpired closes the idle connections whose idle timeout has passed.
func (c *Connector) CloseExpired() {
	now := c.timers.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, connections := range c.idle {
		live := connections[:0]
		for _, connection := range connections {
			if now.Before(connection.expires) {
				live = append(live, connection)
				continue
			}
			discard(connection)
		}
		if len(live) == 0 {
			delete(c.idle, address)
			continue
		}
		c.idle[address] = live
	}
}

// discard closes a connection that carries no call, so that an error of Close
// has no consequence.
func discard(connection *Connection) {
	_ = connection.Close()
}
