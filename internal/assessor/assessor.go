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
	NotListed            Kind = "not_listed"
	ConfigurationStale   Kind = "configuration_stale"
	UpstreamUnusable     Kind = "upstream_unusable"
	PoolWithoutUpstream  Kind = "pool_without_upstream"
	OutcomesUnknown      Kind = "outcomes_unknown"
	OrdersUnconfirmed    Kind = "orders_unconfirmed"
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
	// Live is the number of VMs that serve callers, Departing that of VMs that
	// leave.
	Live, Departing int
}

// Assessor assesses snapshots. Its result depends on its arguments alone.
type Assessor struct{}

// Assess returns the state at a time. The snapshot has a configuration.
func (Assessor) Assess(now time.Time, view *snapshot.Snapshot) Assessment {
	d := &draft{now: now, view: view}
	d.PlatformReachable = now.Sub(view.Entry.MembersAsOf) <= platformLimit
	d.countNodes()
	d.assessNode()
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

func (d *draft) countNodes() {
	d.Live = len(d.view.Entry.Members)
	for _, m := range d.view.Entry.Present {
		if m.Leaving {
			d.Departing++
		}
	}
}

func (d *draft) assessNode() {
	if !d.PlatformReachable {
		d.problem(PlatformUnreachable, "check the platform and the network from this VM to it; nothing on the VMs needs a restart, they go on by themselves",
			"this VM has read nothing from the platform for %s", d.age(d.view.Entry.MembersAsOf))
	}
	if !d.view.Entry.Enrolled {
		d.problem(NotListed, "check the platform; calls are refused until this VM could write its row",
			"this VM has not been able to list itself since its start")
	}
	if !d.now.Before(d.view.ConfigurationUntil) {
		d.problem(ConfigurationStale, "check the platform; new work is refused as not run until this VM can read the configuration",
			"this VM can't know that its configuration, which is %s old, is current", d.age(d.view.ConfigurationAsOf))
	}
	if d.view.Configuration.Version == 0 {
		d.note(ConfigurationMissing, "create a plan with a team, a class, a pool and an upstream", "no plan was confirmed yet")
	}
	if d.view.Entry.Leaving {
		d.note(Draining, "use another address; the VM stops when its calls have ended", "this VM is leaving")
	}
}

// age is rounded, so that a line does not change with every look.
func (d *draft) age(since time.Time) string {
	if since.IsZero() {
		return "an unknown time"
	}
	return d.now.Sub(since).Round(time.Second).String()
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
			"%d calls have an unknown outcome", n)
	}
	if n := len(d.view.OpenOrders); n > 0 {
		d.note(OrdersUnconfirmed, "they are repeated; check the log of the engine if they stay", "%d orders are not confirmed by their engines", n)
	}
}
