// Package sequencer decides which records may be appended to a tree of programs.
//
// It runs the calls of a program in the order of their positions, answers a
// duplicate call with the answer of the first, and reserves the maximum cost of
// a call in the budget of the whole tree before the call starts. A decision
// depends only on the tree, the time and the set of running processes. No VM
// owns a tree: records are committed on the condition that the tree has not
// changed since it was read, and the request is decided again if it has.
package sequencer
