// Package connector opens and keeps connections to upstreams.
//
// A connection carries one call at a time. An idle connection is looked at
// before it is used again: one that its peer closed, or on which bytes arrived
// that belong to no call, is closed.
package connector
