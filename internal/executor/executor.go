// Package executor runs the control goroutine.
//
// One goroutine owns all control state: it processes one message at a time, passes it
// to each controller in a fixed order, and executes the effects that they return or
// passes them to the effect runner. Controllers need no locks, and the behaviour of a VM
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

// Controller owns a part of the control state. Its methods are called only by the
// control goroutine and must not block.
type Controller interface {
	// Handle updates the state for a message and returns the effects to execute.
	// Messages that do not concern the controller are ignored.
	Handle(now time.Time, m message.Message) []effect.Effect
	// Describe fills in the controller's part of a new snapshot. The snapshot must
	// not share memory that Handle modifies later.
	Describe(s *snapshot.Snapshot)
}

// EffectRunner executes effects that need I/O. Perform must not block; it posts the
// result later.
type EffectRunner interface {
	Perform(e effect.Effect, post func(message.Message))
}

// Observer is notified of the activity of the control goroutine. Its methods are called
// by that goroutine and must not block.
type Observer interface {
	// Handled is called with the time that the controllers took for a message.
	Handled(now time.Time, m message.Message, took time.Duration)
	// Published is called after a new snapshot has replaced the previous one.
	Published(before, after *snapshot.Snapshot)
}

// inboxSize is the number of messages that can wait for the control goroutine. Senders
// block while the inbox is full, which slows traffic down but loses no message.
const inboxSize = 4096

type envelope struct {
	message message.Message
	ticket  ident.Ticket
	reply   chan<- outcome.Outcome
}

// Executor runs controllers in the control goroutine.
type Executor struct {
	controllers  []Controller
	effectRunner EffectRunner
	observer     Observer
	timers       *timer.Service
	inbox        chan envelope
	lastTicket   atomic.Uint64
	latest       atomic.Pointer[snapshot.Snapshot]
	// changed holds a channel that is closed when the next snapshot is published.
	changed   atomic.Pointer[chan struct{}]
	closing   chan struct{}
	closeOnce sync.Once
	done      chan struct{}
}

// Option configures an Executor.
type Option func(*Executor)

// WithControllers adds controllers. Each message is passed to them in this order.
func WithControllers(controllers ...Controller) Option {
	return func(e *Executor) { e.controllers = append(e.controllers, controllers...) }
}

// WithEffectRunner sets the effect runner, which executes effects that need I/O.
func WithEffectRunner(r EffectRunner) Option {
	return func(e *Executor) { e.effectRunner = r }
}

// WithObserver sets the observer of the control goroutine.
func WithObserver(o Observer) Option {
	return func(e *Executor) { e.observer = o }
}

// WithTimers sets the timer service.
func WithTimers(t *timer.Service) Option {
	return func(e *Executor) { e.timers = t }
}

// New returns an executor and starts its control goroutine, which Close stops.
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
	loop := &loop{executor: e, pendingReplies: map[ident.Ticket]chan<- outcome.Outcome{}}
	go func() {
		defer close(e.done)
		loop.run()
	}()
	return e
}

// Snapshot returns the newest snapshot of control state.
func (e *Executor) Snapshot() *snapshot.Snapshot { return e.latest.Load() }

// Changed returns a channel that is closed when a snapshot newer than the current one
// is published.
func (e *Executor) Changed() <-chan struct{} { return *e.changed.Load() }

// publish replaces the current snapshot and wakes the goroutines that wait for a change.
func (e *Executor) publish(view *snapshot.Snapshot) {
	e.latest.Store(view)
	next := make(chan struct{})
	if old := e.changed.Swap(&next); old != nil {
		close(*old)
	}
}

// Post sends a message to the control goroutine. Messages are dropped after Close.
func (e *Executor) Post(m message.Message) {
	select {
	case e.inbox <- envelope{message: m}:
	case <-e.closing:
	}
}

// Ask sends the message that build returns for a new ticket, and waits for the reply.
// It returns an error of kind failure.Internal if the executor is closed, and the error
// of the context if it ends first. In the latter case the controllers receive
// message.WaitAbandoned.
func (e *Executor) Ask(ctx context.Context, build func(ident.Ticket) message.Message) (outcome.Outcome, error) {
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	ticket := ident.Ticket(e.lastTicket.Add(1))
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

// Close stops the control goroutine and waits until it has ended.
func (e *Executor) Close() {
	e.closeOnce.Do(func() { close(e.closing) })
	<-e.done
}
