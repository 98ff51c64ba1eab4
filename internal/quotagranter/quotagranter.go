// Package quotagranter grants tokens from the quotas that this VM keeps to its own
// requests and to other VMs. It gives the decisions of package quotakeeper the current
// time and the lists of VMs.
package quotagranter

import (
	"context"
	"sync"
	"time"

	"github.com/sassafrasspur/sassafrasspur/internal/quotaassigner"
	"github.com/sassafrasspur/sassafrasspur/internal/quotakeeper"
	"github.com/sassafrasspur/sassafrasspur/internal/snapshot"
	"github.com/sassafrasspur/sassafrasspur/internal/timer"
)

const (
	// rowAllowance is subtracted from the age of this VM's row. Other VMs drop the VM from
	// their lists a minute after the write of its row, so that a VM whose writes fail must
	// stop granting before, although its own lists have it.
	rowAllowance = 40 * time.Second
	// unprovenRetry is the stated retry delay while the configuration is not proven.
	unprovenRetry = 250 * time.Millisecond
)

// View is the source of the lists of VMs.
type View interface {
	Snapshot() *snapshot.Snapshot
	// Changed returns a channel that is closed when a newer snapshot is published.
	Changed() <-chan struct{}
}

// Granter grants tokens. It is safe for concurrent use.
type Granter struct {
	timers *timer.Service
	proven func() bool

	mu     sync.Mutex
	clock  clock
	keeper *quotakeeper.Keeper
}

// New returns the granter of a VM. It follows the lists of the view until the context
// ends. While proven reports false, the configuration may have been replaced and no token
// is granted.
func New(ctx context.Context, keeper *quotakeeper.Keeper, view View, timers *timer.Service, proven func() bool) *Granter {
	g := &Granter{timers: timers, proven: proven, keeper: keeper, clock: newClock(timers)}
	go func() {
		for ctx.Err() == nil {
			changed := view.Changed()
			g.update(view.Snapshot().Entry)
			select {
			case <-changed:
			case <-ctx.Done():
			}
		}
	}()
	return g
}

// update sets the list of VMs.
func (g *Granter) update(e snapshot.Entry) {
	if e.MemberList == nil || e.RowWrittenAt.IsZero() {
		return
	}
	asOf := e.MembersAsOf
	if row := e.RowWrittenAt.Add(rowAllowance); row.Before(asOf) {
		asOf = row
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.now()
	g.keeper.UpdateList(now, g.clock.at(asOf), quotaassigner.New(e.Recent), e.Restarted)
}

// Take decides on a request for tokens.
func (g *Granter) Take(r quotakeeper.Request) quotakeeper.Answer {
	if !g.proven() {
		return quotakeeper.Unavailable{Reason: quotakeeper.ConfigurationNotProven, Retry: unprovenRetry}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.keeper.Take(g.clock.now(), r)
}
