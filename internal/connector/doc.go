// Package connector opens connections to upstreams and keeps idle ones for reuse.
//
// A connection carries one call at a time. An idle connection is checked before
// it is reused, and closed if its peer has closed it or has sent bytes that
// belong to no call.
package connector
