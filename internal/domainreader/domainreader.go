// Package domainreader chooses the VM that reads a table of the platform's store
// for its failure domain.
//
// In a large failure domain one VM reads, and the others ask it how the table
// changed. All VMs choose the same one by a hash, without an agreement. While
// their lists of members differ, two may read, or one is asked that does not
// read for others and answers with what it has.
package domainreader

import (
	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/rows"
	"github.com/sassafrasspur/sassafrasspur/internal/sharer"
	"github.com/sassafrasspur/sassafrasspur/internal/snapshot"
)

// Many is the number of VMs in a failure domain from which one reads for the
// others. Fewer save little.
const Many = 6

// Domainreader knows the VMs of the own failure domain. The zero value of the
// list is empty.
type Domainreader struct {
	self      snapshot.Member
	table     rows.Table
	vms       []ident.VMID
	addresses map[ident.VMID]string
}

// New returns the readers of a table in the failure domain of a VM.
func New(self snapshot.Member, table rows.Table) Domainreader {
	return Domainreader{self: self, table: table}
}

// Update takes over which VMs serve callers.
func (d *Domainreader) Update(serving []snapshot.Member) {
	d.vms, d.addresses = nil, map[ident.VMID]string{}
	for _, m := range serving {
		if m.Domain == d.self.Domain && m.PeerAddress != "" {
			d.vms = append(d.vms, m.VM)
			d.addresses[m.VM] = m.PeerAddress
		}
	}
}

// IsLarge reports whether the failure domain has many VMs.
func (d *Domainreader) IsLarge() bool { return len(d.vms) >= Many }

// Other returns the address of the VM that reads, false if there is none or it
// is this VM.
func (d *Domainreader) Other() (string, bool) {
	vm, ok := sharer.Choose(string(d.table), d.vms)
	return d.addresses[vm], ok && vm != d.self.VM
}
