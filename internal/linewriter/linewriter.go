// Package linewriter writes log lines without blocking those who log.
//
// Lines wait in a queue of fixed size for one goroutine that writes them. When
// the reader of the log falls behind, lines beyond the queue are dropped and
// counted. zerolog's own writer of this kind can miss the wake-up for a line, so
// that the line appears only with the next one.
package linewriter

import (
	"bytes"
	"io"
	"sync"
	"sync/atomic"

	"github.com/sassafrasspur/sassafrasspur/internal/timer"
)

// Linewriter is an io.Writer of lines. It may be used by several goroutines.
type Linewriter struct {
	lines   chan []byte
	dropped atomic.Int64
	closing chan struct{}
	once    sync.Once
	done    chan struct{}
}

// New starts to write lines to out, of which size may wait. Before the first
// line after a loss, missed is called with the number of lost lines; it may
// write to out.
func New(out io.Writer, size int, missed func(lines int64)) *Linewriter {
	w := &Linewriter{lines: make(chan []byte, size), closing: make(chan struct{}), done: make(chan struct{})}
	write := func(line []byte) {
		if n := w.dropped.Swap(0); n > 0 {
			missed(n)
		}
		// A log that can't be written can't say so; the process goes on.
		_, _ = out.Write(line)
	}
	go func() {
		defer close(w.done)
		for {
			select {
			case line := <-w.lines:
				write(line)
			case <-w.closing:
				for len(w.lines) > 0 {
					write(<-w.lines)
				}
				return
			}
		}
	}()
	return w
}

// Write queues one line or drops it. It never blocks and returns no error.
func (w *Linewriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- bytes.Clone(line):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Close waits until the queued lines are written or the wait ends. Lines that are
// written later are lost.
func (w *Linewriter) Close(limit *timer.Subscription) {
	w.once.Do(func() { close(w.closing) })
	defer limit.Cancel()
	select {
	case <-w.done:
	case <-limit.C:
	}
}
