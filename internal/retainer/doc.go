// Package retainer decides how long an engine keeps the prefix of a program
// that pauses for a tool.
//
// The choice compares, for each possible time to keep, the memory that is held
// until the program returns or the time ends, with the recomputation if it
// returns later. Without observations, the prefix is kept until the memory has
// cost as much as the recomputation, which is at most twice the best choice.
//
// The package is pure: histogram and times are arguments.
package retainer
