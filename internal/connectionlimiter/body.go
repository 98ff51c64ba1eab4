package connectionlimiter

import (
	"io"
	"net/http"
	"os"
	"time"

	"github.com/juju/errors"

	"github.com/sassafrasspur/sassafrasspur/internal/evictor"
	"github.com/sassafrasspur/sassafrasspur/internal/failure"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

// limitRequests returns a handler that claims the memory of requests before it passes
// them on.
func (l *Connectionlimiter) limitRequests(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*conn)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		// The beginning of a header section that arrived with the request before was not
		// counted.
		if err := c.claimHead(measure(r.Header)); err != nil {
			refuse(w, err)
			return
		}
		if r.ContentLength == 0 {
			if err := c.claim.Enter(evictor.Running{}); err != nil {
				refuse(w, err)
				return
			}
			if !c.enterServing() {
				refuse(w, c.noRoom())
				return
			}
		} else {
			c.enter(receiving)
			b := &body{ReadCloser: r.Body, conn: c, writer: w, control: http.NewResponseController(w)}
			b.extendDeadline()
			r.Body = b
		}
		next.ServeHTTP(w, r)
	})
}

// measure returns the bytes and lines of a header.
func measure(header http.Header) (size, lines int) {
	for name, values := range header {
		for _, value := range values {
			size += len(name) + len(value)
			lines++
		}
	}
	return size, lines
}

func refuse(w http.ResponseWriter, err error) {
	w.Header().Set("Connection", "close")
	w.Header().Set("Retry-After", formatDelay(failure.From(err).RetryAfter))
	http.Error(w, err.Error(), http.StatusServiceUnavailable)
}

// body is a body whose bytes are claimed as they arrive.
type body struct {
	io.ReadCloser
	conn    *conn
	writer  http.ResponseWriter
	control *http.ResponseController
	// window is the number of bytes since the deadline was set.
	window int
	// err is the refusal or the end of the body.
	err error
}

// extendDeadline starts the time within which the next part of the body must arrive.
func (b *body) extendDeadline() {
	b.window = 0
	if pace := b.conn.limiter.bodyPace; pace > 0 {
		// Deadlines of connections use the system clock, not the timer service. An error
		// means that the connection is closed, which the next read reports.
		_ = b.control.SetReadDeadline(time.Now().Add(pace))
	}
}

// Read reads a part of the body. If the request is refused for the limits, the error is
// a refusal of package failure, and its connection closes after the answer.
func (b *body) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		if refusal := b.admit(n); refusal != nil {
			return 0, refusal
		}
	}
	switch {
	case err == nil:
		return n, nil
	case errors.Is(err, io.EOF):
		b.err = b.finish()
	case b.conn.wasCut():
		b.err = b.refuse(b.conn.noRoom())
	case errors.Is(err, os.ErrDeadlineExceeded):
		b.conn.limiter.onRefusal(BodyTooSlow)
		b.err = b.refuse(failure.Refusal(failure.TimedOut, b.conn.limiter.memory.RetryDelay(), "less than %d bytes of the body arrived within %s; send it faster", paceBytes, b.conn.limiter.bodyPace))
	default:
		b.err = err
	}
	return n, b.err
}

// admit claims the memory of the next n bytes.
func (b *body) admit(n int) error {
	if err := b.conn.claim.Grow(bodyCopies * unit.Bytes(n)); err != nil {
		b.conn.limiter.onRefusal(MemoryUsedUp)
		b.err = b.refuse(err)
		return b.err
	}
	if b.window += n; b.window >= paceBytes {
		b.conn.enter(receiving)
		b.extendDeadline()
	}
	return nil
}

// finish ends the limits on the arrival of the body. The server then reads from the
// connection to notice a caller that leaves, without a deadline. It returns io.EOF, or a
// refusal if the request was chosen to be dropped.
func (b *body) finish() error {
	if err := b.conn.claim.Enter(evictor.Running{}); err != nil {
		return b.refuse(err)
	}
	if !b.conn.enterServing() {
		return b.refuse(b.conn.noRoom())
	}
	if b.conn.limiter.bodyPace > 0 {
		_ = b.control.SetReadDeadline(time.Time{})
	}
	return io.EOF
}

// refuse makes the server close the connection after the answer, without reading the rest
// of the body. The memory is returned at once: the handler drops what it has read.
func (b *body) refuse(err error) error {
	b.writer.Header().Set("Connection", "close")
	b.conn.claim.Release()
	_ = b.control.SetReadDeadline(past)
	return err
}
