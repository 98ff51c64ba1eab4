// Package timer is the service from which all parts get the time.
//
// Parts subscribe to a moment and receive on a channel when it has come. With
// the test clock, time passes only when the test says so.
package timer

import "time"

// Service gives the time and wakes its subscribers.
type Service struct {
	clock *Manual
}

// Option changes how New builds a Service.
type Option func(*Service)

// WithManual makes the service follow a clock that a test moves.
func WithManual(m *Manual) Option {
	return func(s *Service) { s.clock = m }
}

// New returns a service that follows the system's clock.
func New(options ...Option) *Service {
	s := &Service{}
	for _, option := range options {
		option(s)
	}
	return s
}

// Now returns the time. It has a monotonic reading with the system's clock.
func (s *Service) Now() time.Time {
	if s.clock != nil {
		return s.clock.Now()
	}
	return time.Now()
}

// Subscription is a wait for a moment.
type Subscription struct {
	// C receives once, when the moment has come.
	C    <-chan time.Time
	stop func()
}

// Cancel ends the wait. It may be called more than once.
func (s *Subscription) Cancel() { s.stop() }

// At subscribes to a moment.
func (s *Service) At(moment time.Time) *Subscription {
	if s.clock != nil {
		return s.clock.at(moment)
	}
	t := time.NewTimer(time.Until(moment))
	return &Subscription{C: t.C, stop: func() { t.Stop() }}
}

// After subscribes to the end of a duration.
func (s *Service) After(d time.Duration) *Subscription {
	return s.At(s.Now().Add(d))
}
