// Package cluster has the rows by which entry VMs agree on who owns a shard.
//
// A shard changes its owner only by the owner's handover or in the transaction
// that closes the owner's node row. A commit of an old owner therefore always
// fails on its own row.
package cluster

import (
	"slices"

	"github.com/sassafrasspur/sassafrasspur/ident"
)

// NodeState is the state of an entry VM's process.
type NodeState string

// States of a node row.
const (
	Live    NodeState = "live"
	Leaving NodeState = "leaving"
	Closed  NodeState = "closed"
)

// Node is the row of one entry VM. A conditional write of it is at the same
// time a journal commit, a lease renewal and the fencing check.
type Node struct {
	VM          ident.VMID        `json:"vm"`
	Incarnation ident.Incarnation `json:"incarnation"`
	State       NodeState         `json:"state"`
	// PeerAddress and CallerAddress are IP address and port.
	PeerAddress   string         `json:"peer_address"`
	CallerAddress string         `json:"caller_address"`
	Region        ident.Region   `json:"region"`
	Domain        ident.Domain   `json:"domain"`
	Head          ident.Sequence `json:"head"`
	WriteID       ident.WriteID  `json:"write_id"`
	// Version is the row's version in the table; 0 if there is no row.
	Version ident.Version `json:"-"`
}

// Owner is the owner of a shard.
type Owner struct {
	VM          ident.VMID        `json:"vm"`
	Incarnation ident.Incarnation `json:"incarnation"`
	Epoch       ident.Epoch       `json:"epoch"`
	// Since is the head of the owner's journal when it became the owner.
	Since ident.Sequence `json:"since"`
}

// Assignment gives the owner of each shard.
type Assignment struct {
	Owners  []Owner       `json:"owners"`
	WriteID ident.WriteID `json:"write_id"`
	Version ident.Version `json:"-"`
}

// Clone returns a copy whose owners can be changed.
func (a Assignment) Clone() Assignment {
	a.Owners = slices.Clone(a.Owners)
	return a
}

// OwnedBy returns the shards of one incarnation of a VM.
func (a Assignment) OwnedBy(vm ident.VMID, incarnation ident.Incarnation) []ident.Shard {
	var shards []ident.Shard
	for shard, owner := range a.Owners {
		if owner.VM == vm && owner.Incarnation == incarnation {
			shards = append(shards, ident.Shard(shard))
		}
	}
	return shards
}

// Span is a part of one incarnation's journal: the segments after From up to
// and including To, of which the records with the epoch belong to the shard.
type Span struct {
	VM          ident.VMID        `json:"vm"`
	Incarnation ident.Incarnation `json:"incarnation"`
	Epoch       ident.Epoch       `json:"epoch"`
	From        ident.Sequence    `json:"from"`
	To          ident.Sequence    `json:"to"`
}

// ShardRow says from what the state of a shard is recovered.
type ShardRow struct {
	Shard ident.Shard `json:"shard"`
	// Checkpoint is the object key of the last checkpoint; empty if none.
	Checkpoint string `json:"checkpoint"`
	// Epoch and Covered are the owner and the journal position up to which the
	// checkpoint holds the state.
	Epoch   ident.Epoch    `json:"epoch"`
	Covered ident.Sequence `json:"covered"`
	// Spans are to be replayed on the checkpoint, in this order.
	Spans   []Span        `json:"spans"`
	WriteID ident.WriteID `json:"write_id"`
	Version ident.Version `json:"-"`
}
