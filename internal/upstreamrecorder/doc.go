// Package upstreamrecorder keeps the record of one process of an upstream: the calls
// that this VM has in flight there with their sizes, its connections, and the failures
// and refusals of earlier calls.
//
// A record outlives a list that lacks the upstream, since its calls run on. Another
// process of the same upstream has a record of its own.
package upstreamrecorder
