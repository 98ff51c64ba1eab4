// Package subscriber has the controller that keeps the routes up to date.
//
// It reads the routes once and then waits for changes. A version is never
// replaced by an older one. When changes were lost, or can't be read, it reads
// the routes again.
package subscriber

import (
	"time"

	"github.com/sassafrasspur/sassafrasspur/internal/effect"
	"github.com/sassafrasspur/sassafrasspur/internal/message"
	"github.com/sassafrasspur/sassafrasspur/internal/pacer"
	"github.com/sassafrasspur/sassafrasspur/internal/routing"
	"github.com/sassafrasspur/sassafrasspur/internal/rows"
	"github.com/sassafrasspur/sassafrasspur/internal/snapshot"
)

const (
	// defaultLimit is the time after which a version is in force on the known
	// deployments.
	defaultLimit = 2500 * time.Millisecond
	// watchMargin is the part of the limit that is left when a wait for changes
	// ends without an answer, because its connection went silent: for the pause,
	// and for a read that takes sixty times as long as usual (4 ms).
	watchMargin = 800 * time.Millisecond
	// shortestWatch spaces the waits under limits that leave less time.
	shortestWatch = 400 * time.Millisecond
	// readPause spaces reads after an error.
	readPause = 250 * time.Millisecond
)

// Subscriber keeps the routes.
type Subscriber struct {
	table  rows.Table
	decode func(rows.Row) (*routing.Table, error)
	reject func(error)
	// wait bounds one wait for changes.
	wait time.Duration

	routes *routing.Table
	asOf   time.Time
	// seen is the version of the store up to which changes are known.
	seen rows.Version
	// reader has the next read, none while a request to the store is under way.
	reader pacer.Reader
}

// Option changes how New builds a Subscriber.
type Option func(*Subscriber)

// WithLimit sets the time after which a version is in force.
func WithLimit(limit time.Duration) Option {
	return func(s *Subscriber) { s.wait = max(limit-watchMargin, shortestWatch) }
}

// New returns the controller for the routes in a table. Rows that can't be
// decoded are given to reject and change nothing.
func New(table rows.Table, decode func(rows.Row) (*routing.Table, error), reject func(error), options ...Option) *Subscriber {
	s := &Subscriber{reader: pacer.NewReader(table), table: table, decode: decode, reject: reject}
	WithLimit(defaultLimit)(s)
	for _, option := range options {
		option(s)
	}
	return s
}

// Handle follows the routes.
func (s *Subscriber) Handle(now time.Time, m message.Message) []effect.Effect {
	switch m := m.(type) {
	case message.Started, message.Tick:
		return s.reader.Handle(now, m)
	case message.RowsRead:
		if s.reader.Answers(m) {
			return s.took(now, m.Page, m.Err, m.SentAt)
		}
	case message.RowsChanged:
		if m.Table == s.table {
			return s.took(now, m.Page, m.Err, m.SentAt)
		}
	}
	return nil
}

// took applies what the store said and asks for what comes next.
func (s *Subscriber) took(now time.Time, page rows.Page, err error, sent time.Time) []effect.Effect {
	if err != nil {
		return []effect.Effect{s.reader.Set(now.Add(readPause))}
	}
	s.seen, s.asOf = page.Version, sent
	effects := []effect.Effect{effect.WatchRows{Table: s.table, After: s.seen, Wait: s.wait}, effect.Publish{}}
	for _, row := range page.Rows {
		table, err := s.decode(row)
		if err != nil {
			s.reject(err)
			continue
		}
		if table == nil || s.routes != nil && table.Version <= s.routes.Version {
			continue
		}
		s.routes = table
		effects = append(effects, effect.Send{Message: message.RoutesChanged{Table: table, AsOf: sent}})
	}
	return effects
}

// Describe adds the routes to a snapshot.
func (s *Subscriber) Describe(view *snapshot.Snapshot) {
	view.Entry.Routes, view.Entry.RoutesAsOf = s.routes, s.asOf
}
