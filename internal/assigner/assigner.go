// Package assigner decides which node should own each shard.
//
// Every node computes the same targets from the same live nodes. Rendezvous
// hashing keeps most shards in place when the nodes change; a capacity per node
// keeps the shares even, which plain rendezvous hashing does not for few shards.
package assigner

import (
	"slices"
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
	held := map[ident.VMID]int{}
	targets := make([]ident.VMID, a.Shards)
	for shard := range targets {
		for _, vm := range byScore(vms, ident.Shard(shard)) {
			if held[vm] < capacity {
				held[vm]++
				targets[shard] = vm
				break
			}
		}
	}
	return targets
}

func byScore(vms []ident.VMID, shard ident.Shard) []ident.VMID {
	sorted := slices.Clone(vms)
	score := func(vm ident.VMID) uint64 {
		return xxhash.Sum64String(string(vm) + "/" + strconv.Itoa(int(shard)))
	}
	slices.SortFunc(sorted, func(a, b ident.VMID) int {
		if x, y := score(a), score(b); x != y {
			if x > y {
				return -1
			}
			return 1
		}
		if a < b {
			return -1
		}
		return 1
	})
	return sorted
}
