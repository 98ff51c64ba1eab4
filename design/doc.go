// Package design describes the HTTP interface for callers and operators.
//
// Package gen is generated from it with
//
//	go run goa.design/goa/v3/cmd/goa gen github.com/sassafrasspur/sassafrasspur/design
//
// Errors are grouped by HTTP status. The kind of package failure is in the
// body, so that a new kind does not change the generated code.
package design
