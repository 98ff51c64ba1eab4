package timer

import (
	"sync"
	"time"
)

// Manual is a clock for tests that only advances when a test advances it.
type Manual struct {
	mu      sync.Mutex
	now     time.Time
	waiting map[*manualTimer]struct{}
	// autoAdvance is true if the clock advances to each time that is subscribed to.
	autoAdvance bool
}

type manualTimer struct {
	moment time.Time
	c      chan time.Time
}

// NewManual returns a clock that is set to start.
func NewManual(start time.Time) *Manual {
	return &Manual{now: start, waiting: map[*manualTimer]struct{}{}}
}

// NewAutoAdvancing returns a clock that is set to start and advances to each time that is
// subscribed to. It suits tests that run in a single goroutine.
func NewAutoAdvancing(start time.Time) *Manual {
	m := NewManual(start)
	m.autoAdvance = true
	return m
}

// Now returns the current time of the clock.
func (m *Manual) Now() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// Advance advances the clock and fires the subscriptions whose time has been reached.
func (m *Manual) Advance(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now = m.now.Add(d)
	for w := range m.waiting {
		if !w.moment.After(m.now) {
			delete(m.waiting, w)
			w.c <- m.now
		}
	}
}

// Waiting returns the number of pending subscriptions.
func (m *Manual) Waiting() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.waiting)
}

func (m *Manual) at(moment time.Time) *Subscription {
	m.mu.Lock()
	defer m.mu.Unlock()
	w := &manualTimer{moment: moment, c: make(chan time.Time, 1)}
	if m.autoAdvance && moment.After(m.now) {
		m.now = moment
	}
	if !moment.After(m.now) {
		w.c <- m.now
	} else {
		m.waiting[w] = struct{}{}
	}
	return &Subscription{C: w.c, stop: func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		delete(m.waiting, w)
	}}
}
