// Package snapshot has the immutable view of control state that traffic
// goroutines read.
package snapshot

import (
	"time"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/configuration"
)

// Snapshot is a view of control state at one moment. It is never changed after
// it was published.
type Snapshot struct {
	// Configuration is nil until one was read.
	Configuration *configuration.Configuration
	// ConfigurationUntil is the time until which the configuration is known to
	// be fresh enough for new work.
	ConfigurationUntil time.Time
	ConfigurationAsOf  time.Time
	// Leaving lists upstreams that get no new work.
	Leaving []ident.UpstreamID
	// UpstreamLoads has a row for each upstream, for status pages.
	UpstreamLoads []UpstreamLoad
	// OpenOrders are the orders of this node's share of engines that have not
	// been confirmed.
	OpenOrders []configuration.Order
	// Unknown lists the calls whose outcome is unknown.
	Unknown []UnknownCall
	// Entry is the part about entry VMs, routes and the platform's lists.
	Entry Entry
}

// UnknownCall is a call whose outcome is unknown.
type UnknownCall struct {
	Team    ident.TeamID
	Program ident.ProgramID
	Call    ident.CallID
}

// UpstreamLoad is the node's view of one upstream.
type UpstreamLoad struct {
	Upstream ident.UpstreamID
	InFlight int
	Limit    int
	Usable   bool
	// Reason says why the upstream is not usable; empty if it is.
	Reason Unusable
}

// Unusable says why an upstream gets no new work.
type Unusable string

// Reasons.
const (
	// Drained upstreams are taken out of use by a plan.
	Drained Unusable = "drained"
	// UpstreamLeaving upstreams are shutting down.
	UpstreamLeaving Unusable = "leaving"
	// Unlisted upstreams have no current entry in the platform's list.
	Unlisted Unusable = "unlisted"
	// Silent upstreams give no load report.
	Silent Unusable = "silent"
)
