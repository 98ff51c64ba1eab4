// Package runner runs the state machine of a stand-in in one goroutine.
//
// The state of a stand-in is a Machine, which does no I/O. The goroutines of
// HTTP requests send it commands and wait for the replies. The state therefore
// needs no locks, and its behaviour is determined by the order and the times of
// the commands.
package runner

import (
	"sync"
	"time"

	"github.com/sassafrasspur/sassafrasspur/internal/timer"
)

// Machine is the state machine of a stand-in. Only the goroutine of a Runner
// calls it.
type Machine[C, R any] interface {
	// Handle executes a command and returns its reply.
	Handle(now time.Time, command C) R
	// Tick performs the transitions that are due and returns the time at which
	// it must be called again, or the zero time if nothing is scheduled.
	Tick(now time.Time) time.Time
}

type envelope[C, R any] struct {
	command C
	reply   chan<- R
}

// Runner passes commands to a Machine, one at a time.
type Runner[C, R any] struct {
	inbox     chan envelope[C, R]
	closing   chan struct{}
	closeOnce sync.Once
	done      chan struct{}
}

// New starts the goroutine that owns m. Close stops it.
func New[C, R any](m Machine[C, R], timers *timer.Service) *Runner[C, R] {
	r := &Runner[C, R]{
		inbox:   make(chan envelope[C, R]),
		closing: make(chan struct{}),
		done:    make(chan struct{}),
	}
	go func() {
		defer close(r.done)
		r.run(m, timers)
	}()
	return r
}

func (r *Runner[C, R]) run(m Machine[C, R], timers *timer.Service) {
	for {
		var tick <-chan time.Time
		cancel := func() {}
		if next := m.Tick(timers.Now()); !next.IsZero() {
			subscription := timers.At(next)
			tick, cancel = subscription.C, subscription.Cancel
		}
		select {
		case e := <-r.inbox:
			now := timers.Now()
			m.Tick(now)
			e.reply <- m.Handle(now, e.command)
		case <-tick:
		case <-r.closing:
			cancel()
			return
		}
		cancel()
	}
}

// Ask sends a command and returns the reply, or the zero value of R after
// Close.
func (r *Runner[C, R]) Ask(command C) R {
	reply := make(chan R, 1)
	select {
	case r.inbox <- envelope[C, R]{command: command, reply: reply}:
		return <-reply
	case <-r.closing:
		var none R
		return none
	}
}

// Close stops the goroutine and waits until it has ended.
func (r *Runner[C, R]) Close() {
	r.closeOnce.Do(func() { close(r.closing) })
	<-r.done
}
