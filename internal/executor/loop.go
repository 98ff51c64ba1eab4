package executor

import (
	"time"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/effect"
	"github.com/sassafrasspur/sassafrasspur/internal/message"
	"github.com/sassafrasspur/sassafrasspur/internal/outcome"
	"github.com/sassafrasspur/sassafrasspur/internal/snapshot"
	"github.com/sassafrasspur/sassafrasspur/internal/timer"
)

// loop is the state of the control goroutine.
type loop struct {
	executor       *Executor
	pendingReplies map[ident.Ticket]chan<- outcome.Outcome
	// nextWake is the time of the pending tick, the earliest that a controller
	// requested.
	nextWake     time.Time
	subscription *timer.Subscription
	// pendingMessages holds messages sent by controllers. They are handled before
	// the inbox is read again.
	pendingMessages []message.Message
	publishPending  bool
}

func (l *loop) run() {
	l.handle(message.Started{})
	for {
		var tick <-chan time.Time
		if l.subscription != nil {
			tick = l.subscription.C
		}
		select {
		case envelope := <-l.executor.inbox:
			if envelope.reply != nil {
				l.pendingReplies[envelope.ticket] = envelope.reply
			}
			if abandoned, ok := envelope.message.(message.WaitAbandoned); ok {
				delete(l.pendingReplies, abandoned.Ticket)
			}
			l.handle(envelope.message)
		case <-tick:
			l.subscription, l.nextWake = nil, time.Time{}
			l.handle(message.Tick{})
		case <-l.executor.closing:
			if l.subscription != nil {
				l.subscription.Cancel()
			}
			return
		}
	}
}

// handle passes a message, and all messages that controllers send while handling it, to
// the controllers. It then publishes a snapshot if a controller requested one.
func (l *loop) handle(m message.Message) {
	l.pendingMessages = append(l.pendingMessages, m)
	for len(l.pendingMessages) > 0 {
		next := l.pendingMessages[0]
		l.pendingMessages = l.pendingMessages[1:]
		now := l.executor.timers.Now()
		for _, controller := range l.executor.controllers {
			for _, e := range controller.Handle(now, next) {
				l.execute(e)
			}
		}
		if o := l.executor.observer; o != nil {
			o.Handled(now, next, l.executor.timers.Now().Sub(now))
		}
	}
	if l.publishPending {
		l.publishPending = false
		view := &snapshot.Snapshot{}
		for _, controller := range l.executor.controllers {
			controller.Describe(view)
		}
		before := l.executor.Snapshot()
		l.executor.publish(view)
		if o := l.executor.observer; o != nil {
			o.Published(before, view)
		}
	}
}

func (l *loop) execute(e effect.Effect) {
	switch e := e.(type) {
	case effect.Answer:
		if reply, ok := l.pendingReplies[e.Ticket]; ok {
			delete(l.pendingReplies, e.Ticket)
			reply <- e.Outcome
		}
	case effect.Send:
		l.pendingMessages = append(l.pendingMessages, e.Message)
	case effect.WakeAt:
		l.wakeAt(e.Time)
	case effect.Publish:
		l.publishPending = true
	default:
		l.executor.effectRunner.Perform(e, l.executor.Post)
	}
}

func (l *loop) wakeAt(moment time.Time) {
	if l.subscription != nil {
		if !moment.Before(l.nextWake) {
			return
		}
		l.subscription.Cancel()
	}
	l.nextWake = moment
	l.subscription = l.executor.timers.At(moment)
}
