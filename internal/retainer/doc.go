// Package retainer decides how long an engine retains the cached prefix of a
// program that is paused, for example while it runs a tool.
//
// For each possible retention time, it compares the cost of the memory that is
// held until the program resumes or the time ends with the cost of recomputing
// the prefix if the program resumes later. Without observations, the prefix is
// retained until the memory has cost as much as the recomputation, which is at
// most twice the cost of the optimal choice.
//
// The package is pure: histogram and times are arguments.
package retainer
