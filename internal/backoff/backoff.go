// Package backoff delays the retries of a call to the platform's store.
package backoff

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sassafrasspur/sassafrasspur/internal/timer"
)

const (
	// initialPause is the mean pause after the first try: ten times the store's
	// usual response time.
	initialPause = 40 * time.Millisecond
	// maxPause bounds the mean pause, so that several tries fit into the time that
	// a turn waits for the store.
	maxPause = 320 * time.Millisecond
)

// Backoff computes the pauses of one call. They grow exponentially and are
// jittered, so that calls that were refused together are not retried together.
type Backoff struct {
	timers *timer.Service
	// pause is the mean of the next pause.
	pause time.Duration
}

// New returns the backoff of a new call.
func New(timers *timer.Service) *Backoff {
	return &Backoff{timers: timers, pause: initialPause}
}

// Wait pauses before the next try. It returns false if ctx is done first.
func (b *Backoff) Wait(ctx context.Context) bool {
	wait := b.timers.After(b.pause/2 + rand.N(b.pause))
	defer wait.Cancel()
	b.pause = min(2*b.pause, maxPause)
	select {
	case <-wait.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}
