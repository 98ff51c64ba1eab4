// Package delayer reports a value with a fixed delay, like a load report that
// lags behind the actual load.
package delayer

import "time"

type sample[T any] struct {
	time  time.Time
	value T
}

// Delayer holds a value and as much of its history as the lag requires. It is
// not safe for concurrent use.
type Delayer[T comparable] struct {
	lag     time.Duration
	samples []sample[T]
}

// New returns a Delayer that reports initial until a later value was set at
// least lag ago.
func New[T comparable](lag time.Duration, initial T) *Delayer[T] {
	return &Delayer[T]{lag: lag, samples: []sample[T]{{value: initial}}}
}

// Set records the value as of now.
func (dl *Delayer[T]) Set(now time.Time, value T) {
	if dl.samples[len(dl.samples)-1].value != value {
		dl.samples = append(dl.samples, sample[T]{time: now, value: value})
	}
	dl.prune(now)
}

// Get returns the value as it was one lag before now.
func (dl *Delayer[T]) Get(now time.Time) T {
	dl.prune(now)
	return dl.samples[0].value
}

// prune drops samples that were superseded before the reported time.
func (dl *Delayer[T]) prune(now time.Time) {
	cutoff := now.Add(-dl.lag)
	first := 0
	for first+1 < len(dl.samples) && !dl.samples[first+1].time.After(cutoff) {
		first++
	}
	if first > 0 {
		dl.samples = append(dl.samples[:0], dl.samples[first:]...)
	}
}
