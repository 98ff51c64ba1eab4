package timer

import (
	"sync"
	"time"
)

// Manual is a clock that stands still until a test moves it.
type Manual struct {
	mu      sync.Mutex
	now     time.Time
	waiting map[*manualWait]struct{}
	// skips is true if the clock moves to each moment that is waited for.
	skips bool
}

type manualWait struct {
	moment time.Time
	c      chan time.Time
}

// NewManual returns a clock that shows start.
func NewManual(start time.Time) *Manual {
	return &Manual{now: start, waiting: map[*manualWait]struct{}{}}
}

// NewSkipping returns a clock that shows start and moves to each moment that is
// waited for, for tests that have one goroutine.
func NewSkipping(start time.Time) *Manual {
	m := NewManual(start)
	m.skips = true
	return m
}

// Now returns the time that the clock shows.
func (m *Manual) Now() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// Advance moves the clock and wakes those whose moment has come.
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

// Waiting returns the number of subscriptions that wait.
func (m *Manual) Waiting() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.waiting)
}

func (m *Manual) at(moment time.Time) *Subscription {
	m.mu.Lock()
	defer m.mu.Unlock()
	w := &manualWait{moment: moment, c: make(chan time.Time, 1)}
	if m.skips && moment.After(m.now) {
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
