// Package subscriber has the controller that keeps the routes up to date.
//
// It reads the routes once and then watches them for changes. A version is never
// replaced by an older one. If changes were lost or the watch failed, it reads the
// routes again.
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
	// defaultRoutesLimit is the time within which a new version has to be in force.
	// The known deployments have this limit.
	defaultRoutesLimit = 2500 * time.Millisecond
	// watchMargin is the part of the limit that remains after a watch timed out on
	// a silent connection. It covers retryInterval and a read that takes sixty times
	// the usual 4 ms.
	watchMargin = 800 * time.Millisecond
	// minWatchTimeout bounds the rate of watches under limits that leave less time.
	minWatchTimeout = 400 * time.Millisecond
	// retryInterval is the delay of the next read after an error.
	retryInterval = 250 * time.Millisecond
)

// Subscriber keeps the routes up to date.
type Subscriber struct {
	table  rows.Table
	decode func(rows.Row) (*routing.Table, error)
	reject func(error)
	// watchTimeout bounds one watch for changes.
	watchTimeout time.Duration

	routes *routing.Table
	asOf   time.Time
	// storeVersion is the version of the store up to which changes are known.
	storeVersion rows.Version
	// reader schedules the next read. None is scheduled while a request to the store
	// is pending.
	reader pacer.Reader
}

// Option configures a Subscriber.
type Option func(*Subscriber)

// WithRoutesLimit sets the time within which a new version has to be in force.
func WithRoutesLimit(limit time.Duration) Option {
	return func(s *Subscriber) { s.watchTimeout = watchTimeout(limit) }
}

// MaxAge returns the age of the routes up to which a watch that found no change may still
// be under way: that of two watches and of an answer that takes long.
func MaxAge(limit time.Duration) time.Duration { return 2*watchTimeout(limit) + watchMargin }

func watchTimeout(limit time.Duration) time.Duration { return max(limit-watchMargin, minWatchTimeout) }

// New returns the controller for the routes in a table. Rows that can't be decoded
// are ignored, and their errors are passed to reject.
func New(table rows.Table, decode func(rows.Row) (*routing.Table, error), reject func(error), options ...Option) *Subscriber {
	s := &Subscriber{reader: pacer.NewReader(table), table: table, decode: decode, reject: reject}
	WithRoutesLimit(defaultRoutesLimit)(s)
	for _, option := range options {
		option(s)
	}
	return s
}

// Handle processes a message and returns the resulting effects.
func (s *Subscriber) Handle(now time.Time, m message.Message) []effect.Effect {
	switch m := m.(type) {
	case message.Started, message.Tick:
		return s.reader.Handle(now, m)
	case message.RowsRead:
		if s.reader.IsAnswer(m) {
			return s.handleRows(now, m.Page, m.Err, m.SentAt)
		}
	case message.RowsChanged:
		if m.Table == s.table {
			return s.handleRows(now, m.Page, m.Err, m.SentAt)
		}
	}
	return nil
}

// handleRows applies a response of the store, and then watches for changes or
// schedules a retry.
func (s *Subscriber) handleRows(now time.Time, page rows.Page, err error, sentAt time.Time) []effect.Effect {
	if err != nil {
		return []effect.Effect{s.reader.Set(now.Add(retryInterval))}
	}
	s.storeVersion, s.asOf = page.Version, sentAt
	effects := []effect.Effect{effect.WatchRows{Table: s.table, After: s.storeVersion, Wait: s.watchTimeout}, effect.Publish{}}
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
		effects = append(effects, effect.Send{Message: message.RoutesChanged{Table: table, AsOf: sentAt}})
	}
	return effects
}

// Describe adds the routes to a snapshot.
func (s *Subscriber) Describe(view *snapshot.Snapshot) {
	view.Entry.Routes, view.Entry.RoutesAsOf = s.routes, s.asOf
}
