// Package assessor finds what is wrong in a snapshot and what to do about it.
//
// A problem means that calls are refused, held up or wait for an operator. A
// note needs no action, or none now.
package assessor

import (
	"fmt"
	"slices"
	"time"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/cluster"
	"github.com/sassafrasspur/sassafrasspur/internal/configuration"
	"github.com/sassafrasspur/sassafrasspur/internal/snapshot"
)

// platformLimit is the age of the last read of the platform above which it
// counts as unreachable. New work is refused at the same age of the
// configuration.
const platformLimit = 5 * time.Second

// Kind names a finding. Its text is part of the API.
type Kind string

// Kinds of findings.
const (
	PlatformUnreachable  Kind = "platform_unreachable"
	LeaseExpired         Kind = "lease_expired"
	ConfigurationStale   Kind = "configuration_stale"
	ShardsWithoutOwner   Kind = "shards_without_owner"
	ShardsLoading        Kind = "shards_loading"
	UpstreamUnusable     Kind = "upstream_unusable"
	PoolWithoutUpstream  Kind = "pool_without_upstream"
	OutcomesUnknown      Kind = "outcomes_unknown"
	OrdersUnconfirmed    Kind = "orders_unconfirmed"
	VMsLapsed            Kind = "vms_lapsed"
	Draining             Kind = "draining"
	ConfigurationMissing Kind = "configuration_missing"
)

// Finding is a problem or a note.
type Finding struct {
	Kind Kind
	// Text says what was found.
	Text string
	// Next is the next step.
	Next string
	// Note is true if calls are not affected.
	Note bool
}

// Assessment is the state of the system as one node sees it.
type Assessment struct {
	// Findings has the problems first.
	Findings          []Finding
	Healthy           bool
	PlatformReachable bool
	// Orphans is the number of shards whose owner is not known to be alive.
	Orphans                 int
	Live, Departing, Lapsed int
}

// Assessor assesses snapshots. Its result depends on its arguments alone.
type Assessor struct{}

// Assess returns the state at a time. The snapshot has a configuration.
func (Assessor) Assess(now time.Time, view *snapshot.Snapshot) Assessment {
	d := &draft{now: now, view: view}
	d.PlatformReachable = now.Sub(view.PlatformSeen) <= platformLimit
	d.countNodes()
	d.countOrphans()
	d.assessNode()
	d.assessShards()
	d.assessUpstreams()
	d.assessWork()
	slices.SortStableFunc(d.Findings, func(a, b Finding) int {
		switch {
		case a.Note == b.Note:
			return 0
		case b.Note:
			return -1
		}
		return 1
	})
	d.Healthy = len(d.Findings) == 0 || d.Findings[0].Note
	return d.Assessment
}

type draft struct {
	Assessment
	now  time.Time
	view *snapshot.Snapshot
}

func (d *draft) problem(kind Kind, next, format string, args ...any) {
	d.Findings = append(d.Findings, Finding{Kind: kind, Text: fmt.Sprintf(format, args...), Next: next})
}

func (d *draft) note(kind Kind, next, format string, args ...any) {
	d.Findings = append(d.Findings, Finding{Kind: kind, Text: fmt.Sprintf(format, args...), Next: next, Note: true})
}

// states returns the state of each VM. The node's own row may be missing from
// the last read of the platform, and is older there than its own state.
func (d *draft) states() map[ident.VMID]cluster.Node {
	states := map[ident.VMID]cluster.Node{}
	for _, node := range d.view.Nodes {
		states[node.VM] = node
	}
	if self := d.view.Self; self.VM != "" {
		if d.view.Draining {
			self.State = cluster.Leaving
		}
		states[self.VM] = self
	}
	return states
}

func (d *draft) countNodes() {
	for _, node := range d.states() {
		switch node.State {
		case cluster.Live:
			d.Live++
		case cluster.Leaving:
			d.Departing++
		case cluster.Closed:
			d.Lapsed++
		}
	}
	if d.Lapsed > 0 {
		d.note(VMsLapsed, "start them again, or ignore them if they were removed for good; their shards are taken over", "%d VMs are closed or do not renew their lease", d.Lapsed)
	}
}

func (d *draft) countOrphans() {
	states := d.states()
	for _, owner := range d.view.Assignment.Owners {
		node, ok := states[owner.VM]
		if !ok || node.State == cluster.Closed || node.Incarnation != owner.Incarnation {
			d.Orphans++
		}
	}
}

func (d *draft) assessNode() {
	if !d.PlatformReachable {
		d.problem(PlatformUnreachable, "check the platform and the network from this VM to it; nothing on the VMs needs a restart, they go on by themselves",
			"this VM has read nothing from the platform for %s", d.age(d.view.PlatformSeen))
	}
	if !d.now.Before(d.view.LeaseUntil) {
		d.problem(LeaseExpired, "check the platform; if it is reachable, look for \"fenced\" in the log of this VM and wait until it has joined again",
			"the lease of this VM has expired, and it dispatches nothing")
	}
	if !d.now.Before(d.view.ConfigurationUntil) {
		d.problem(ConfigurationStale, "check the platform; new work is refused as not run until this VM can read the configuration",
			"this VM can't know that its configuration, which is %s old, is current", d.age(d.view.ConfigurationAsOf))
	}
	if d.view.Configuration.Version == 0 {
		d.note(ConfigurationMissing, "create a plan with a team, a class, a pool and an upstream", "no plan was confirmed yet")
	}
	if d.view.Draining {
		d.note(Draining, "use another address; the VM stops when its shards are handed over", "this VM is leaving")
	}
}

// age is rounded, so that a line does not change with every look.
func (d *draft) age(since time.Time) string {
	if since.IsZero() {
		return "an unknown time"
	}
	return d.now.Sub(since).Round(time.Second).String()
}

func (d *draft) assessShards() {
	if d.Orphans > 0 {
		d.problem(ShardsWithoutOwner, "wait for the takeover, which follows the lease and the margin; if it does not come, check that VMs are live and reach the platform",
			"%d shards have no live owner", d.Orphans)
	}
	owned := len(d.view.Assignment.OwnedBy(d.view.Self.VM, d.view.Self.Incarnation))
	if owned > d.view.Serving {
		d.problem(ShardsLoading, "wait until they are loaded; if it takes longer than 30 s, check the object store",
			"%d shards of this VM are not loaded yet", owned-d.view.Serving)
	}
}

func (d *draft) assessUpstreams() {
	usable := map[ident.PoolID]bool{}
	for _, load := range d.view.UpstreamLoads {
		u, _ := d.view.Configuration.Upstream(load.Upstream)
		if load.Usable {
			usable[u.Pool] = true
			continue
		}
		d.assessUpstream(u, load.Reason)
	}
	for _, pool := range d.view.Configuration.Pools {
		if !usable[pool.ID] {
			d.problem(PoolWithoutUpstream, "repair or undrain an upstream of the pool, or add one by a plan; calls to the pool are refused as not run",
				"pool %s has no usable upstream", pool.ID)
		}
	}
}

func (d *draft) assessUpstream(u configuration.Upstream, reason snapshot.Unusable) {
	switch reason {
	case snapshot.Drained:
		d.note(UpstreamUnusable, "undrain it by a plan when it may work again", "upstream %s is drained by a plan", u.ID)
	case snapshot.UpstreamLeaving:
		d.note(UpstreamUnusable, "start it again, or remove it by a plan", "upstream %s is leaving", u.ID)
	case snapshot.Unlisted:
		d.problem(UpstreamUnusable, "register the address in the platform's VM list, or correct it by a plan", "the platform's VM list has no current entry for upstream %s at %s", u.ID, u.Address)
	case snapshot.Silent:
		d.problem(UpstreamUnusable, "check the upstream's process and the network to it", "upstream %s at %s gives no load report", u.ID, u.Address)
	}
}

func (d *draft) assessWork() {
	if n := len(d.view.Unknown); n > 0 {
		d.problem(OutcomesUnknown, "find out at the service whether each call ran, then settle it by a plan with resolve_call",
			"%d calls of this VM's shards have an unknown outcome", n)
	}
	if n := len(d.view.OpenOrders); n > 0 {
		d.note(OrdersUnconfirmed, "they are repeated; check the log of the engine if they stay", "%d orders are not confirmed by their engines", n)
	}
}
