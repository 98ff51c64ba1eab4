// Package routing has the routes of a deployment: which requests may run on
// which pool of upstreams, and what may be repeated.
//
// A Table is one version of the whole configuration. It is never changed after
// it was decoded.
package routing
