// Package configurer keeps the node's copy of the configuration.
//
// The copy only ever moves to a higher version. It is fresh as long as the node
// has recently read the platform's store and found this version; a node whose
// copy is not fresh can't know that it is current and takes no new work.
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
	limit    time.Duration
	interval time.Duration
	report   func(error)

	current *configuration.Configuration
	// asOf is the latest time at which the current version is known to have
	// been the newest.
	asOf   time.Time
	reader pacer.Reader
}

// Option changes how New builds a Configurer.
type Option func(*Configurer)

// WithFreshness sets the age beyond which the copy is not fresh, and the
// interval at which the store is read.
func WithFreshness(limit, interval time.Duration) Option {
	return func(c *Configurer) { c.limit, c.interval = limit, interval }
}

// New returns a configurer. Rows that can't be decoded are given to report.
func New(report func(error), options ...Option) *Configurer {
	c := &Configurer{
		limit: 5 * time.Second, interval: time.Second, report: report, reader: pacer.NewReader(confirmer.ConfigurationTable),
	}
	for _, option := range options {
		option(c)
	}
	return c
}

// Handle takes part in the control loop.
func (c *Configurer) Handle(now time.Time, m message.Message) []effect.Effect {
	switch m := m.(type) {
	case message.Started, message.Tick:
		return c.reader.Handle(now, m)
	case message.RowsRead:
		if c.reader.Answers(m) {
			return append([]effect.Effect{c.reader.Set(now.Add(c.interval))}, c.took(m.Page, m.Err, m.SentAt)...)
		}
	}
	return nil
}

// Describe adds the configuration and its freshness to a snapshot.
func (c *Configurer) Describe(s *snapshot.Snapshot) {
	s.Configuration, s.ConfigurationAsOf = c.current, c.asOf
	if c.current != nil {
		s.ConfigurationUntil = c.asOf.Add(c.limit)
	}
}

// took takes a version over if it is higher, and notes that it is current if it
// is the same. A lower one is an answer that was overtaken.
func (c *Configurer) took(page rows.Page, err error, sent time.Time) []effect.Effect {
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
	if sent.After(c.asOf) {
		c.asOf = sent
	}
	effects := []effect.Effect{effect.Publish{}}
	if c.current == nil || read.Version > c.current.Version {
		c.current = read
		effects = append(effects, effect.Send{Message: message.ConfigurationRead{StartedAt: sent, Configuration: read}})
	}
	return effects
}
