// Package record has the durable records of the journal.
//
// The journal of a shard is the sequence of its records in commit order, over
// all of its owners. Applying them in that order to the shard's checkpoint
// gives the state of its programs.
package record
