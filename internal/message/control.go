package message

import (
	"time"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/cluster"
	"github.com/sassafrasspur/sassafrasspur/internal/configuration"
	"github.com/sassafrasspur/sassafrasspur/internal/program"
	"github.com/sassafrasspur/sassafrasspur/internal/record"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

// Token names a wait for durability. Only the controller that asked for it
// knows what it stands for.
type Token uint64

// Entry is a record with the shard and the epoch under which it was written.
type Entry struct {
	Shard  ident.Shard
	Epoch  ident.Epoch
	Record record.Record
}

// Checkpoint is the state of a shard that is to be written with a commit.
type Checkpoint struct {
	Row      cluster.ShardRow
	Programs program.Set
}

// Append asks the committer to make entries durable.
type Append struct {
	Token      Token
	Entries    []Entry
	Checkpoint *Checkpoint
}

// Durable says that the entries of a group of Appends are durable, and that the
// journal is durable up to Head.
type Durable struct {
	Tokens []Token
	Head   ident.Sequence
}

// Joined says that the node's row is written and which incarnation it has.
type Joined struct {
	Node   cluster.Node
	SentAt time.Time
}

// LeaseChanged says until when the node's lease is valid.
type LeaseChanged struct{ Until time.Time }

// Fenced says that the node's row was closed by another: it owns nothing.
type Fenced struct{}

// ShardClosed says that a shard has another owner.
type ShardClosed struct{ Shard ident.Shard }

// ReleaseWanted asks for the release of a program's engine memory.
type ReleaseWanted struct {
	Program  ident.ProgramID
	Upstream ident.UpstreamID
	Shard    ident.Shard
	Epoch    ident.Epoch
}

// ReleaseConfirmed says that an engine holds no memory of a program.
type ReleaseConfirmed struct {
	Program  ident.ProgramID
	Upstream ident.UpstreamID
}

// LookUpWanted asks for the result of a call whose outcome is unknown.
type LookUpWanted struct {
	Team     ident.TeamID
	Program  ident.ProgramID
	Call     ident.CallID
	Attempt  ident.Attempt
	Upstream ident.UpstreamID
	Pool     ident.PoolID
	Shard    ident.Shard
}

// Verdict is the result of a conditional write.
type Verdict string

// Verdicts.
const (
	// Committed writes took effect.
	Committed Verdict = "committed"
	// Conflict means that another write came first.
	Conflict Verdict = "conflict"
	// Uncertain writes may or may not take effect.
	Uncertain Verdict = "uncertain"
)

// CommitDone reports the result of effect.Commit.
type CommitDone struct {
	WriteID ident.WriteID
	Verdict Verdict
	// SentAt is when the write was first sent, AnsweredAt when the result was
	// known, both on the node's own clock.
	SentAt     time.Time
	AnsweredAt time.Time
}

// JoinDone reports the result of effect.Join.
type JoinDone struct {
	Verdict    Verdict
	Node       cluster.Node
	Assignment cluster.Assignment
	SentAt     time.Time
}

// ClusterRead reports the rows that effect.ReadCluster read.
type ClusterRead struct {
	StartedAt  time.Time
	Nodes      []cluster.Node
	Assignment cluster.Assignment
}

// ClusterReadFailed reports that effect.ReadCluster failed.
type ClusterReadFailed struct{}

// MoveDone reports the result of effect.MoveShards.
type MoveDone struct {
	Verdict Verdict
	// Closed is the node whose row was closed; empty if none was.
	Closed ident.VMID
	Shards int
}

// ShardLoaded reports the state of a shard that was recovered.
type ShardLoaded struct {
	Shard    ident.Shard
	Epoch    ident.Epoch
	Row      cluster.ShardRow
	Programs program.Set
	// Err is set if the shard could not be read; it is to be asked for again.
	Err error
}

// ShardOpened says that the node serves a shard from now on.
type ShardOpened struct {
	Shard    ident.Shard
	Epoch    ident.Epoch
	Row      cluster.ShardRow
	Programs program.Set
}

// ShardClosing asks for the end of work on a shard before its handover. If work
// is still under way after Window, the shard is served again.
type ShardClosing struct {
	Shard  ident.Shard
	Window time.Duration
}

// ShardReopened says that a shard could not be drained within its window.
type ShardReopened struct{ Shard ident.Shard }

// ShardDrained says that no work of a shard is left and its checkpoint is
// durable.
type ShardDrained struct{ Shard ident.Shard }

// ConfigurationRead reports a read of the configuration.
type ConfigurationRead struct {
	StartedAt     time.Time
	Configuration *configuration.Configuration
	// Err is set if the read failed.
	Err error
}

// PeerHeard reports the gossip of another node.
type PeerHeard struct {
	VM      ident.VMID
	Version ident.Version
	// Age is the age of the peer's knowledge that Version is current.
	Age time.Duration
	// Configuration is set if the peer sent it as a whole.
	Configuration *configuration.Configuration
	// Leaving lists upstreams that the peer knows to be leaving.
	Leaving []ident.UpstreamID
	// At is when the gossip was asked for, on the node's own clock.
	At time.Time
}

// UpstreamState is the state of an upstream in the platform's list.
type UpstreamState struct {
	Address string
	Leaving bool
}

// UpstreamsListed reports a read of the platform's list of VMs.
type UpstreamsListed struct {
	StartedAt time.Time
	States    []UpstreamState
	Err       error
}

// UpstreamReported reports the load of an upstream.
type UpstreamReported struct {
	Upstream  ident.UpstreamID
	StartedAt time.Time
	Running   int
	Waiting   int
	// WaitingTokens is the work that waits in the upstream's queue.
	WaitingTokens unit.Tokens
	Leaving       bool
	Err           error
}

// CacheRead reports the programs that an engine holds in memory.
type CacheRead struct {
	Upstream  ident.UpstreamID
	Complete  bool
	Residents map[ident.ProgramID]unit.Tokens
	Err       error
}

// ReleaseDone reports the result of effect.Release.
type ReleaseDone struct {
	Program  ident.ProgramID
	Upstream ident.UpstreamID
	Err      error
}

// OrderID is an order to the engine at an address.
type OrderID struct {
	Order   configuration.Order
	Address string
}

// OrderDone reports the result of effect.Order.
type OrderDone struct {
	OrderID
	Err error
}

// OutcomeSettled says that the outcome of a call is not unknown any more.
type OutcomeSettled struct {
	Program ident.ProgramID
	Call    ident.CallID
}

// LookedUp reports the result of effect.LookUp. Found is true if the upstream
// ran the call; a call that is not found may still run.
type LookedUp struct {
	Program ident.ProgramID
	Call    ident.CallID
	Found   bool
	Answer  record.Answer
	Err     error
}

func (Append) sealed()            {}
func (Durable) sealed()           {}
func (Joined) sealed()            {}
func (LeaseChanged) sealed()      {}
func (Fenced) sealed()            {}
func (ShardClosed) sealed()       {}
func (ReleaseWanted) sealed()     {}
func (ReleaseConfirmed) sealed()  {}
func (LookUpWanted) sealed()      {}
func (CommitDone) sealed()        {}
func (JoinDone) sealed()          {}
func (ClusterRead) sealed()       {}
func (ClusterReadFailed) sealed() {}
func (MoveDone) sealed()          {}
func (ShardLoaded) sealed()       {}
func (ShardOpened) sealed()       {}
func (ShardClosing) sealed()      {}
func (ShardReopened) sealed()     {}
func (ShardDrained) sealed()      {}
func (ConfigurationRead) sealed() {}
func (PeerHeard) sealed()         {}
func (UpstreamsListed) sealed()   {}
func (UpstreamReported) sealed()  {}
func (CacheRead) sealed()         {}
func (ReleaseDone) sealed()       {}
func (LookedUp) sealed()          {}
func (OrderDone) sealed()         {}
func (OutcomeSettled) sealed()    {}
