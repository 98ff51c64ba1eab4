// Package placer holds the state of placement: the view of the upstreams, the
// node's own grants, and a queue per pool.
//
// The decisions are those of the packages router, ranker, limiter, lender and
// retainer; the controller keeps their state and carries the results out. One
// pass over a queue gives each waiting call, in the ranker's order, the upstream
// that the router chooses among those that the views, the lender and the limits
// permit. A pass runs after each message that can change its result.
//
// An upstream gets new work only while both views of it are younger than the
// view limit: the platform's list and its own load report. What a peer says can
// only stop work, never start it.
package placer
