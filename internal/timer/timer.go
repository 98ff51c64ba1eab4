// Package timer provides the time and timers to all other packages.
//
// A subscription to a time receives on a channel when that time is reached. With a
// manual clock, time advances only under the control of a test.
package timer

import "time"

// Service returns the current time and notifies subscribers at a given time.
type Service struct {
	clock *Manual
}

// Option configures a Service.
type Option func(*Service)

// WithManual makes the service use a manual clock.
func WithManual(m *Manual) Option {
	return func(s *Service) { s.clock = m }
}

// New returns a service. By default it uses the system clock.
func New(options ...Option) *Service {
	s := &Service{}
	for _, option := range options {
		option(s)
	}
	return s
}

// Now returns the current time. With the system clock, it has a monotonic reading.
func (s *Service) Now() time.Time {
	if s.clock != nil {
		return s.clock.Now()
	}
	return time.Now()
}

// Subscription is a pending notification for a given time.
type Subscription struct {
	// C receives once, when the time is reached.
	C    <-chan time.Time
	stop func()
}

// Cancel cancels the subscription. It may be called more than once.
func (s *Subscription) Cancel() { s.stop() }

// At returns a subscription to a time. A time in the past is reached immediately.
func (s *Service) At(moment time.Time) *Subscription {
	if s.clock != nil {
		return s.clock.at(moment)
	}
	t := time.NewTimer(time.Until(moment))
	return &Subscription{C: t.C, stop: func() { t.Stop() }}
}

// After returns a subscription to the time after a duration.
func (s *Service) After(d time.Duration) *Subscription {
	return s.At(s.Now().Add(d))
}
