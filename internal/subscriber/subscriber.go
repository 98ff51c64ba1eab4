// Package subscriber has the controller that keeps the routes up to date.
//
// It reads the routes once and then watches them for changes. A version is never
// replaced by an older one. If changes were lost or the watch failed, it reads the
// routes again.
//
// It also keeps the time at which the store is proved to have held no newer routes, and
// reads the routes beside a watch if a request needs a newer proof.
package subscriber

import (
	"time"

	"github.com/sassafrasspur/sassafrasspur/internal/effect"
	"github.com/sassafrasspur/sassafrasspur/internal/message"
	"github.com/sassafrasspur/sassafrasspur/internal/pacer"
	"github.com/sassafrasspur/sassafrasspur/internal/prover"
	"github.com/sassafrasspur/sassafrasspur/internal/routing"
	"github.com/sassafrasspur/sassafrasspur/internal/rows"
	"github.com/sassafrasspur/sassafrasspur/internal/snapshot"
	"github.com/sassafrasspur/sassafrasspur/internal/timer"
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
	// retryInterval is the delay of the next read after an error. It is also the least
	// time between two reads for a newer proof.
	retryInterval = 250 * time.Millisecond
	// proofWatchShare is the length of a watch as a share of the revocation limit. A proof
	// is as old as two watches before the next answer: 2 s with a limit of 5 s. The rest
	// of the 3.5 s for which a key may be used on a proof is left for a failed watch.
	proofWatchShare = 0.2
)

// Subscriber keeps the routes up to date.
type Subscriber struct {
	table  rows.Table
	decode func(rows.Row) (*routing.Table, error)
	reject func(error)
	// watchTimeout bounds one watch for changes.
	watchTimeout time.Duration
	// revocationLimit is 0 if the use of keys needs no proof.
	revocationLimit time.Duration

	routes *routing.Table
	asOf   time.Time
	prover prover.Prover
	// provenAt is the time at which the store held no newer routes, 0 if unknown.
	provenAt timer.BootTime
	// decodedVersion and undecodedVersion are the highest versions of rows with routes
	// that could be decoded, and of rows that could not.
	decodedVersion, undecodedVersion rows.Version
	// unanswered is true if the last read failed.
	unanswered bool
	// watching is true while a watch is pending, and confirming while a read beside it is.
	watching, confirming bool
	// confirmAt is the time from which such a read may be sent.
	confirmAt time.Time
	// storeVersion is the version of the store up to which changes are known, and
	// priorVersion that of the answer before.
	storeVersion, priorVersion rows.Version
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

// WithRevocationLimit sets the time within which a removed key must no longer be used.
// While the routes list accounts, watches are short enough for proofs not to lapse.
func WithRevocationLimit(limit time.Duration) Option {
	return func(s *Subscriber) { s.revocationLimit = limit }
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
			if s.confirming = false; !s.watching && m.Err == nil {
				// The rows are those of the table, not of the feed.
				s.storeVersion = m.Page.Version
			}
			return s.handleRows(now, m.Page, m.Err, m.SentAt, m.Timing)
		}
	case message.RowsChanged:
		if m.Table == s.table {
			s.watching = false
			return s.handleRows(now, m.Page, m.Err, m.SentAt, m.Timing)
		}
	case message.RoutesDoubted:
		return s.confirm(now)
	}
	return nil
}

// confirm reads the routes beside the watch for a newer proof. Without a pending watch,
// a read is pending or scheduled already.
func (s *Subscriber) confirm(now time.Time) []effect.Effect {
	if !s.watching || s.confirming || now.Before(s.confirmAt) {
		return nil
	}
	s.confirming, s.confirmAt = true, now.Add(retryInterval)
	return []effect.Effect{effect.ReadRows{Range: rows.Range{Table: s.table}}}
}

// handleRows applies a response of the store, and then watches for changes or
// schedules a retry, unless a watch is pending.
func (s *Subscriber) handleRows(now time.Time, page rows.Page, err error, sentAt time.Time, timing message.ReadTiming) []effect.Effect {
	var effects []effect.Effect
	if (err != nil) != s.unanswered {
		s.unanswered = err != nil
		effects = append(effects, effect.Publish{})
	}
	if err != nil {
		if s.watching || s.confirming {
			return effects
		}
		return append(effects, s.reader.Set(now.Add(retryInterval)))
	}
	s.asOf = sentAt
	decoded := s.decodeRows(page, sentAt)
	s.prove(timing, page)
	if !s.watching {
		s.watching = true
		effects = append(effects, s.watch(page.Version))
	}
	return append(append(effects, effect.Publish{}), decoded...)
}

// decodeRows puts a newer version among the rows of a page in force.
func (s *Subscriber) decodeRows(page rows.Page, sentAt time.Time) []effect.Effect {
	var effects []effect.Effect
	for _, row := range page.Rows {
		table, err := s.decode(row)
		if err != nil {
			s.undecodedVersion = max(s.undecodedVersion, row.Version)
			s.reject(err)
			continue
		}
		if table == nil {
			continue
		}
		s.decodedVersion = max(s.decodedVersion, row.Version)
		if s.routes != nil && table.Version <= s.routes.Version {
			continue
		}
		s.routes = table
		effects = append(effects, effect.Send{Message: message.RoutesChanged{Table: table, AsOf: sentAt}})
	}
	return effects
}

// prove advances the proof by an answer. Routes that could not be decoded may differ from
// those in use, whose proof then stays as it is.
func (s *Subscriber) prove(timing message.ReadTiming, page rows.Page) {
	provenAt, ok := s.prover.Prove(timing, page)
	if ok && s.undecodedVersion <= s.decodedVersion {
		s.provenAt = max(s.provenAt, provenAt)
	}
}

// watch returns the next watch after an answer of a version.
//
// The store's feed may deliver nothing for a second while changes are made, and name their
// version already. If revocation is strict, the watch therefore begins at the version of
// the answer before: changes that were delivered then are received twice.
func (s *Subscriber) watch(version rows.Version) effect.Effect {
	s.priorVersion, s.storeVersion = s.storeVersion, version
	w := effect.WatchRows{Table: s.table, After: version, Wait: s.watchTimeout}
	if s.revocationLimit > 0 && s.routes != nil && s.routes.Accounts != nil {
		w.Wait = min(w.Wait, max(time.Duration(proofWatchShare*float64(s.revocationLimit)), minWatchTimeout))
		w.After = min(version, s.priorVersion)
	}
	return w
}

// Describe adds the routes to a snapshot.
func (s *Subscriber) Describe(view *snapshot.Snapshot) {
	e := &view.Entry
	e.Routes, e.RoutesAsOf, e.RoutesProvenAt, e.RoutesUnanswered = s.routes, s.asOf, s.provenAt, s.unanswered
}
