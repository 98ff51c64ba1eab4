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
	executor *Executor
	waiting  map[ident.Ticket]chan<- outcome.Outcome
	// wake is the earliest moment that a controller asked for.
	wake         time.Time
	subscription *timer.Subscription
	// queue holds messages from controllers; it is emptied before the inbox is
	// read again.
	queue   []message.Message
	publish bool
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
				l.waiting[envelope.ticket] = envelope.reply
			}
			if abandoned, ok := envelope.message.(message.WaitAbandoned); ok {
				delete(l.waiting, abandoned.Ticket)
			}
			l.handle(envelope.message)
		case <-tick:
			l.subscription, l.wake = nil, time.Time{}
			l.handle(message.Tick{})
		case <-l.executor.closing:
			if l.subscription != nil {
				l.subscription.Cancel()
			}
			return
		}
	}
}

// handle gives a message, and all that controllers send because of it, to the
// controllers.
func (l *loop) handle(m message.Message) {
	l.queue = append(l.queue, m)
	for len(l.queue) > 0 {
		next := l.queue[0]
		l.queue = l.queue[1:]
		now := l.executor.timers.Now()
		for _, controller := range l.executor.controllers {
			for _, e := range controller.Handle(now, next) {
				l.carryOut(e)
			}
		}
		if o := l.executor.observer; o != nil {
			o.Handled(now, next, l.executor.timers.Now().Sub(now))
		}
	}
	if l.publish {
		l.publish = false
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

func (l *loop) carryOut(e effect.Effect) {
	switch e := e.(type) {
	case effect.Answer:
		if reply, ok := l.waiting[e.Ticket]; ok {
			delete(l.waiting, e.Ticket)
			reply <- e.Outcome
		}
	case effect.Send:
		l.queue = append(l.queue, e.Message)
	case effect.WakeAt:
		l.wakeAt(e.Time)
	case effect.Publish:
		l.publish = true
	default:
		l.executor.performer.Perform(e, l.executor.Post)
	}
}

func (l *loop) wakeAt(moment time.Time) {
	if l.subscription != nil {
		if !moment.Before(l.wake) {
			return
		}
		l.subscription.Cancel()
	}
	l.wake = moment
	l.subscription = l.executor.timers.At(moment)
}
