// Package assigner decides which node should own each shard.
//
// Every node computes the same targets from the same live nodes. Rendezvous
// hashing keeps most shards in place when the nodes change; a capacity per node
// keeps the shares even, which plain rendezvous hashing does not for few shards.
package assigner

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/sassafrasspur/sassafrasspur/ident"
)

// Assigner spreads shards over nodes.
type Assigner struct {
	// Shards is the number of shards.
	Shards int
}

// Targets returns the VM that should own each shard; it is empty if there are
// no VMs.
func (a Assigner) Targets(vms []ident.VMID) []ident.VMID {
	if len(vms) == 0 {
		return nil
	}
	capacity := (a.Shards + len(vms) - 1) / len(vms)
	held := make([]int, len(vms))
	targets := make([]ident.VMID, a.Shards)
	for shard := range targets {
		best := choose(vms, ident.Shard(shard), func(i int) bool { return held[i] < capacity })
		held[best]++
		targets[shard] = vms[best]
	}
	return targets
}

// choose returns the index of the free VM with the highest score for a shard;
// of equal scores that of the smallest id. There is always a free one, since
// the capacities add up to at least the number of shards.
func choose(vms []ident.VMID, shard ident.Shard, free func(int) bool) int {
	best, highest := -1, uint64(0)
	var key []byte
	for i, vm := range vms {
		if !free(i) {
			continue
		}
		key = strconv.AppendInt(append(append(key[:0], vm...), '/'), int64(shard), 10)
		score := xxhash.Sum64(key)
		if best < 0 || score > highest || score == highest && vm < vms[best] {
			best, highest = i, score
		}
	}
	return best
}
