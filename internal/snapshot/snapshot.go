// Package snapshot defines the immutable snapshot of control state that traffic
// goroutines read.
package snapshot

import (
	"time"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/configuration"
)

// Snapshot is the control state at one point in time. It is immutable once published.
type Snapshot struct {
	// Configuration is nil until one has been read.
	Configuration *configuration.Configuration
	// ConfigurationFreshUntil is the time until which the configuration is fresh
	// enough to start new work.
	ConfigurationFreshUntil time.Time
	ConfigurationAsOf       time.Time
	// LeavingUpstreams lists the upstreams that receive no new work because they are
	// leaving.
	LeavingUpstreams []ident.UpstreamID
	// UpstreamLoads has an entry for each upstream, for the status pages.
	UpstreamLoads []UpstreamLoad
	// OpenOrders has the unconfirmed orders to the engines that this node is
	// responsible for.
	OpenOrders []configuration.Order
	// UnknownCalls lists the calls whose outcome is unknown.
	UnknownCalls []UnknownCall
	// Entry is the part about entry VMs, routes and listed upstreams.
	Entry Entry
}

// UnknownCall is a call whose outcome is unknown.
type UnknownCall struct {
	Team    ident.TeamID
	Program ident.ProgramID
	Call    ident.CallID
}

// UpstreamLoad is the load of one upstream as seen by this node.
type UpstreamLoad struct {
	Upstream ident.UpstreamID
	InFlight int
	Limit    int
	Usable   bool
	// Reason is why the upstream is unusable, empty if it is usable.
	Reason UnusableReason
}

// UnusableReason is the reason why an upstream receives no new work.
type UnusableReason string

// The reasons why an upstream is unusable.
const (
	// Drained upstreams were taken out of use by a plan.
	Drained UnusableReason = "drained"
	// UpstreamLeaving upstreams are shutting down.
	UpstreamLeaving UnusableReason = "leaving"
	// NotInPlatformList upstreams have no current entry in the platform's list.
	NotInPlatformList UnusableReason = "unlisted"
	// NoLoadReport upstreams send no load reports.
	NoLoadReport UnusableReason = "silent"
)
