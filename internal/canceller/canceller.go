// Package canceller cancels dispatches to borrowed upstreams that are reclaimed.
//
// It belongs to the data plane, not to control state: it holds only the cancel
// functions of the dispatches in progress.
package canceller

import (
	"context"
	"sync"

	"github.com/juju/errors"

	"github.com/sassafrasspur/sassafrasspur/ident"
)

// Reclaimed is the cancellation cause of a dispatch whose upstream was reclaimed.
const Reclaimed = errors.ConstError("the upstream was reclaimed by its owner")

// Canceller maps grants to the dispatches that use them. It is safe for
// concurrent use.
type Canceller struct {
	mu      sync.Mutex
	cancels map[ident.Grant]context.CancelCauseFunc
}

// New returns a canceller without registered dispatches.
func New() *Canceller {
	return &Canceller{cancels: map[ident.Grant]context.CancelCauseFunc{}}
}

// Register returns the context for a dispatch that uses a grant. The caller must
// call release after the dispatch has ended.
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

// Cancel cancels the dispatch that uses a grant, if it is still in progress.
func (c *Canceller) Cancel(grant ident.Grant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if cancel, ok := c.cancels[grant]; ok {
		cancel(Reclaimed)
	}
}
