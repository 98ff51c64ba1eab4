// Package routematcher has the filter that matches a request to a route and sets
// its deadline.
package routematcher

import (
	"context"
	"time"

	"github.com/sassafrasspur/sassafrasspur/internal/failure"
	"github.com/sassafrasspur/sassafrasspur/internal/snapshot"
	"github.com/sassafrasspur/sassafrasspur/internal/traffic"
)

// noRouteRetryDelay is the retry delay sent to callers while the VM has no usable
// route.
const noRouteRetryDelay = 500 * time.Millisecond

// Routematcher matches requests to routes.
type Routematcher struct {
	view func() *snapshot.Snapshot
}

// New returns the filter. It reads the routes from the snapshot that view returns.
func New(view func() *snapshot.Snapshot) *Routematcher {
	return &Routematcher{view: view}
}

// Serve sets the route, pool and deadline of the exchange. The context of the
// following filters ends at the deadline.
func (m *Routematcher) Serve(ctx context.Context, x *traffic.Exchange, next traffic.Handler) error {
	x.Table = m.view().Entry.Routes
	if x.Table == nil {
		return failure.Refusal(failure.ConfigurationStale, noRouteRetryDelay, "this VM has not read the routes yet; repeat the request at another address")
	}
	route, ok := x.Table.Match(x.Request.Host, x.Request.Path)
	if !ok {
		return failure.New(failure.NotFound, "no route of %s has the path; check the address", x.Request.Host)
	}
	pool, ok := route.Destination(x.Request.ID)
	if !ok {
		return failure.Refusal(failure.NoUpstream, noRouteRetryDelay, "route %s has no pool; let the operator name one", route.ID)
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
