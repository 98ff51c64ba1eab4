// Package committer stores trees of programs in the platform's store.
//
// The records of a tree form one sequence of batches in one part of the store.
// The next batch is written on the condition that it does not exist yet and that
// the last one is unchanged, so any VM may write, and no two VMs commit decisions
// on the same state. A VM caches the trees that it used recently and reads only
// the batches that other VMs have appended since.
package committer
