// Package domainreader chooses the VM that reads a table of the platform's store
// for its failure domain.
//
// In a large failure domain one VM reads, and the others ask it how the table
// changed. All VMs choose the same one by a hash, without an agreement. While
// their lists of members differ, two may read, or one is asked that does not
// read for others and answers with what it has.
package domainreader

import (
	"time"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/rows"
	"github.com/sassafrasspur/sassafrasspur/internal/sharer"
	"github.com/sassafrasspur/sassafrasspur/internal/snapshot"
)

const (
	// AskInterval spaces the questions to the VM that reads.
	AskInterval = 600 * time.Millisecond
	// CopyAge is the age of another VM's list above which it is not copied: the
	// interval of reads, and the second that six answers of the store with 500
	// rows each take on a VM with a fifth of a core and 30 Mbit/s.
	CopyAge = 2 * time.Second
	// many is the number of VMs in a failure domain from which one reads for the
	// others. Fewer save little.
	many = 6
	// avoidFor is how long no VM is asked after one did not answer in time. The
	// table is read about once in it.
	avoidFor = time.Second
)

// Domainreader knows the VMs of the own failure domain.
type Domainreader struct {
	self       snapshot.Member
	table      rows.Table
	vms        []ident.VMID
	addresses  map[ident.VMID]string
	avoidUntil time.Time
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

// IsLarge reports whether the failure domain has so many VMs that one reads.
func (d *Domainreader) IsLarge() bool { return len(d.vms) >= many }

// Other returns the address of the VM that reads, false if there is none, it is
// this VM, or the last one that was asked had no recent list.
func (d *Domainreader) Other(now time.Time) (string, bool) {
	vm, ok := sharer.Choose(string(d.table), d.vms)
	return d.addresses[vm], ok && vm != d.self.VM && !now.Before(d.avoidUntil)
}

// Avoid notes that a VM that was asked had no recent list.
func (d *Domainreader) Avoid(now time.Time) { d.avoidUntil = now.Add(avoidFor) }
