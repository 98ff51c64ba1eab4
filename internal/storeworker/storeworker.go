// Package storeworker carries out the effects that need the platform's store, or
// what another entry VM read from it.
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

// Storeworker reads and writes rows for controllers.
type Storeworker struct {
	ctx    context.Context
	store  rows.Store
	peers  Peers
	timers *timer.Service
}

// Peers asks other entry VMs.
type Peers interface {
	Upstreams(ctx context.Context, e effect.AskUpstreams) (upstream.Change, error)
	Members(ctx context.Context, e effect.AskMembers) (snapshot.MemberChange, error)
}

// Option changes how New builds a Storeworker.
type Option func(*Storeworker)

// WithPeers sets how other entry VMs are asked.
func WithPeers(peers Peers) Option { return func(w *Storeworker) { w.peers = peers } }

// New returns a worker whose requests end with the context.
func New(ctx context.Context, store rows.Store, timers *timer.Service, options ...Option) *Storeworker {
	w := &Storeworker{ctx: ctx, store: store, timers: timers}
	for _, option := range options {
		option(w)
	}
	return w
}

// Perform starts an effect. Effects that are not the store's are ignored.
func (w *Storeworker) Perform(e effect.Effect, post func(message.Message)) {
	sent := w.timers.Now()
	switch e := e.(type) {
	case effect.ReadRows:
		go func() {
			page, err := w.store.Read(w.ctx, e.Range)
			post(message.RowsRead{Range: e.Range, Page: page, Err: err, SentAt: sent})
		}()
	case effect.WatchRows:
		go func() {
			page, err := w.store.Changes(w.ctx, e.Table, e.After, e.Wait)
			post(message.RowsChanged{Table: e.Table, Page: page, Err: err, SentAt: sent})
		}()
	case effect.AskUpstreams:
		go func() {
			change, err := w.peers.Upstreams(w.ctx, e)
			post(message.UpstreamsCopied{Change: change, Err: err, SentAt: sent})
		}()
	case effect.AskMembers:
		go func() {
			change, err := w.peers.Members(w.ctx, e)
			post(message.MembersCopied{Change: change, Err: err, SentAt: sent})
		}()
	case effect.WriteRows:
		go func() {
			outcome, err := w.store.Commit(w.ctx, e.Transaction)
			post(message.RowsWritten{Transaction: e.Transaction, Outcome: outcome, Err: err})
		}()
	}
}
