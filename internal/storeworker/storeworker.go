// Package storeworker performs the effects that read or write the platform's
// store, and those that read another entry VM's copy of its rows.
package storeworker

import (
	"context"

	"github.com/sassafrasspur/sassafrasspur/internal/effect"
	"github.com/sassafrasspur/sassafrasspur/internal/message"
	"github.com/sassafrasspur/sassafrasspur/internal/rows"
	"github.com/sassafrasspur/sassafrasspur/internal/snapshot"
	"github.com/sassafrasspur/sassafrasspur/internal/timer"
	"github.com/sassafrasspur/sassafrasspur/internal/upstream"
)

// Storeworker reads and writes rows on behalf of controllers.
type Storeworker struct {
	ctx    context.Context
	store  rows.Store
	peers  Peers
	timers *timer.Service
	// knownVersion returns the highest version seen in an answer of the store.
	knownVersion func() rows.Version
}

// Peers queries other entry VMs for what they read from the store.
type Peers interface {
	// Upstreams returns the changes of a peer's list of upstreams.
	Upstreams(ctx context.Context, e effect.FetchUpstreams) (upstream.Change, error)
	// Members returns the changes of a peer's list of entry VMs.
	Members(ctx context.Context, e effect.FetchMembers) (snapshot.MemberChange, error)
}

// Option configures a Storeworker.
type Option func(*Storeworker)

// WithPeers sets the client that queries other entry VMs. It is required for the
// effects FetchUpstreams and FetchMembers.
func WithPeers(peers Peers) Option { return func(w *Storeworker) { w.peers = peers } }

// WithKnownVersion sets the source of message.ReadTiming.Known. Without it, no answer
// proves its age.
func WithKnownVersion(known func() rows.Version) Option {
	return func(w *Storeworker) { w.knownVersion = known }
}

// New returns a worker whose requests are cancelled when ctx is done.
func New(ctx context.Context, store rows.Store, timers *timer.Service, options ...Option) *Storeworker {
	w := &Storeworker{ctx: ctx, store: store, timers: timers, knownVersion: func() rows.Version { return 0 }}
	for _, option := range options {
		option(w)
	}
	return w
}

// Perform starts an effect and posts its result when it is done. Effects of other
// effect runners are ignored.
func (w *Storeworker) Perform(e effect.Effect, post func(message.Message)) {
	sentAt := w.timers.Now()
	timing := message.ReadTiming{Sent: w.timers.Boot(), Known: w.knownVersion()}
	switch e := e.(type) {
	case effect.ReadRows:
		go func() {
			page, err := w.store.Read(w.ctx, e.Range)
			timing.Received = w.timers.Boot()
			post(message.RowsRead{Range: e.Range, Page: page, Err: err, SentAt: sentAt, Timing: timing})
		}()
	case effect.WatchRows:
		go func() {
			page, err := w.store.Changes(w.ctx, e.Table, e.After, e.Wait)
			timing.Received = w.timers.Boot()
			post(message.RowsChanged{Table: e.Table, Page: page, Err: err, SentAt: sentAt, Timing: timing})
		}()
	case effect.FetchUpstreams:
		go func() {
			change, err := w.peers.Upstreams(w.ctx, e)
			post(message.UpstreamsFetched{Change: change, Err: err, SentAt: sentAt})
		}()
	case effect.FetchMembers:
		go func() {
			change, err := w.peers.Members(w.ctx, e)
			post(message.MembersFetched{Change: change, Err: err, SentAt: sentAt})
		}()
	case effect.WriteRows:
		go func() {
			outcome, err := w.store.Commit(w.ctx, e.Transaction)
			post(message.RowsWritten{Transaction: e.Transaction, Outcome: outcome, Err: err})
		}()
	}
}
