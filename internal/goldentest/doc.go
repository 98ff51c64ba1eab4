// Package goldentest compares the decisions of a package with golden tables.
//
// A table is a txtar archive with the files "input" and "decisions", which have
// one line for each decision. Empty input lines and those that start with # are
// copied to the decisions. `go test ./internal/router -update` rewrites the
// decisions.
package goldentest
