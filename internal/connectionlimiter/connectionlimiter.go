// Package connectionlimiter bounds what the callers of one address can make a VM hold:
// connections, header sections, bodies that arrive slowly and answers that are not read.
// It wraps the listener and the handler of an http.Server, which parses header sections
// before a handler runs.
package connectionlimiter

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/sassafrasspur/sassafrasspur/internal/memorylimiter"
	"github.com/sassafrasspur/sassafrasspur/internal/timer"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

const (
	// defaultHeadBytes is the limit of the configurations in use.
	defaultHeadBytes unit.Bytes = 16 << 10
	// headAllowance is what net/http allows above its limit on a header section, and the
	// size of its read buffer, which may have the beginning of a body.
	headAllowance = 4 << 10
	// lineBytes is the memory of one header line beside its text: 76 to 100 bytes in the
	// parsed header (600 heads of 15 KB took 150 to 185 MB), which is copied twice, for
	// the filter chain and for the upstream.
	lineBytes = 256
	// textCopies is the number of copies of the text of a header section.
	textCopies = 3
	// bodyCopies is the number of copies of a body: as received, and as sent to an
	// upstream.
	bodyCopies = 2
	// paceBytes is the part of a body that must arrive within the body pace, and the part
	// of an answer that must be taken within the write pace.
	paceBytes = 16 << 10
	// stallAfter is the time without progress after which a connection that sends a body
	// may be closed in favour of a new one.
	stallAfter = time.Second
)

// Reason is why a caller was refused or its connection closed. It is a constant text, the
// label of a metric.
type Reason string

// The reasons.
const (
	HeadTooLarge   Reason = "head_too_large"
	MemoryUsedUp   Reason = "memory_used_up"
	BodyTooSlow    Reason = "body_too_slow"
	AnswerNotRead  Reason = "answer_not_read"
	ConnectionsUse Reason = "connections_used_up"
)

// Connectionlimiter limits the callers of one listener.
type Connectionlimiter struct {
	memory    *memorylimiter.Memorylimiter
	timers    *timer.Service
	max       int
	headBytes func() unit.Bytes
	bodyPace  time.Duration
	writePace time.Duration
	onRefusal func(Reason)
	// messages is set if the connections carry messages and not HTTP.
	messages bool

	mu    sync.Mutex
	conns map[*conn]struct{}
}

// Option configures a Connectionlimiter.
type Option func(*Connectionlimiter)

// WithHeadBytes sets a function that returns the largest header section, 0 for the
// default of 16 KB.
func WithHeadBytes(headBytes func() unit.Bytes) Option {
	return func(l *Connectionlimiter) { l.headBytes = headBytes }
}

// WithBodyPace sets the time within which each further 16 KB of a body, or its end, must
// arrive. By default the handler limits the time of a body.
func WithBodyPace(pace time.Duration) Option {
	return func(l *Connectionlimiter) { l.bodyPace = pace }
}

// WithWritePace sets the time within which a caller must take each further 16 KB of an
// answer. By default it is not limited.
func WithWritePace(pace time.Duration) Option {
	return func(l *Connectionlimiter) { l.writePace = pace }
}

// WithOnRefusal sets a function that is called for each caller that is refused or whose
// connection is closed.
func WithOnRefusal(onRefusal func(Reason)) Option {
	return func(l *Connectionlimiter) { l.onRefusal = onRefusal }
}

// WithMessages is for connections that carry messages in place of HTTP. Only their number
// and the pace of writes are limited.
func WithMessages() Option {
	return func(l *Connectionlimiter) { l.messages = true }
}

// New returns a limiter of up to maxConnections connections.
func New(memory *memorylimiter.Memorylimiter, timers *timer.Service, maxConnections int, options ...Option) *Connectionlimiter {
	l := &Connectionlimiter{
		memory: memory, timers: timers, max: maxConnections, conns: map[*conn]struct{}{},
		headBytes: func() unit.Bytes { return 0 }, onRefusal: func(Reason) {},
	}
	for _, option := range options {
		option(l)
	}
	return l
}

// Attach makes a server apply the limits. Its listener must come from Listen.
func (l *Connectionlimiter) Attach(server *http.Server) {
	observe := server.ConnState
	server.ConnState = func(c net.Conn, state http.ConnState) {
		if limited, ok := c.(*conn); ok {
			limited.observe(state)
		}
		if observe != nil {
			observe(c, state)
		}
	}
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		limited, ok := c.(*conn)
		if !ok {
			return ctx
		}
		return memorylimiter.NewContext(context.WithValue(ctx, connKey{}, limited), limited.claim)
	}
	server.Handler = l.limitRequests(server.Handler)
}

// Listen returns a listener whose connections are limited.
func (l *Connectionlimiter) Listen(listener net.Listener) net.Listener {
	return &limitedListener{Listener: listener, limiter: l}
}

type limitedListener struct {
	net.Listener
	limiter *Connectionlimiter
}

// Accept returns the next connection. At the limit it closes another one first, or the
// new one if all others have requests in progress.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if limited := l.limiter.admit(c); limited != nil {
			return limited, nil
		}
		// Nothing was read from the connection, so that its error concerns nobody.
		_ = c.Close()
		l.limiter.onRefusal(ConnectionsUse)
	}
}

// admit returns the limited connection, or nil if there is no room for it.
func (l *Connectionlimiter) admit(c net.Conn) *conn {
	l.mu.Lock()
	var victim *conn
	if len(l.conns) >= l.max {
		if victim = l.chooseVictim(); victim == nil {
			l.mu.Unlock()
			return nil
		}
		delete(l.conns, victim)
	}
	limited := newConn(l, c)
	l.conns[limited] = struct{}{}
	l.mu.Unlock()
	if victim != nil {
		victim.giveWay()
	}
	return limited
}

// chooseVictim returns the connection that is closed in favour of a new one: one that has
// not sent a request completely, the oldest first; then one whose body stalled; then one
// that is idle, the longest idle first. It returns nil if there is none.
func (l *Connectionlimiter) chooseVictim() *conn {
	type candidate struct {
		conn  *conn
		rank  int
		since time.Time
	}
	var candidates []candidate
	now := l.timers.Now()
	for c := range l.conns {
		phase, since := c.activity()
		switch {
		case phase == beginning || phase == heading:
			candidates = append(candidates, candidate{c, 0, since})
		case phase == receiving && now.Sub(since) >= stallAfter:
			candidates = append(candidates, candidate{c, 1, since})
		case phase == idle:
			candidates = append(candidates, candidate{c, 2, since})
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	return slices.MinFunc(candidates, func(a, b candidate) int {
		if order := cmp.Compare(a.rank, b.rank); order != 0 {
			return order
		}
		return a.since.Compare(b.since)
	}).conn
}

func (l *Connectionlimiter) forget(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

// maxHeadBytes returns the largest number of bytes of a header section that are read.
func (l *Connectionlimiter) maxHeadBytes() int {
	return int(cmp.Or(l.headBytes(), defaultHeadBytes)) + headAllowance
}
