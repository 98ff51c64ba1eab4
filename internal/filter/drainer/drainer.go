// Package drainer has the filter that refuses requests which come so late after
// the request to stop that they could not be finished.
package drainer

import (
	"context"
	"time"

	"github.com/sassafrasspur/sassafrasspur/internal/failure"
	"github.com/sassafrasspur/sassafrasspur/internal/snapshot"
	"github.com/sassafrasspur/sassafrasspur/internal/traffic"
)

// leavingDelay is what callers are told that still use this VM's address.
const leavingDelay = 50 * time.Millisecond

// Drainer refuses late requests.
type Drainer struct {
	view     func() *snapshot.Snapshot
	after    time.Duration
	finishBy time.Duration
}

// New returns the filter. Callers keep addresses for a while, so requests are
// still served after the request to stop: all of them for the time after, and
// later those whose deadline comes before finishBy.
func New(view func() *snapshot.Snapshot, after, finishBy time.Duration) *Drainer {
	return &Drainer{view: view, after: after, finishBy: finishBy}
}

// Serve refuses a request that comes too late; it did not run.
func (d *Drainer) Serve(ctx context.Context, x *traffic.Exchange, next traffic.Handler) error {
	entry := d.view().Entry
	if !entry.Leaving || x.Arrived.Sub(entry.LeavingSince) <= d.after || x.Deadline.Sub(entry.LeavingSince) <= d.finishBy {
		return next(ctx, x)
	}
	return failure.Refusal(failure.ShuttingDown, leavingDelay, "this VM stops; ask for addresses and repeat the request at another")
}
