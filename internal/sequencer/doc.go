// Package sequencer keeps the programs of the shards that the node owns.
//
// It decides whether a call may run: the calls of a program run in the order of
// their positions, a repeated call joins or replays the first, and the budget
// of the program's whole tree is reserved before the call starts. It changes
// the durable state of a program only by records, and only when they are
// durable.
package sequencer
