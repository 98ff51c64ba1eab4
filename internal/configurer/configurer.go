// Package configurer maintains this VM's copy of the configuration.
//
// The version of the copy never decreases. The copy is fresh if the VM recently
// read the same version from the platform's store. A VM whose copy is not fresh
// can't know whether the copy is current, and accepts no new work.
package configurer

import (
	"time"

	"github.com/sassafrasspur/sassafrasspur/internal/configuration"
	"github.com/sassafrasspur/sassafrasspur/internal/confirmer"
	"github.com/sassafrasspur/sassafrasspur/internal/effect"
	"github.com/sassafrasspur/sassafrasspur/internal/message"
	"github.com/sassafrasspur/sassafrasspur/internal/pacer"
	"github.com/sassafrasspur/sassafrasspur/internal/rows"
	"github.com/sassafrasspur/sassafrasspur/internal/snapshot"
)

// Configurer is the controller of the configuration.
type Configurer struct {
	maxAge   time.Duration
	interval time.Duration
	report   func(error)

	current *configuration.Configuration
	// asOf is the latest time at which current is known to have been the newest
	// version.
	asOf   time.Time
	reader pacer.Reader
}

// Option configures a Configurer.
type Option func(*Configurer)

// WithFreshness sets the maximum age of a fresh copy and the interval between
// reads of the store.
func WithFreshness(maxAge, interval time.Duration) Option {
	return func(c *Configurer) { c.maxAge, c.interval = maxAge, interval }
}

// New returns a Configurer. It passes errors of rows that can't be decoded to
// report.
func New(report func(error), options ...Option) *Configurer {
	c := &Configurer{
		maxAge: 5 * time.Second, interval: time.Second, report: report, reader: pacer.NewReader(confirmer.ConfigurationTable),
	}
	for _, option := range options {
		option(c)
	}
	return c
}

// Handle processes a message of the control loop.
func (c *Configurer) Handle(now time.Time, m message.Message) []effect.Effect {
	switch m := m.(type) {
	case message.Started, message.Tick:
		return c.reader.Handle(now, m)
	case message.RowsRead:
		if c.reader.IsAnswer(m) {
			return append([]effect.Effect{c.reader.Set(now.Add(c.interval))}, c.update(m.Page, m.Err, m.SentAt)...)
		}
	}
	return nil
}

// Describe adds the configuration and its freshness to a snapshot.
func (c *Configurer) Describe(s *snapshot.Snapshot) {
	s.Configuration, s.ConfigurationAsOf = c.current, c.asOf
	if c.current != nil {
		s.ConfigurationFreshUntil = c.asOf.Add(c.maxAge)
	}
}

// update adopts a configuration with a higher version, and extends the freshness
// of the copy if the version is the same. A lower version comes from a read that
// a later one overtook, and is ignored.
func (c *Configurer) update(page rows.Page, err error, sentAt time.Time) []effect.Effect {
	if err != nil {
		return nil
	}
	read, err := confirmer.ReadConfiguration(page.Rows)
	if err != nil {
		c.report(err)
		return nil
	}
	if c.current != nil && read.Version < c.current.Version {
		return nil
	}
	if sentAt.After(c.asOf) {
		c.asOf = sentAt
	}
	effects := []effect.Effect{effect.Publish{}}
	if c.current == nil || read.Version > c.current.Version {
		c.current = read
		effects = append(effects, effect.Send{Message: message.ConfigurationRead{StartedAt: sentAt, Configuration: read}})
	}
	return effects
}
