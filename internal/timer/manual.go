package timer

import (
	"sync"
	"time"
)

// Manual is a clock for tests that only advances when a test advances it.
type Manual struct {
	mu    sync.Mutex
	start time.Time
	now   time.Time
	// suspended is the time for which the VM was suspended. The clock does not show
	// it, its boot time does.
	suspended time.Duration
	waiting   map[*manualTimer]struct{}
	// autoAdvance is true if the clock advances to each time that is subscribed to.
	autoAdvance bool
}

type manualTimer struct {
	moment time.Time
	c      chan time.Time
}

// NewManual returns a clock that is set to start.
func NewManual(start time.Time) *Manual {
	return &Manual{start: start, now: start, waiting: map[*manualTimer]struct{}{}}
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

// Suspend advances the boot time only, as if the VM had been suspended.
func (m *Manual) Suspend(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.suspended += d
}

// boot returns the boot time. It begins at an hour, so that readings before the start of
// a test are not negative.
func (m *Manual) boot() BootTime {
	m.mu.Lock()
	defer m.mu.Unlock()
	return BootTime(time.Hour + m.now.Sub(m.start) + m.suspended)
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
