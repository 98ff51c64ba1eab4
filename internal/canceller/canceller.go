// Package canceller stops dispatches whose upstream is reclaimed.
//
// It is state of traffic, not of control: it only holds the cancel functions of
// the dispatches that are under way at the moment.
package canceller

import (
	"context"
	"sync"

	"github.com/juju/errors"

	"github.com/sassafrasspur/sassafrasspur/ident"
)

// Reclaimed is the cause of a dispatch that was stopped.
const Reclaimed = errors.ConstError("the upstream is reclaimed by its owner")

// Canceller maps grants to the dispatches that use them.
type Canceller struct {
	mu      sync.Mutex
	cancels map[ident.Grant]context.CancelCauseFunc
}

// New returns a canceller with no dispatches.
func New() *Canceller {
	return &Canceller{cancels: map[ident.Grant]context.CancelCauseFunc{}}
}

// Register returns the context of a dispatch that uses a grant. The caller must
// call release when the dispatch has ended.
func (c *Canceller) Register(parent context.Context, grant ident.Grant) (ctx context.Context, release func()) {
	ctx, cancel := context.WithCancelCause(parent)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancels[grant] = cancel
	return ctx, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.cancels, grant)
		cancel(nil)
	}
}

// Cancel stops the dispatch that uses a grant, if it is still under way.
func (c *Canceller) Cancel(grant ident.Grant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if cancel, ok := c.cancels[grant]; ok {
		cancel(Reclaimed)
	}
}
