// Package diagnoser derives findings from a snapshot: what is wrong, and which step
// to take.
//
// A problem means that calls are refused, delayed or wait for an operator. A note
// requires no action, or none now.
package diagnoser

import (
	"fmt"
	"slices"
	"time"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/configuration"
	"github.com/sassafrasspur/sassafrasspur/internal/snapshot"
)

// maxPlatformAge is the age of the last successful read of the platform above
// which the platform counts as unreachable. New work is refused at the same age of
// the configuration.
const maxPlatformAge = 5 * time.Second

// Kind is the kind of a finding. Its value is part of the API.
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
	// Next is the next step for the operator.
	Next string
	// Note is true if the finding is a note: calls are not affected.
	Note bool
}

// Diagnosis is the state of the system according to one node.
type Diagnosis struct {
	// Findings lists the problems before the notes.
	Findings          []Finding
	Healthy           bool
	PlatformReachable bool
	// Live is the number of VMs that serve callers, Leaving the number of VMs
	// that are leaving.
	Live, Leaving int
}

// Diagnoser diagnoses snapshots. It has no state.
type Diagnoser struct{}

// Diagnose returns the state at the time now. The snapshot must have a configuration.
func (Diagnoser) Diagnose(now time.Time, view *snapshot.Snapshot) Diagnosis {
	e := &evaluation{now: now, view: view}
	e.PlatformReachable = now.Sub(view.Entry.MembersAsOf) <= maxPlatformAge
	e.countVMs()
	e.diagnoseVM()
	e.diagnoseUpstreams()
	e.diagnosePending()
	slices.SortStableFunc(e.Findings, func(a, b Finding) int {
		switch {
		case a.Note == b.Note:
			return 0
		case b.Note:
			return -1
		}
		return 1
	})
	e.Healthy = len(e.Findings) == 0 || e.Findings[0].Note
	return e.Diagnosis
}

// evaluation is a diagnosis under construction, with its inputs.
type evaluation struct {
	Diagnosis
	now  time.Time
	view *snapshot.Snapshot
}

// addProblem adds a finding that affects calls.
func (e *evaluation) addProblem(kind Kind, next, format string, args ...any) {
	e.Findings = append(e.Findings, Finding{Kind: kind, Text: fmt.Sprintf(format, args...), Next: next})
}

// addNote adds a finding that does not affect calls.
func (e *evaluation) addNote(kind Kind, next, format string, args ...any) {
	e.Findings = append(e.Findings, Finding{Kind: kind, Text: fmt.Sprintf(format, args...), Next: next, Note: true})
}

func (e *evaluation) countVMs() {
	e.Live = len(e.view.Entry.Members)
	for _, m := range e.view.Entry.Present {
		if m.Leaving {
			e.Leaving++
		}
	}
}

func (e *evaluation) diagnoseVM() {
	if !e.PlatformReachable {
		e.addProblem(PlatformUnreachable,
			"check the platform and the network from this VM to it; the VMs recover without a restart",
			"this VM has not read the platform for %s", e.age(e.view.Entry.MembersAsOf))
	}
	if !e.view.Entry.Enrolled {
		e.addProblem(NotListed, "check the platform; calls are refused until this VM has written its row to the list of VMs",
			"this VM has not been listed since its start")
	}
	if !e.now.Before(e.view.ConfigurationFreshUntil) {
		e.addProblem(ConfigurationStale,
			"check the platform; new work is refused as not run until this VM can read the configuration",
			"this VM can't know that its configuration, which is %s old, is current", e.age(e.view.ConfigurationAsOf))
	}
	if e.view.Configuration.Version == 0 {
		e.addNote(ConfigurationMissing,
			"create a plan with a team, a class, a pool and an upstream",
			"no plan has been confirmed yet")
	}
	if e.view.Entry.Leaving {
		e.addNote(Draining, "use another address; the VM stops when its calls have ended", "this VM is leaving")
	}
}

// age is rounded to seconds, so that a text does not change with each diagnosis.
func (e *evaluation) age(since time.Time) string {
	if since.IsZero() {
		return "an unknown time"
	}
	return e.now.Sub(since).Round(time.Second).String()
}

func (e *evaluation) diagnoseUpstreams() {
	poolUsable := map[ident.PoolID]bool{}
	for _, load := range e.view.UpstreamLoads {
		u, _ := e.view.Configuration.Upstream(load.Upstream)
		if load.Usable {
			poolUsable[u.Pool] = true
			continue
		}
		e.diagnoseUpstream(u, load.Reason)
	}
	for _, pool := range e.view.Configuration.Pools {
		if !poolUsable[pool.ID] {
			e.addProblem(PoolWithoutUpstream,
				"repair or undrain an upstream of the pool, or add one with a plan; calls to the pool are refused as not run",
				"pool %s has no usable upstream", pool.ID)
		}
	}
}

func (e *evaluation) diagnoseUpstream(u configuration.Upstream, reason snapshot.UnusableReason) {
	switch reason {
	case snapshot.Drained:
		e.addNote(UpstreamUnusable,
			"undrain it with a plan when it may serve calls again",
			"upstream %s is drained by a plan", u.ID)
	case snapshot.UpstreamLeaving:
		e.addNote(UpstreamUnusable, "restart it, or remove it with a plan", "upstream %s is leaving", u.ID)
	case snapshot.NotInPlatformList:
		e.addProblem(UpstreamUnusable,
			"register the address in the platform's VM list, or correct it with a plan",
			"the platform's VM list has no current entry for upstream %s at %s", u.ID, u.Address)
	case snapshot.NoLoadReport:
		e.addProblem(UpstreamUnusable,
			"check the upstream's process and the network to it",
			"there is no current load report of upstream %s at %s", u.ID, u.Address)
	}
}

func (e *evaluation) diagnosePending() {
	if n := len(e.view.UnknownCalls); n > 0 {
		e.addProblem(OutcomesUnknown,
			"find out at the service whether each call ran, then settle it by a plan with resolve_call",
			"%d calls have an unknown outcome", n)
	}
	if n := len(e.view.OpenOrders); n > 0 {
		e.addNote(OrdersUnconfirmed,
			"orders are repeated until confirmed; check the engine's log if they remain",
			"%d orders are not confirmed by their engines", n)
	}
}
