// Package sequencer decides what may be recorded of a tree of programs.
//
// The calls of a program run in the order of their positions, a repeated call
// gets the answer of the first, and what a call may spend at most is reserved in
// the budget of the whole tree before the call starts. A decision depends on the
// tree and on which processes run. Nobody owns a tree: records are written on
// the condition that the tree has not changed since it was read, and a decision
// is made again if it has.
package sequencer
