// Package placer implements the controller that assigns calls to upstreams. It
// holds this VM's view of the upstreams, its own grants and a queue for each
// pool.
//
// The decisions are made by the packages router, ranker, limiter and lender; the
// controller keeps their state and carries out the results. A dispatch pass over
// a queue goes through the waiting calls in the ranker's order. Each call gets
// the upstream that the router chooses among those permitted by the VM's
// views, the lender and the limits. A pass runs after each message that can
// change its result.
//
// An upstream gets new work only while both views of it are younger than the
// view limit: the platform's list and the upstream's own load report. A report
// from another VM can stop new work, but never start it.
package placer
