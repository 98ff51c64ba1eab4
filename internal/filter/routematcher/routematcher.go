// Package routematcher has the filter that matches a request to a route and sets
// its deadline.
package routematcher

import (
	"context"
	"time"

	"github.com/sassafrasspur/sassafrasspur/internal/failure"
	"github.com/sassafrasspur/sassafrasspur/internal/snapshot"
	"github.com/sassafrasspur/sassafrasspur/internal/timer"
	"github.com/sassafrasspur/sassafrasspur/internal/traffic"
)

// noRouteRetryDelay is the retry delay sent to callers while the VM has no usable
// route.
const noRouteRetryDelay = 500 * time.Millisecond

// Routematcher matches requests to routes.
type Routematcher struct {
	view   func() *snapshot.Snapshot
	timers *timer.Service
	maxAge time.Duration
}

// New returns the filter. It reads the routes from the snapshot that view returns. Routes
// that are older than maxAge may lack a route that has been added meanwhile.
func New(view func() *snapshot.Snapshot, timers *timer.Service, maxAge time.Duration) *Routematcher {
	return &Routematcher{view: view, timers: timers, maxAge: maxAge}
}

// Serve sets the route, pool and deadline of the exchange. The context of the
// following filters ends at the deadline.
func (m *Routematcher) Serve(ctx context.Context, x *traffic.Exchange, next traffic.Handler) error {
	known := m.view().Entry
	x.Table = known.Routes
	if x.Table == nil {
		return failure.Refusal(failure.ConfigurationStale, noRouteRetryDelay, "this VM has not read the routes yet; repeat the request at another address")
	}
	route, ok := x.Table.Match(x.Request.Host, x.Request.Path)
	if !ok {
		return m.refuseUnknown(x, m.timers.Now().Sub(known.RoutesAsOf))
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

// refuseUnknown returns the error of a request without a route. A VM that has just woken
// from a freeze, or can't reach the store, does not know the routes that were added
// meanwhile. A turn that continues another one had a route at the VM that ran that one,
// which may have learned of it earlier.
func (m *Routematcher) refuseUnknown(x *traffic.Exchange, age time.Duration) error {
	continues := x.Request.Program != nil && x.Request.Program.Previous != ""
	if continues || age > m.maxAge {
		return failure.Refusal(failure.ConfigurationStale, noRouteRetryDelay,
			"no route of %s has the path as of %s ago; repeat the request at another address", x.Request.Host, age.Round(time.Millisecond))
	}
	return failure.New(failure.NotFound, "no route of %s has the path; check the address", x.Request.Host)
}
