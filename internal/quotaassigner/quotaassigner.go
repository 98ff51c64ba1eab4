// Package quotaassigner assigns the parts of the quotas of client accounts to VMs.
//
// A quota has one part for each region. The keeper of a part is chosen by rendezvous
// hashing of account and region among the VMs of the region whose row was written
// recently, or among those of all regions if the region has none. VMs with equal lists
// agree on all keepers, and a VM that is stopped and started again stays the keeper.
package quotaassigner

import (
	"maps"
	"slices"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/partitioner"
	"github.com/sassafrasspur/sassafrasspur/internal/snapshot"
)

// Assigner assigns parts according to one list of VMs. It is immutable.
type Assigner struct {
	all      []ident.VMID
	byRegion map[ident.Region][]ident.VMID
	members  map[ident.VMID]snapshot.Member
}

// New returns the assigner of a list of VMs. A VM that has no address for callers or for
// other VMs keeps no part.
func New(recent []snapshot.Member) *Assigner {
	a := &Assigner{byRegion: map[ident.Region][]ident.VMID{}, members: map[ident.VMID]snapshot.Member{}}
	for _, m := range recent {
		if m.RequestAddress == "" || m.PeerAddress == "" {
			continue
		}
		a.all = append(a.all, m.VM)
		a.byRegion[m.Region] = append(a.byRegion[m.Region], m.VM)
		a.members[m.VM] = m
	}
	return a
}

// Regions returns the regions of the failure domains, sorted. They are the parts of each
// quota.
func Regions(domains map[ident.Domain]ident.Region) []ident.Region {
	return slices.Compact(slices.Sorted(maps.Values(domains)))
}

// Keeper returns the VM that keeps a part of an account's quota, false if there is none.
func (a *Assigner) Keeper(account ident.AccountID, part ident.Region) (snapshot.Member, bool) {
	candidates := a.byRegion[part]
	if len(candidates) == 0 {
		candidates = a.all
	}
	keeper, ok := partitioner.Owner(string(account)+"/"+string(part), candidates)
	return a.members[keeper], ok
}

// Equal reports whether two assigners choose the same keepers at the same addresses.
func (a *Assigner) Equal(b *Assigner) bool {
	return slices.Equal(a.all, b.all) && maps.EqualFunc(a.members, b.members, func(m, n snapshot.Member) bool {
		return m.Region == n.Region && m.PeerAddress == n.PeerAddress
	})
}
