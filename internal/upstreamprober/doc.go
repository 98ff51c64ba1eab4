// Package upstreamprober reads the state of upstreams and releases engine
// memory.
//
// Every operation may be repeated, has a time limit and returns the message
// that reports it. What an upstream answers is untrusted: bodies are bounded
// and values are checked.
package upstreamprober
