// Package design defines the HTTP API for callers and operators.
//
// The packages in gen are generated from it with
//
//	go run goa.design/goa/v3/cmd/goa gen github.com/sassafrasspur/sassafrasspur/design
//
// Errors are grouped by HTTP status. The body contains the error kind of package
// failure, so that a new kind does not change the generated code.
package design
