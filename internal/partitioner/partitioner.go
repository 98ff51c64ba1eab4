// Package partitioner partitions work among the entry VMs without coordination, by
// rendezvous hashing: the VM with the highest hash of key and VM owns a key. While
// the member lists of VMs differ, work may be done twice, or be delayed until the
// lists agree.
package partitioner

import (
	"github.com/cespare/xxhash/v2"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/message"
)

// Partitioner determines which keys this VM owns.
type Partitioner struct {
	self ident.VMID
	vms  []ident.VMID
}

// New returns the partitioner of a VM. The VM owns no keys before the first update.
func New(self ident.VMID) Partitioner { return Partitioner{self: self} }

// Update sets the list of members.
func (p *Partitioner) Update(m message.MembersListed) { p.vms = m.VMs }

// Owns reports whether this VM owns a key.
func (p *Partitioner) Owns(key string) bool {
	owner, ok := Owner(key, p.vms)
	return ok && owner == p.self
}

// Owner returns the VM that owns a key, false if there are no VMs.
func Owner(key string, vms []ident.VMID) (ident.VMID, bool) {
	var owner ident.VMID
	var highest uint64
	for _, vm := range vms {
		if hash := xxhash.Sum64String(key + "/" + string(vm)); owner == "" || hash > highest {
			owner, highest = vm, hash
		}
	}
	return owner, owner != ""
}
