// Package sharer divides work among the entry VMs without an agreement: each key
// belongs to the VM with the highest hash of both. VMs whose lists of members
// differ may do the same work twice, or leave it until their lists agree.
package sharer

import (
	"github.com/cespare/xxhash/v2"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/message"
)

// Sharer knows which keys are this VM's.
type Sharer struct {
	self ident.VMID
	vms  []ident.VMID
}

// New returns the sharer of a VM, which owns nothing before the first list.
func New(self ident.VMID) Sharer { return Sharer{self: self} }

// Update takes a list of members over.
func (s *Sharer) Update(m message.MembersListed) { s.vms = m.VMs }

// Owns reports whether the work for a key is this VM's.
func (s *Sharer) Owns(key string) bool {
	chosen, ok := Choose(key, s.vms)
	return ok && chosen == s.self
}

// Choose returns the VM that a key belongs to, false if there is none.
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
