// Package upstreamprober reads the state of upstreams and releases engine
// memory.
//
// Every operation is safe to repeat and has a timeout. Most return the message
// that reports their result. Answers of upstreams are untrusted: the size of
// bodies is limited and values are validated.
package upstreamprober
