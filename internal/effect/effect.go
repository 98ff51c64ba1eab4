// Package effect has everything that a controller asks for.
//
// Controllers do no I/O: the executor carries out Answer, Send, WakeAt and
// Publish itself and gives all other effects to the performer, which reports
// the result as a message.
package effect

import (
	"time"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/cluster"
	"github.com/sassafrasspur/sassafrasspur/internal/message"
	"github.com/sassafrasspur/sassafrasspur/internal/outcome"
)

// Effect is a request of a controller. The interface is sealed: the variants
// are the types of this package.
type Effect interface{ sealed() }

// Answer answers a ticket.
type Answer struct {
	Ticket  ident.Ticket
	Outcome outcome.Outcome
}

// Send gives a message to the controllers before any other message.
type Send struct{ Message message.Message }

// WakeAt asks for message.Tick at a time. Ticks may come earlier, too. A tick
// ends all requests so far: a controller asks again for a later one.
type WakeAt struct{ Time time.Time }

// Publish asks for a new snapshot.
type Publish struct{}

// Join writes the node's row for a new incarnation and takes the shards of
// the VM's earlier incarnation along. Reported by message.JoinDone.
type Join struct {
	Node    cluster.Node
	Shards  int
	WriteID ident.WriteID
}

// Commit writes a segment and the node's row. Reported by message.CommitDone.
type Commit struct {
	// Node is the new row; its Version is the version that it replaces.
	Node        cluster.Node
	Entries     []message.Entry
	Checkpoints []message.Checkpoint
}

// ReadCluster reads the node rows and the assignment. Reported by
// message.ClusterRead or message.ClusterReadFailed.
type ReadCluster struct{}

// Move gives a shard to the owner named in the new assignment.
type Move struct {
	Shard ident.Shard
	// Span is appended to the shard's row if the old owner did not hand over.
	Span *cluster.Span
}

// MoveShards changes owners in one transaction. Reported by message.MoveDone.
type MoveShards struct {
	// Assignment is the new one; its Version is the version that it replaces.
	Assignment cluster.Assignment
	// Close is the row of the old owner, which is closed; nil at a handover.
	Close *cluster.Node
	Moves []Move
}

// LoadShard recovers the state of a shard. Reported by message.ShardLoaded.
type LoadShard struct {
	Shard ident.Shard
	Epoch ident.Epoch
}

// ReadConfiguration reads the configuration. Reported by
// message.ConfigurationRead.
type ReadConfiguration struct{}

// Gossip asks a peer for its news and gives it the node's own. Reported by
// message.PeerHeard if the peer answers.
type Gossip struct {
	VM      ident.VMID
	Address string
}

// ListUpstreams reads the platform's list. Reported by message.UpstreamsListed.
type ListUpstreams struct{}

// ReadLoad asks an upstream for its load. Reported by message.UpstreamReported.
type ReadLoad struct {
	Upstream ident.UpstreamID
	Address  string
}

// ReadCache asks an engine for the programs that it holds. Reported by
// message.CacheRead.
type ReadCache struct {
	Upstream ident.UpstreamID
	Address  string
}

// Release orders an engine to free a program's memory. Reported by
// message.ReleaseDone.
type Release struct {
	Program  ident.ProgramID
	Upstream ident.UpstreamID
	Address  string
	Epoch    ident.Epoch
}

// CancelGrant stops a borrowed call whose upstream is reclaimed. The call still
// returns its grant.
type CancelGrant struct{ Grant ident.Grant }

// LookUp asks a service for the result of a call. Reported by message.LookedUp.
type LookUp struct {
	Program ident.ProgramID
	Call    ident.CallID
	Attempt ident.Attempt
	Address string
}

// Order gives an engine an order. Reported by message.OrderDone.
type Order struct{ message.OrderID }

func (Answer) sealed()            {}
func (Send) sealed()              {}
func (WakeAt) sealed()            {}
func (Publish) sealed()           {}
func (Join) sealed()              {}
func (Commit) sealed()            {}
func (ReadCluster) sealed()       {}
func (MoveShards) sealed()        {}
func (LoadShard) sealed()         {}
func (ReadConfiguration) sealed() {}
func (Gossip) sealed()            {}
func (ListUpstreams) sealed()     {}
func (ReadLoad) sealed()          {}
func (ReadCache) sealed()         {}
func (Release) sealed()           {}
func (CancelGrant) sealed()       {}
func (LookUp) sealed()            {}
func (Order) sealed()             {}
