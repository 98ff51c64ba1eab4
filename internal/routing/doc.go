// Package routing holds the routes of a deployment: which requests may run on
// which pool of upstreams, and which of them may be repeated.
//
// A Table is one version of the whole configuration. It is immutable once it has
// been decoded.
package routing
