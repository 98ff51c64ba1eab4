// Package locator has the filter that brings a request to the owner of its
// program's shard.
//
// A request that fails because its owner is gone or has changed is tried again
// at the owner of the newest snapshot until a time limit. This is safe for
// calls: the owner recognizes a repeated call by its id.
package locator

import (
	"context"
	"time"

	"github.com/sassafrasspur/sassafrasspur/internal/chain"
	"github.com/sassafrasspur/sassafrasspur/internal/failure"
	"github.com/sassafrasspur/sassafrasspur/internal/request"
	"github.com/sassafrasspur/sassafrasspur/internal/snapshot"
	"github.com/sassafrasspur/sassafrasspur/internal/timer"
)

// Forwarder sends an exchange to another entry VM.
type Forwarder interface {
	Forward(ctx context.Context, address string, x *chain.Exchange) error
}

// Locator finds the owner of a program.
type Locator struct {
	view      func() *snapshot.Snapshot
	forwarder Forwarder
	timers    *timer.Service
	patience  time.Duration
	pause     time.Duration
}

// Option changes how New builds a Locator.
type Option func(*Locator)

// WithPatience sets how long an owner is looked for.
func WithPatience(limit time.Duration) Option {
	return func(l *Locator) { l.patience = limit }
}

// New returns the filter. The view is called for each try.
func New(view func() *snapshot.Snapshot, forwarder Forwarder, timers *timer.Service, options ...Option) *Locator {
	l := &Locator{
		view:      view,
		forwarder: forwarder,
		timers:    timers,
		patience:  15 * time.Second,
		pause:     100 * time.Millisecond,
	}
	for _, option := range options {
		option(l)
	}
	return l
}

// Serve goes on at this node if it owns the program, else it forwards the
// request to the owner. The error says "not run" only if the owner said so, or
// if the request never left this node and the caller sent it for the first
// time.
func (l *Locator) Serve(ctx context.Context, x *chain.Exchange, next chain.Handler) error {
	deadline := l.timers.Now().Add(l.patience)
	sent := false
	for {
		err := l.try(ctx, x, next)
		if err == nil {
			return nil
		}
		failed := failure.From(err)
		sent = sent || failed.Kind != failure.NotOwner && !failed.NotRun
		if !ownerChanged(failed) || x.Forwarded {
			return err
		}
		if l.timers.Now().After(deadline) || ctx.Err() != nil {
			failed.NotRun = !sent && isFirst(x.Request)
			return failed
		}
		if voided := l.void(x); voided != nil {
			return voided
		}
		x.Dispatched, x.Dispatches = false, 0
		l.wait(ctx)
	}
}

// ownerChanged reports whether another try may reach a new owner. An answer
// that is not known to be durable is asked for again, too.
func ownerChanged(err *failure.Error) bool {
	switch err.Kind {
	case failure.NotOwner, failure.OwnerUnreachable, failure.NotDurable, failure.ShuttingDown:
		return true
	}
	return false
}

func (l *Locator) try(ctx context.Context, x *chain.Exchange, next chain.Handler) error {
	x.Owner = ""
	node, _, known := l.view().Owner(x.Request.Subject())
	if !known {
		return notOwned("no VM owns the program's shard at the moment")
	}
	if node.VM == l.view().Self.VM {
		return next(ctx, x)
	}
	if x.Forwarded {
		return notOwned("the program's shard has another owner")
	}
	x.Owner = node.VM
	return l.forwarder.Forward(ctx, node.PeerAddress, x)
}

// void tells the caller that the parts that it received are void, because the
// next owner sends the whole answer again.
func (l *Locator) void(x *chain.Exchange) error {
	if x.Chunks == 0 || x.Sink == nil {
		return nil
	}
	x.Chunks = 0
	return x.Sink.Void()
}

func (l *Locator) wait(ctx context.Context) {
	wait := l.timers.After(l.pause)
	defer wait.Cancel()
	select {
	case <-wait.C:
	case <-ctx.Done():
	}
}

func notOwned(what string) *failure.Error {
	err := failure.New(failure.NotOwner, "%s; repeat the request with the same call id", what)
	err.RetryAfter = time.Second
	return err
}

func isFirst(r request.Request) bool {
	call, ok := r.(request.Call)
	return ok && call.First
}
