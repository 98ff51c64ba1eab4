// Package readerselector selects the VM that reads a table of the platform's store
// on behalf of its failure domain.
//
// In a large failure domain one VM, the reader, reads the table, and the others
// ask it for changes. All VMs select the reader by a hash, without coordination.
// While their lists of members differ, two VMs may read, or a VM that is not the
// reader may be asked, and responds with the list that it has.
package readerselector

import (
	"time"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/partitioner"
	"github.com/sassafrasspur/sassafrasspur/internal/rows"
	"github.com/sassafrasspur/sassafrasspur/internal/snapshot"
)

const (
	// PollInterval is the interval between requests to the reader.
	PollInterval = 600 * time.Millisecond
	// MaxCopyAge is the age above which the list of another VM is not copied. It
	// covers the read interval plus 1 s, which six responses of the store with 500
	// rows each take on a VM with a fifth of a core and 30 Mbit/s.
	MaxCopyAge = 2 * time.Second
	// largeDomainSize is the number of VMs in a failure domain from which one reads
	// for the others. In smaller domains this would save little.
	largeDomainSize = 6
	// suspendDuration is how long the reader is not asked after it failed to provide
	// a recent list. A VM reads the table itself about once in this time.
	suspendDuration = time.Second
)

// Readerselector selects the reader among the VMs of this VM's failure domain.
type Readerselector struct {
	self           snapshot.Member
	table          rows.Table
	vms            []ident.VMID
	addresses      map[ident.VMID]string
	suspendedUntil time.Time
}

// New returns the selector of a table's reader in the failure domain of a VM.
func New(self snapshot.Member, table rows.Table) Readerselector {
	return Readerselector{self: self, table: table}
}

// Update sets the members that serve callers.
func (r *Readerselector) Update(serving []snapshot.Member) {
	r.vms, r.addresses = nil, map[ident.VMID]string{}
	for _, m := range serving {
		if isMember(r.self.Domain, m) {
			r.vms = append(r.vms, m.VM)
			r.addresses[m.VM] = m.PeerAddress
		}
	}
}

// IsLarge reports whether the failure domain is large enough for a shared reader.
func (r *Readerselector) IsLarge() bool { return len(r.vms) >= largeDomainSize }

// IsLargeDomain reports whether a failure domain has as many VMs that serve callers as one
// with a shared reader.
func IsLargeDomain(domain ident.Domain, serving []snapshot.Member) bool {
	size := 0
	for _, m := range serving {
		if isMember(domain, m) {
			size++
		}
	}
	return size >= largeDomainSize
}

// isMember reports whether a VM is in a failure domain and can be asked by the others.
func isMember(domain ident.Domain, m snapshot.Member) bool {
	return m.Domain == domain && m.PeerAddress != ""
}

// RemoteReader returns the peer address of the reader, false if there is none, if
// it is this VM, or if requests are suspended.
func (r *Readerselector) RemoteReader(now time.Time) (string, bool) {
	vm, ok := partitioner.Owner(string(r.table), r.vms)
	return r.addresses[vm], ok && vm != r.self.VM && !now.Before(r.suspendedUntil)
}

// Suspend stops requests for suspendDuration, after the reader did not provide a
// recent list.
func (r *Readerselector) Suspend(now time.Time) { r.suspendedUntil = now.Add(suspendDuration) }
