package placer

import (
	"slices"
	"time"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/lender"
	"github.com/sassafrasspur/sassafrasspur/internal/message"
)

// membershipRetention is how long a superseded membership still limits loans. It
// is twice the default view limit: a VM whose view is older than the view limit
// lends nothing, so after this time no VM acts on the superseded membership.
const membershipRetention = 2 * defaultViewLimit

// membershipHistory holds the memberships on which a live VM may still act.
type membershipHistory struct {
	readAt  time.Time
	entries []membership
}

// membership is the set of VMs that one or more reads returned.
type membership struct {
	vms []ident.VMID
	// supersededAt is the start of the first read that returned another
	// membership; zero for the current one.
	supersededAt time.Time
}

// update records a read of the VMs whose process is running. A leaving VM counts
// until its process ends, because its calls still run.
func (m *membershipHistory) update(read message.MembersListed) {
	if read.AsOf.Before(m.readAt) {
		return
	}
	m.readAt = read.AsOf
	m.entries = slices.DeleteFunc(m.entries, func(entry membership) bool {
		return !entry.supersededAt.IsZero() && !read.AsOf.Before(entry.supersededAt.Add(membershipRetention))
	})
	if n := len(m.entries); n > 0 {
		if slices.Equal(m.entries[n-1].vms, read.VMs) {
			return
		}
		m.entries[n-1].supersededAt = read.AsOf
	} else {
		// Until they have read this VM's row, the other VMs divide the loans
		// without it. It lends nothing until that membership has expired.
		m.entries = append(m.entries, membership{supersededAt: read.AsOf})
	}
	m.entries = append(m.entries, membership{vms: read.VMs})
}

// effective returns the positions of self in the memberships that limit loans,
// or nil if the newest read is too old.
func (m *membershipHistory) effective(now time.Time, limit time.Duration, self ident.VMID) []lender.Position {
	if len(m.entries) == 0 || now.Sub(m.readAt) > min(limit, membershipRetention/2) {
		return nil
	}
	var positions []lender.Position
	for _, entry := range m.entries {
		if entry.supersededAt.IsZero() || now.Before(entry.supersededAt.Add(membershipRetention)) {
			position := lender.Position{}
			if index, ok := slices.BinarySearch(entry.vms, self); ok {
				position = lender.Position{Index: index, Count: len(entry.vms)}
			}
			positions = append(positions, position)
		}
	}
	return positions
}
