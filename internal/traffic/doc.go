// Package traffic has the chain of filters that every request of a caller
// passes, and the exchange that they work on.
//
// A filter does one job and passes the exchange on. An exchange ends with one
// answer: a whole answer, a stream, or a refusal.
package traffic
