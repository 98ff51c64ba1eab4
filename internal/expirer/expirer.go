// Package expirer creates contexts with a time limit on the clock of the timer
// service.
//
// context.WithTimeout uses the system clock. With the clock of the timer service,
// tests can advance the time to reach a limit.
package expirer

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/sassafrasspur/sassafrasspur/internal/timer"
)

// Expired is the cancellation cause of a context whose time limit has passed.
const Expired = errors.ConstError("time limit passed")

// Context returns a context that is cancelled with the cause Expired when limit
// has passed. The caller must call cancel to release the timer.
func Context(parent context.Context, timers *timer.Service, limit time.Duration) (ctx context.Context, cancel func()) {
	ctx, cancelCause := context.WithCancelCause(parent)
	timeout := timers.After(limit)
	go func() {
		defer timeout.Cancel()
		select {
		case <-timeout.C:
			cancelCause(Expired)
		case <-ctx.Done():
		}
	}()
	return ctx, func() { cancelCause(context.Canceled) }
}
