package connectionlimiter

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/sassafrasspur/sassafrasspur/internal/evictor"
	"github.com/sassafrasspur/sassafrasspur/internal/failure"
	"github.com/sassafrasspur/sassafrasspur/internal/headcounter"
	"github.com/sassafrasspur/sassafrasspur/internal/memorylimiter"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

// phase is what a connection does.
type phase int

const (
	// beginning is a connection on which nothing was received.
	beginning phase = iota
	// heading is a connection that receives a header section.
	heading
	// receiving is a connection that receives a body.
	receiving
	// serving is a connection whose request was received.
	serving
	// idle is a connection between two requests.
	idle
)

type connKey struct{}

const (
	// refusalTimeout bounds the write of a refusal, which fits into the send buffer.
	refusalTimeout = 100 * time.Millisecond
	// discardTimeout and maxDiscardBytes bound what is read after a refusal, as net/http
	// does after its own.
	discardTimeout  = 500 * time.Millisecond
	maxDiscardBytes = 256 << 10
	// roomTimeout bounds the wait for the memory of a long answer. Requests that stall are
	// dropped after 1 s, and return their memory within 2 s.
	roomTimeout = 5 * time.Second
)

// errRefused is returned after a refusal. net/http answers other errors by itself.
var errRefused = &net.OpError{Op: "read", Err: net.ErrClosed}

// past is a deadline that ends reads and writes.
var past = time.Unix(1, 0)

// conn is a limited connection. net/http reads and writes it from one goroutine at a time
// each.
type conn struct {
	net.Conn
	limiter *Connectionlimiter
	claim   *memorylimiter.Claim
	head    headcounter.Headcounter
	// charged is the memory that was claimed for the header section.
	charged unit.Bytes
	// isRefused is set after a refusal. net/http may read again after an error.
	isRefused bool

	mu    sync.Mutex
	phase phase
	// since is when the phase began, or when the last 16 KB of a body had arrived.
	since time.Time
	// isCut is set if the connection is closed in favour of others.
	isCut bool
}

func newConn(l *Connectionlimiter, c net.Conn) *conn {
	limited := &conn{Conn: c, limiter: l, since: l.timers.Now()}
	limited.claim = l.memory.NewClaim(func() { limited.cut(MemoryUsedUp) })
	return limited
}

func (c *conn) activity() (phase, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase, c.since
}

func (c *conn) enter(p phase) {
	now := c.limiter.timers.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase, c.since = p, now
}

// enterServing begins to serve a request that was received. It reports false if the
// connection was cut before.
func (c *conn) enterServing() bool {
	now := c.limiter.timers.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isCut {
		c.phase, c.since = serving, now
	}
	return !c.isCut
}

// giveWay ends the connection in favour of a new one, unless a request was received on it
// since it was chosen.
func (c *conn) giveWay() {
	c.mu.Lock()
	isServing := c.phase == serving
	if !isServing {
		c.end()
	}
	c.mu.Unlock()
	if !isServing {
		c.limiter.onRefusal(ConnectionsUse)
	}
}

// cut ends the connection in favour of others. Its goroutine answers with a refusal if
// the request has not arrived completely.
func (c *conn) cut(reason Reason) {
	c.limiter.onRefusal(reason)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.end()
}

// end ends reads, and the writes of a request that is served. The lock is held.
func (c *conn) end() {
	c.isCut = true
	// The errors mean that the connection is closed already.
	_ = c.Conn.SetReadDeadline(past)
	if c.phase == serving {
		_ = c.SetWriteDeadline(past)
	}
}

func (c *conn) wasCut() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isCut
}

// SetReadDeadline sets the deadline unless the connection was cut.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isCut {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// observe follows the state of the connection in its server.
func (c *conn) observe(state http.ConnState) {
	switch state {
	case http.StateActive:
		// The header section has been read; the phase of a body begins in the handler,
		// which also refuses a request whose connection was cut.
		c.enterServing()
	case http.StateIdle:
		c.enter(idle)
		c.head, c.charged = headcounter.Headcounter{}, 0
		c.claim.Release()
	case http.StateClosed, http.StateHijacked:
		c.claim.Release()
		c.limiter.forget(c)
	}
}

// CloseWrite closes the sending side, which net/http does before it closes a connection
// whose request it has not read completely.
func (c *conn) CloseWrite() error {
	if closer, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return closer.CloseWrite()
	}
	return nil
}

// Close closes the connection.
func (c *conn) Close() error {
	c.limiter.forget(c)
	return c.Conn.Close()
}

// Read reads from the connection. A header section that exceeds a limit is refused here,
// since no handler sees it; the caller of Read then meets the end of the connection.
func (c *conn) Read(p []byte) (int, error) {
	if c.isRefused {
		return 0, errRefused
	}
	n, err := c.Conn.Read(p)
	if c.limiter.messages {
		c.enter(idle)
		return n, err
	}
	current, _ := c.activity()
	if current == serving || current == receiving {
		return n, err
	}
	if c.wasCut() {
		// A read may return what arrives at the same moment.
		c.isRefused = true
		if n > 0 || current == heading {
			c.refuse(c.noRoom())
		}
		return 0, errRefused
	}
	if n > 0 && current != heading {
		c.enter(heading)
	}
	if refusal := c.countHead(p[:n]); refusal != nil {
		c.refuse(refusal)
		return 0, errRefused
	}
	return n, err
}

// countHead claims the memory for the next bytes of a header section.
func (c *conn) countHead(p []byte) error {
	c.head.Count(p)
	if c.head.Bytes > c.limiter.maxHeadBytes() {
		c.limiter.onRefusal(HeadTooLarge)
		return failure.New(failure.TooLarge, "the header section has more than %d bytes; send a smaller one", c.limiter.maxHeadBytes()-headAllowance)
	}
	return c.claimHead(c.head.Bytes, c.head.Lines)
}

// claimHead claims the memory of a header section beyond what was claimed for it before.
func (c *conn) claimHead(size, lines int) error {
	needed := unit.Bytes(size*textCopies + lines*lineBytes)
	if needed <= c.charged {
		return nil
	}
	if err := c.claim.Grow(needed - c.charged); err != nil {
		c.limiter.onRefusal(MemoryUsedUp)
		return err
	}
	c.charged = needed
	return nil
}

// noRoom returns the refusal of a request whose connection was cut.
func (c *conn) noRoom() error {
	return failure.Refusal(failure.Overloaded, c.limiter.memory.RetryDelay(), "the VM has no room for this request; repeat it later or at another address")
}

// refuse writes a response to a request whose header section was not read completely.
// There is no earlier response on its way: the server reads a request after it has sent
// the response to the one before.
func (c *conn) refuse(refusal error) {
	c.isRefused = true
	known := failure.From(refusal)
	status, retry := http.StatusRequestHeaderFieldsTooLarge, ""
	if known.NotRun {
		status, retry = http.StatusServiceUnavailable, "Retry-After: "+formatDelay(known.RetryAfter)+"\r\n"
	}
	body := known.Error() + "\n"
	// The caller may have closed the connection.
	_ = c.SetWriteDeadline(time.Now().Add(refusalTimeout))
	_, _ = fmt.Fprintf(c.Conn, "HTTP/1.1 %d %s\r\nConnection: close\r\n%sContent-Type: text/plain; charset=utf-8\r\nContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), retry, len(body), body)
	c.claim.Release()
	c.discard()
}

// discard reads for a moment what the caller still sends. Otherwise the connection is
// reset, and the caller may not receive the refusal.
func (c *conn) discard() {
	// The caller may have closed the connection.
	_ = c.CloseWrite()
	_ = c.SetReadDeadline(time.Now().Add(discardTimeout))
	_, _ = io.CopyN(io.Discard, c.Conn, maxDiscardBytes)
}

// formatDelay returns the value of a Retry-After header, in which the callers of the users'
// interface accept fractions of a second.
func formatDelay(d time.Duration) string { return fmt.Sprintf("%.2f", d.Seconds()) }

// Write writes to the connection. A caller that does not take the answer within the write
// pace is given up. A long answer, which its caller may leave unread, is written once its
// memory is claimed. That of an upstream's answer was claimed before it was read; another
// one waits for room, since its request has run.
func (c *conn) Write(p []byte) (int, error) {
	if len(p) <= paceBytes || c.limiter.messages {
		return c.writePiece(p)
	}
	if err := c.awaitRoom(unit.Bytes(len(p))); err != nil {
		c.limiter.onRefusal(MemoryUsedUp)
		return 0, err
	}
	if err := c.claim.Enter(evictor.Sending{}); err != nil {
		return 0, err
	}
	defer c.endSending()
	written := 0
	for written < len(p) {
		n, err := c.writePiece(p[written:min(len(p), written+paceBytes)])
		written += n
		if err != nil {
			return written, err
		}
		c.claim.Advance(unit.Bytes(n))
	}
	return written, nil
}

// awaitRoom claims the memory of an answer of n bytes, for which it may wait.
func (c *conn) awaitRoom(n unit.Bytes) error {
	ctx, cancel := context.WithTimeout(context.Background(), roomTimeout)
	defer cancel()
	return c.claim.AwaitCover(ctx, n)
}

// endSending protects the request again, which may send more. If it was dropped meanwhile,
// the next write fails.
func (c *conn) endSending() { _ = c.claim.Enter(evictor.Running{}) }

func (c *conn) writePiece(p []byte) (int, error) {
	if pace := c.limiter.writePace; pace > 0 {
		// Deadlines of connections use the system clock, not the timer service.
		if err := c.setWriteDeadline(time.Now().Add(pace)); err != nil {
			return 0, err
		}
	}
	n, err := c.Conn.Write(p)
	if errors.Is(err, os.ErrDeadlineExceeded) && !c.wasCut() {
		c.limiter.onRefusal(AnswerNotRead)
	}
	return n, err
}

// setWriteDeadline sets the deadline unless the connection was cut while it served a
// request.
func (c *conn) setWriteDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isCut && c.phase == serving {
		return os.ErrDeadlineExceeded
	}
	return c.SetWriteDeadline(t)
}
