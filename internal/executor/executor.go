// Package executor runs the control goroutine.
//
// One goroutine owns all control state: it takes one message at a time, gives
// it to each controller in a fixed order, and carries out or passes on the
// effects that they return. Controllers need no locks, and a node's behaviour
// is a function of the sequence of its messages and their times.
package executor

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/effect"
	"github.com/sassafrasspur/sassafrasspur/internal/failure"
	"github.com/sassafrasspur/sassafrasspur/internal/message"
	"github.com/sassafrasspur/sassafrasspur/internal/outcome"
	"github.com/sassafrasspur/sassafrasspur/internal/snapshot"
	"github.com/sassafrasspur/sassafrasspur/internal/timer"
)

// Controller owns a part of the control state. Its methods are called by the
// control goroutine only and must not block.
type Controller interface {
	// Handle changes the state by a message. Messages that do not concern the
	// controller are ignored.
	Handle(now time.Time, m message.Message) []effect.Effect
	// Describe fills the controller's part of a new snapshot. It must not give
	// away anything that Handle changes later.
	Describe(s *snapshot.Snapshot)
}

// Performer carries out effects that need I/O. Perform must not block; the
// result is posted later.
type Performer interface {
	Perform(e effect.Effect, post func(message.Message))
}

// Observer watches the control goroutine, which calls it. Its methods must not
// block.
type Observer interface {
	// Handled tells how long the controllers took for a message.
	Handled(now time.Time, m message.Message, took time.Duration)
	// Published tells that a snapshot replaced another.
	Published(before, after *snapshot.Snapshot)
}

// inboxSize bounds the messages that wait for the control goroutine. A sender
// blocks when it is full, which slows traffic down but loses nothing.
const inboxSize = 4096

type envelope struct {
	message message.Message
	ticket  ident.Ticket
	reply   chan<- outcome.Outcome
}

// Executor runs controllers in the control goroutine.
type Executor struct {
	controllers []Controller
	performer   Performer
	observer    Observer
	timers      *timer.Service
	inbox       chan envelope
	tickets     atomic.Uint64
	view        atomic.Pointer[snapshot.Snapshot]
	// changed holds a channel that is closed when the next snapshot is there.
	changed   atomic.Pointer[chan struct{}]
	closing   chan struct{}
	closeOnce sync.Once
	done      chan struct{}
}

// Option changes how New builds an Executor.
type Option func(*Executor)

// WithControllers adds controllers; messages reach them in this order.
func WithControllers(controllers ...Controller) Option {
	return func(e *Executor) { e.controllers = append(e.controllers, controllers...) }
}

// WithPerformer sets what carries out I/O.
func WithPerformer(p Performer) Option {
	return func(e *Executor) { e.performer = p }
}

// WithObserver sets what watches the control goroutine.
func WithObserver(o Observer) Option {
	return func(e *Executor) { e.observer = o }
}

// WithTimers sets the timer service.
func WithTimers(t *timer.Service) Option {
	return func(e *Executor) { e.timers = t }
}

// New starts the control goroutine. Close ends it.
func New(options ...Option) *Executor {
	e := &Executor{
		timers:  timer.New(),
		inbox:   make(chan envelope, inboxSize),
		closing: make(chan struct{}),
		done:    make(chan struct{}),
	}
	for _, option := range options {
		option(e)
	}
	e.publish(&snapshot.Snapshot{})
	loop := &loop{executor: e, waiting: map[ident.Ticket]chan<- outcome.Outcome{}}
	go func() {
		defer close(e.done)
		loop.run()
	}()
	return e
}

// Snapshot returns the newest view of control state.
func (e *Executor) Snapshot() *snapshot.Snapshot { return e.view.Load() }

// Changed returns a channel that is closed when a snapshot newer than the one at
// the time of the call is there.
func (e *Executor) Changed() <-chan struct{} { return *e.changed.Load() }

// publish makes a snapshot the newest and wakes those who wait for it.
func (e *Executor) publish(view *snapshot.Snapshot) {
	e.view.Store(view)
	next := make(chan struct{})
	if old := e.changed.Swap(&next); old != nil {
		close(*old)
	}
}

// Post gives a message to the control goroutine. It is dropped after Close.
func (e *Executor) Post(m message.Message) {
	select {
	case e.inbox <- envelope{message: m}:
	case <-e.closing:
	}
}

// Ask sends the message that build makes for a ticket and waits for the
// answer. It returns an error of kind internal if the executor was closed, and
// the context's error if that ends first; the controllers learn of the latter
// by message.WaitAbandoned.
func (e *Executor) Ask(ctx context.Context, build func(ident.Ticket) message.Message) (outcome.Outcome, error) {
	ticket := ident.Ticket(e.tickets.Add(1))
	reply := make(chan outcome.Outcome, 1)
	select {
	case e.inbox <- envelope{message: build(ticket), ticket: ticket, reply: reply}:
	case <-e.closing:
		return nil, failure.New(failure.Internal, "the node has stopped; repeat the request at another address")
	}
	select {
	case answer := <-reply:
		if refused, ok := answer.(outcome.Refused); ok {
			return nil, refused.Err
		}
		return answer, nil
	case <-ctx.Done():
		e.Post(message.WaitAbandoned{Ticket: ticket})
		return nil, ctx.Err()
	case <-e.closing:
		return nil, failure.New(failure.Internal, "the node has stopped; repeat the request at another address")
	}
}

// Close ends the control goroutine and waits for it.
func (e *Executor) Close() {
	e.closeOnce.Do(func() { close(e.closing) })
	<-e.done
}
