// Package backoff spaces the tries of a call of the platform's store.
package backoff

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sassafrasspur/sassafrasspur/internal/timer"
)

const (
	// first is the pause after the first try, ten answers of the store.
	first = 40 * time.Millisecond
	// longest bounds a pause, so that several tries fit into the time that a
	// turn waits for the store.
	longest = 320 * time.Millisecond
)

// Backoff is the pauses of one call. They double, and vary so that calls that
// were refused together do not come again together.
type Backoff struct {
	timers *timer.Service
	pause  time.Duration
}

// New returns the pauses of a call.
func New(timers *timer.Service) *Backoff {
	return &Backoff{timers: timers, pause: first}
}

// Wait waits before the next try and reports whether there is time for one.
func (b *Backoff) Wait(ctx context.Context) bool {
	wait := b.timers.After(b.pause/2 + rand.N(b.pause))
	defer wait.Cancel()
	b.pause = min(2*b.pause, longest)
	select {
	case <-wait.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}
