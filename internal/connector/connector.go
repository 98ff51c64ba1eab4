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

const (
	// dialLimit bounds the opening of a connection. Regions are 12 ms apart.
	dialLimit = 400 * time.Millisecond
	// defaultIdle is how long a connection is kept whose peer named no time.
	defaultIdle = 4 * time.Second
	// idleMargin is taken from the time that the peer keeps the connection, so
	// that a call does not cross the peer's close.
	idleMargin = 700 * time.Millisecond
	// readBuffer is the size of a connection's read buffer in bytes. Answers
	// of 800 bytes fit.
	readBuffer = 4 << 10
)

// Connector keeps idle connections by address. It may be used by several
// goroutines.
type Connector struct {
	timers *timer.Service
	dialer net.Dialer

	mu   sync.Mutex
	idle map[string][]*Connection
}

// Connection is a connection to an upstream that one call uses.
type Connection struct {
	net.Conn
	Reader *bufio.Reader
	// Reused is set if an earlier call used the connection.
	Reused bool

	address string
	expires time.Time
}

// New returns a Connector without connections.
func New(timers *timer.Service) *Connector {
	return &Connector{
		timers: timers,
		dialer: net.Dialer{Timeout: dialLimit, Control: BoundSilence},
		idle:   map[string][]*Connection{},
	}
}

// Take returns an idle connection to an address, or a new one.
func (c *Connector) Take(ctx context.Context, address string) (*Connection, error) {
	for {
		connection := c.pop(address)
		if connection == nil {
			break
		}
		if c.timers.Now().Before(connection.expires) && isQuiet(connection.Conn) {
			connection.Reused = true
			return connection, nil
		}
		closeQuietly(connection)
	}
	conn, err := c.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Annotatef(err, "connect to upstream at %s", address)
	}
	return &Connection{Conn: conn, Reader: bufio.NewReaderSize(conn, readBuffer), address: address}, nil
}

// pop removes the connection that was used last.
func (c *Connector) pop(address string) *Connection {
	c.mu.Lock()
	defer c.mu.Unlock()
	kept := c.idle[address]
	if len(kept) == 0 {
		return nil
	}
	last := kept[len(kept)-1]
	c.idle[address] = kept[:len(kept)-1]
	return last
}

// Keep takes a connection back whose call has ended completely. The peer keeps
// it for a time, 0 if it did not say.
func (c *Connector) Keep(connection *Connection, peerIdle time.Duration) {
	idle := defaultIdle
	if peerIdle > 0 {
		idle = peerIdle - idleMargin
	}
	if idle <= 0 || connection.Reader.Buffered() > 0 || connection.SetDeadline(time.Time{}) != nil {
		closeQuietly(connection)
		return
	}
	connection.expires = c.timers.Now().Add(idle)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle[connection.address] = append(c.idle[connection.address], connection)
}

// CloseExpired closes the idle connections whose time is over.
func (c *Connector) CloseExpired() {
	now := c.timers.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, kept := range c.idle {
		live := kept[:0]
		for _, connection := range kept {
			if now.Before(connection.expires) {
				live = append(live, connection)
				continue
			}
			closeQuietly(connection)
		}
		if len(live) == 0 {
			delete(c.idle, address)
			continue
		}
		c.idle[address] = live
	}
}

// closeQuietly closes a connection that carries no call. The error says nothing
// that matters then.
func closeQuietly(connection *Connection) {
	_ = connection.Close()
}
