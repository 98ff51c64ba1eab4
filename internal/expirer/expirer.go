// Package expirer bounds contexts by the timer service.
//
// context.WithTimeout follows the system's clock; the contexts of this package
// follow the clock of the service, so that a test can let a limit pass.
package expirer

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/sassafrasspur/sassafrasspur/internal/timer"
)

// Expired is the cause of a context whose limit has passed.
const Expired = errors.ConstError("time limit passed")

// Context returns a context that is cancelled with the cause Expired after a
// duration. The caller must call cancel to free the subscription.
func Context(parent context.Context, timers *timer.Service, limit time.Duration) (ctx context.Context, cancel func()) {
	ctx, end := context.WithCancelCause(parent)
	wait := timers.After(limit)
	go func() {
		defer wait.Cancel()
		select {
		case <-wait.C:
			end(Expired)
		case <-ctx.Done():
		}
	}()
	return ctx, func() { end(context.Canceled) }
}
