package placer

import (
	"slices"
	"time"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/lender"
	"github.com/sassafrasspur/sassafrasspur/internal/message"
)

// settle is how long an earlier membership still limits what is lent. It is
// twice the default view limit: a node whose view is older than the view limit
// lends nothing, so after this time no node acts on the earlier membership.
const settle = 2 * defaultViewLimit

// members remembers the memberships on which a live node may act now.
type members struct {
	readAt time.Time
	views  []memberView
}

type memberView struct {
	vms []ident.VMID
	// until is the start of the first read that showed another membership;
	// zero for the current one.
	until time.Time
}

// update learns the VMs whose process runs. A leaving VM counts until it has
// ended, because its calls still run.
func (m *members) update(read message.MembersListed) {
	if read.AsOf.Before(m.readAt) {
		return
	}
	m.readAt = read.AsOf
	m.views = slices.DeleteFunc(m.views, func(v memberView) bool {
		return !v.until.IsZero() && !read.AsOf.Before(v.until.Add(settle))
	})
	if n := len(m.views); n > 0 {
		if slices.Equal(m.views[n-1].vms, read.VMs) {
			return
		}
		m.views[n-1].until = read.AsOf
	} else {
		// Before a node's first read, the others share without it.
		m.views = append(m.views, memberView{until: read.AsOf})
	}
	m.views = append(m.views, memberView{vms: read.VMs})
}

// at returns the places of self that limit loans; none if the view is too old.
func (m *members) at(now time.Time, limit time.Duration, self ident.VMID) []lender.Membership {
	if len(m.views) == 0 || now.Sub(m.readAt) > min(limit, settle/2) {
		return nil
	}
	var views []lender.Membership
	for _, v := range m.views {
		if v.until.IsZero() || now.Before(v.until.Add(settle)) {
			place := lender.Membership{}
			if index, ok := slices.BinarySearch(v.vms, self); ok {
				place = lender.Membership{Index: index, Count: len(v.vms)}
			}
			views = append(views, place)
		}
	}
	return views
}
