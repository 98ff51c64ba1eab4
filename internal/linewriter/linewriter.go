// Package linewriter writes log lines without blocking the goroutines that log.
//
// One goroutine writes the lines from a queue of fixed size. If the reader of the
// log falls behind and the queue is full, further lines are dropped and counted.
// zerolog's own non-blocking writer, diode, can miss the wake-up for a line, so
// that the line is written only together with the next one.
package linewriter

import (
	"bytes"
	"io"
	"sync"
	"sync/atomic"

	"github.com/sassafrasspur/sassafrasspur/internal/timer"
)

// Linewriter is an io.Writer that queues lines. It is safe for concurrent use.
type Linewriter struct {
	queue    chan []byte
	dropped  atomic.Int64
	stop     chan struct{}
	stopOnce sync.Once
	done     chan struct{}
}

// New starts a goroutine that writes lines to out, with a queue of queueSize lines.
// Before the first line after a loss, it calls onDropped with the number of dropped
// lines; onDropped may write to out.
func New(out io.Writer, queueSize int, onDropped func(lines int64)) *Linewriter {
	w := &Linewriter{queue: make(chan []byte, queueSize), stop: make(chan struct{}), done: make(chan struct{})}
	write := func(line []byte) {
		if n := w.dropped.Swap(0); n > 0 {
			onDropped(n)
		}
		// A failed write can't be logged and must not stop the process.
		_, _ = out.Write(line)
	}
	go func() {
		defer close(w.done)
		for {
			select {
			case line := <-w.queue:
				write(line)
			case <-w.stop:
				for len(w.queue) > 0 {
					write(<-w.queue)
				}
				return
			}
		}
	}()
	return w
}

// Write queues one line, or drops it if the queue is full. It never blocks and
// never returns an error.
func (w *Linewriter) Write(line []byte) (int, error) {
	select {
	case w.queue <- bytes.Clone(line):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Close waits until the queued lines are written or timeout fires. Lines passed to
// Write afterwards are lost.
func (w *Linewriter) Close(timeout *timer.Subscription) {
	w.stopOnce.Do(func() { close(w.stop) })
	defer timeout.Cancel()
	select {
	case <-w.done:
	case <-timeout.C:
	}
}
