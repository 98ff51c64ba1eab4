// Package sharer distributes work among the entry VMs without coordination, by
// rendezvous hashing: the VM with the highest hash of key and VM owns a key. While
// the member lists of VMs differ, work may be done twice, or be delayed until the
// lists agree.
package sharer

import (
	"github.com/cespare/xxhash/v2"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/message"
)

// Sharer determines which keys this VM owns.
type Sharer struct {
	self ident.VMID
	vms  []ident.VMID
}

// New returns the sharer of a VM. The VM owns no keys before the first update.
func New(self ident.VMID) Sharer { return Sharer{self: self} }

// Update sets the list of members.
func (s *Sharer) Update(m message.MembersListed) { s.vms = m.VMs }

// Owns reports whether this VM owns a key.
func (s *Sharer) Owns(key string) bool {
	chosen, ok := Choose(key, s.vms)
	return ok && chosen == s.self
}

// Choose returns the VM that owns a key, false if there are no VMs.
func Choose(key string, vms []ident.VMID) (ident.VMID, bool) {
	var chosen ident.VMID
	var highest uint64
	for _, vm := range vms {
		if hash := xxhash.Sum64String(key + "/" + string(vm)); chosen == "" || hash > highest {
			chosen, highest = vm, hash
		}
	}
	return chosen, chosen != ""
}
