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
	// defaultMaxPause bounds the mean pause, so that several tries fit into the time that
	// a turn waits for the store.
	defaultMaxPause = 320 * time.Millisecond
)

// Backoff computes the pauses of one call. They grow exponentially and are
// jittered, so that calls that were refused together are not retried together.
type Backoff struct {
	timers *timer.Service
	// pause is the mean of the next pause, and maxPause bounds it.
	pause, maxPause time.Duration
}

// Option configures a Backoff.
type Option func(*Backoff)

// WithMaxPause sets the bound of the mean pause.
func WithMaxPause(limit time.Duration) Option {
	return func(b *Backoff) { b.maxPause = limit }
}

// New returns the backoff of a new call.
func New(timers *timer.Service, options ...Option) *Backoff {
	b := &Backoff{timers: timers, pause: initialPause, maxPause: defaultMaxPause}
	for _, option := range options {
		option(b)
	}
	return b
}

// Wait pauses before the next try. It returns false if ctx is done first.
func (b *Backoff) Wait(ctx context.Context) bool {
	wait := b.timers.After(b.pause/2 + rand.N(b.pause))
	defer wait.Cancel()
	b.pause = min(2*b.pause, b.maxPause)
	select {
	case <-wait.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}
