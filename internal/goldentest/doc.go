// Package goldentest compares the decisions of a package with golden tables.
//
// A table is a txtar archive with two files, "input" and "decisions", that
// correspond line by line. Empty input lines and those that start with # are copied
// to the decisions. The flag -update rewrites the decisions, as in
// `go test ./internal/router -update`.
package goldentest
