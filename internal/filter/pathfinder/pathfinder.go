// Package pathfinder has the filter that finds the route of a request and sets
// its deadline.
package pathfinder

import (
	"context"
	"time"

	"github.com/sassafrasspur/sassafrasspur/internal/failure"
	"github.com/sassafrasspur/sassafrasspur/internal/snapshot"
	"github.com/sassafrasspur/sassafrasspur/internal/traffic"
)

// noRoutesDelay is what callers are told while the VM knows no routes.
const noRoutesDelay = 500 * time.Millisecond

// Pathfinder finds routes.
type Pathfinder struct {
	view func() *snapshot.Snapshot
}

// New returns the filter on a view of the routes.
func New(view func() *snapshot.Snapshot) *Pathfinder {
	return &Pathfinder{view: view}
}

// Serve sets the exchange's route, pool and deadline. The context ends at the
// deadline.
func (p *Pathfinder) Serve(ctx context.Context, x *traffic.Exchange, next traffic.Handler) error {
	x.Table = p.view().Entry.Routes
	if x.Table == nil {
		return failure.Refusal(failure.ConfigurationStale, noRoutesDelay, "this VM has not read the routes yet; repeat the request at another address")
	}
	route, ok := x.Table.Match(x.Request.Host, x.Request.Path)
	if !ok {
		return failure.New(failure.NotFound, "no route of %s has the path; check the address", x.Request.Host)
	}
	pool, ok := route.Destination(x.Request.ID)
	if !ok {
		return failure.Refusal(failure.NoUpstream, noRoutesDelay, "route %s has no pool; let the operator name one", route.ID)
	}
	x.Route, x.Pool = route, pool
	limit := route.Timeout
	if l := x.Request.TimeLimit; l > 0 && (limit <= 0 || l < limit) {
		limit = l
	}
	x.Deadline = x.Arrived.Add(limit)
	ctx, cancel := context.WithDeadline(ctx, x.Deadline)
	defer cancel()
	return next(ctx, x)
}
