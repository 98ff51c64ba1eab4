// Package traffic has the filter chain that every request of the ingress API passes
// through, and the exchange that the filters work on.
//
// Each filter performs one step and passes the exchange on. An exchange ends with
// exactly one answer: a complete response, a stream, or an error.
package traffic
