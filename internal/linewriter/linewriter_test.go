package linewriter_test

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sassafrasspur/sassafrasspur/internal/linewriter"
	"github.com/sassafrasspur/sassafrasspur/internal/timer"
)

// channelWriter sends each write to a channel.
type channelWriter chan string

func (s channelWriter) Write(line []byte) (int, error) {
	s <- string(line)
	return len(line), nil
}

// Guards against a line that is written only together with the next one, because
// the wake-up of the writing goroutine is lost between its check of the queue and
// its wait. If it delays the first line of a VM, tests never see that VM as ready.
func TestLineIsWrittenWithoutAnother(t *testing.T) {
	const (
		loggers = 12
		lines   = 20_000
		// writeTimeout is far above the duration of a write on a busy machine.
		writeTimeout = 10 * time.Second
	)
	g := NewWithT(t)
	timers := timer.New()
	failed := make(chan error, loggers)
	var group sync.WaitGroup
	for range loggers {
		group.Go(func() {
			for i := range lines {
				out := make(channelWriter, 1)
				w := linewriter.New(out, 8, func(int64) {})
				if _, err := fmt.Fprintln(w, i); err != nil {
					failed <- err
					return
				}
				timeout := timers.After(writeTimeout)
				select {
				case <-out:
				case <-timeout.C:
					failed <- fmt.Errorf("line %d was not written", i)
					return
				}
				timeout.Cancel()
				w.Close(timers.After(writeTimeout))
			}
		})
	}
	group.Wait()
	close(failed)
	g.Expect(<-failed).To(Succeed())
}

// Guards against a slow reader of the log blocking requests, against dropped lines
// that are not reported, and against queued lines that Close loses.
func TestSlowReader(t *testing.T) {
	g := NewWithT(t)
	timers := timer.New()
	out := make(channelWriter)
	// The number of dropped lines may be reported in several parts.
	var dropped atomic.Int64
	w := linewriter.New(out, 2, func(lines int64) { dropped.Add(lines) })
	write := func(line string) {
		n, err := w.Write([]byte(line))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(n).To(Equal(len(line)))
	}
	write("first")
	g.Expect(<-out).To(Equal("first"))
	for range 11 {
		write("more")
	}
	var received []string
	readerDone := make(chan struct{})
	go func() {
		defer close(readerDone)
		for line := range out {
			received = append(received, line)
		}
	}()
	w.Close(timers.After(10 * time.Second))
	close(out)
	<-readerDone
	g.Expect(dropped.Load()).To(BeNumerically(">", 0))
	g.Expect(received).To(HaveLen(11 - int(dropped.Load())))
}

// Guards against Close hanging if nothing reads the log.
func TestCloseWithoutReader(t *testing.T) {
	g := NewWithT(t)
	timers := timer.New()
	w := linewriter.New(make(channelWriter), 2, func(int64) {})
	_, err := w.Write([]byte("line"))
	g.Expect(err).NotTo(HaveOccurred())
	w.Close(timers.After(10 * time.Millisecond))
}
