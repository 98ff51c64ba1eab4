// Package lagger gives values as they were some time ago.
package lagger

import "time"

type sample[T any] struct {
	time  time.Time
	value T
}

// Lagger keeps a value and the recent history that its lag requires. It is not
// safe for concurrent use.
type Lagger[T comparable] struct {
	lag     time.Duration
	samples []sample[T]
}

// New returns a Lagger that shows initial until a later value is older than
// lag.
func New[T comparable](lag time.Duration, initial T) *Lagger[T] {
	return &Lagger[T]{lag: lag, samples: []sample[T]{{value: initial}}}
}

// Set records the value that holds from now on.
func (l *Lagger[T]) Set(now time.Time, value T) {
	if l.samples[len(l.samples)-1].value != value {
		l.samples = append(l.samples, sample[T]{time: now, value: value})
	}
	l.prune(now)
}

// Get returns the value as it was one lag before now.
func (l *Lagger[T]) Get(now time.Time) T {
	l.prune(now)
	return l.samples[0].value
}

// prune drops samples that were replaced before the reported moment.
func (l *Lagger[T]) prune(now time.Time) {
	moment := now.Add(-l.lag)
	first := 0
	for first+1 < len(l.samples) && !l.samples[first+1].time.After(moment) {
		first++
	}
	if first > 0 {
		l.samples = append(l.samples[:0], l.samples[first:]...)
	}
}
