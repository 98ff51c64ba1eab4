// Package drainer has the filter that refuses requests which arrive too late during
// a shutdown to complete before the VM stops.
package drainer

import (
	"context"
	"time"

	"github.com/sassafrasspur/sassafrasspur/internal/failure"
	"github.com/sassafrasspur/sassafrasspur/internal/snapshot"
	"github.com/sassafrasspur/sassafrasspur/internal/traffic"
)

// leavingRetryDelay is the retry delay sent to callers that still use the address of
// a leaving VM.
const leavingRetryDelay = 50 * time.Millisecond

// Drainer refuses requests that arrive too late during a shutdown.
type Drainer struct {
	view      func() *snapshot.Snapshot
	acceptAll time.Duration
	finishBy  time.Duration
}

// New returns the filter. Callers cache addresses, so requests are still served
// after the shutdown request: all of them during acceptAll, and afterwards those
// whose deadline is within finishBy. Both durations start at the shutdown request.
func New(view func() *snapshot.Snapshot, acceptAll, finishBy time.Duration) *Drainer {
	return &Drainer{view: view, acceptAll: acceptAll, finishBy: finishBy}
}

// Serve passes a request on, or refuses it as not run if it arrives too late.
func (d *Drainer) Serve(ctx context.Context, x *traffic.Exchange, next traffic.Handler) error {
	entry := d.view().Entry
	if !entry.Leaving || x.Arrived.Sub(entry.LeavingSince) <= d.acceptAll || x.Deadline.Sub(entry.LeavingSince) <= d.finishBy {
		return next(ctx, x)
	}
	return failure.Refusal(failure.ShuttingDown, leavingRetryDelay, "this VM is shutting down; request the addresses again and repeat the request at another")
}
