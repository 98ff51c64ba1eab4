// Package snapshot has the immutable view of control state that traffic
// goroutines read.
package snapshot

import (
	"time"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/cluster"
	"github.com/sassafrasspur/sassafrasspur/internal/configuration"
)

// Snapshot is a view of control state at one moment. It is never changed after
// it was published.
type Snapshot struct {
	Self cluster.Node
	// LeaseUntil is the time before which a dispatch may be sent.
	LeaseUntil time.Time
	// Configuration is nil until one was read.
	Configuration *configuration.Configuration
	// ConfigurationUntil is the time until which the configuration is known to
	// be fresh enough for new work.
	ConfigurationUntil time.Time
	ConfigurationAsOf  time.Time
	Assignment         cluster.Assignment
	Nodes              []cluster.Node
	// Leaving lists upstreams that get no new work.
	Leaving []ident.UpstreamID
	// Draining is true from the request to shut down.
	Draining bool
	// LeavingAnnounced is true once the node's row on the platform says that it
	// is leaving.
	LeavingAnnounced bool
	// Serving is the number of shards that are loaded here.
	Serving int
	// UpstreamLoads has a row for each upstream, for status pages.
	UpstreamLoads []UpstreamLoad
	// OpenOrders are the orders of this node's shards that engines have not
	// confirmed.
	OpenOrders []configuration.Order
	// Unknown lists the calls of this node's shards whose outcome is unknown.
	Unknown []UnknownCall
	// PlatformSeen is when the last own read of the platform that succeeded was
	// started.
	PlatformSeen time.Time
	// Entry is used where no program has an owner.
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

// Owner returns the node that owns a program.
func (s *Snapshot) Owner(p ident.ProgramID) (cluster.Node, cluster.Owner, bool) {
	if len(s.Assignment.Owners) == 0 {
		return cluster.Node{}, cluster.Owner{}, false
	}
	owner := s.Assignment.Owners[p.Shard(len(s.Assignment.Owners))]
	if owner.VM == s.Self.VM {
		return s.Self, owner, owner.Incarnation == s.Self.Incarnation
	}
	for _, node := range s.Nodes {
		if node.VM == owner.VM {
			return node, owner, node.State != cluster.Closed
		}
	}
	return cluster.Node{}, owner, false
}

// Holds reports whether the node owns a program's shard under an epoch and has
// a valid lease. Without that, another node may run the program's calls.
func (s *Snapshot) Holds(p ident.ProgramID, epoch ident.Epoch, now time.Time) bool {
	node, owner, known := s.Owner(p)
	return known && node.VM == s.Self.VM && owner.Epoch == epoch && now.Before(s.LeaseUntil)
}
