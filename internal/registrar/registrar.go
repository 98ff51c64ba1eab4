// Package registrar keeps the node's place among the entry VMs.
//
// It joins with a new incarnation, watches the rows of the other nodes, takes
// over the shards of a node whose row stays unchanged beyond its lease, and
// hands shards over to the nodes that should own them. Every change of owners
// is one conditional write on the assignment.
package registrar

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/cluster"
	"github.com/sassafrasspur/sassafrasspur/internal/effect"
	"github.com/sassafrasspur/sassafrasspur/internal/message"
	"github.com/sassafrasspur/sassafrasspur/internal/snapshot"
)

// retryDelay is the wait after a failed join or load.
const retryDelay = 500 * time.Millisecond

// rankDelay separates the takeovers of several nodes that see the same lapsed
// row, so that usually only one of them writes.
const rankDelay = 400 * time.Millisecond

// Registrar is the controller of membership and of the ownership of shards.
type Registrar struct {
	self     cluster.Node
	shards   int
	lease    time.Duration
	margin   time.Duration
	interval time.Duration
	process  string

	joined  bool
	joinAt  time.Time
	readAt  time.Time
	reading bool
	// seenAt is when the last read that succeeded was started.
	seenAt     time.Time
	writes     uint64
	nodes      map[ident.VMID]observation
	assignment cluster.Assignment
	loading    map[ident.Shard]ident.Epoch
	reloadAt   time.Time
	serving    map[ident.Shard]ident.Epoch
	closing    map[ident.Shard]bool
	// postponed counts the handovers of a shard that were put off.
	postponed map[ident.Shard]int
	drained   map[ident.Shard]bool
	// targetVMs are the owners at rest for the live VMs targetsOf.
	targetsOf, targetVMs []ident.VMID
	// moving is true while a change of owners is under way.
	moving  bool
	leaving bool
}

// observation is what is known of another node's row.
type observation struct {
	node cluster.Node
	// since is when the present version of the row was first seen, with reads
	// that succeeded all through.
	since time.Time
	// renewed is true if the row was seen to change.
	renewed bool
}

// Option changes how New builds a Registrar.
type Option func(*Registrar)

// WithLease sets the time for which a node's write extends its lease, and the
// margin that is waited beyond it before a takeover.
func WithLease(lease, margin time.Duration) Option {
	return func(r *Registrar) { r.lease, r.margin = lease, margin }
}

// WithInterval sets the time between two reads of the cluster's rows.
func WithInterval(interval time.Duration) Option {
	return func(r *Registrar) { r.interval = interval }
}

// WithShards sets the number of shards. It is fixed for a deployment.
func WithShards(shards int) Option {
	return func(r *Registrar) { r.shards = shards }
}

// WithProcess sets the id of this process, which makes its write ids unique.
func WithProcess(process string) Option {
	return func(r *Registrar) { r.process = process }
}

// New returns the registrar of a node.
func New(self cluster.Node, options ...Option) *Registrar {
	r := &Registrar{
		self:     self,
		shards:   48,
		lease:    6 * time.Second,
		margin:   2 * time.Second,
		interval: time.Second,
	}
	for _, option := range options {
		option(r)
	}
	r.reset()
	return r
}

// Handle takes part in the control loop.
func (r *Registrar) Handle(now time.Time, m message.Message) []effect.Effect {
	switch m := m.(type) {
	case message.Started:
		return r.join()
	case message.JoinDone:
		return r.joinDone(now, m)
	case message.Fenced:
		return r.fenced(now)
	case message.Tick:
		return r.tick(now)
	case message.ClusterRead:
		return r.read(now, m)
	case message.ClusterReadFailed:
		return r.readFailed(now)
	case message.MoveDone:
		return r.moveDone(now, m)
	case message.ShardLoaded:
		return r.loaded(now, m)
	case message.ShardReopened:
		delete(r.closing, m.Shard)
		r.postponed[m.Shard]++
	case message.ShardDrained:
		r.drained[m.Shard] = true
		return r.handOver()
	case message.ShutdownRequested:
		r.leaving = true
		return r.rebalance()
	}
	return nil
}

// Describe adds the nodes and owners to a snapshot. A node whose row has lapsed
// is shown as closed, so that no caller is sent to it.
func (r *Registrar) Describe(s *snapshot.Snapshot) {
	s.Assignment = r.assignment.Clone()
	s.Serving = len(r.serving)
	s.PlatformSeen = r.seenAt
	for _, vm := range slices.Sorted(maps.Keys(r.nodes)) {
		o := r.nodes[vm]
		if r.lapsed(o, 0) {
			o.node.State = cluster.Closed
		}
		s.Nodes = append(s.Nodes, o.node)
	}
}

func (r *Registrar) reset() {
	r.joined, r.reading, r.moving = false, false, false
	r.nodes = map[ident.VMID]observation{}
	r.loading = map[ident.Shard]ident.Epoch{}
	r.serving = map[ident.Shard]ident.Epoch{}
	r.closing = map[ident.Shard]bool{}
	r.drained = map[ident.Shard]bool{}
	r.postponed = map[ident.Shard]int{}
}

func (r *Registrar) writeID() ident.WriteID {
	r.writes++
	return ident.WriteID(fmt.Sprintf("%s-r%d", r.process, r.writes))
}

func (r *Registrar) join() []effect.Effect {
	r.joinAt = time.Time{}
	node := r.self
	node.State = cluster.Live
	if r.leaving {
		node.State = cluster.Leaving
	}
	return []effect.Effect{effect.Join{Node: node, Shards: r.shards, WriteID: r.writeID()}}
}

func (r *Registrar) joinDone(now time.Time, m message.JoinDone) []effect.Effect {
	if r.joined {
		return nil
	}
	if m.Verdict != message.Committed {
		r.joinAt = now.Add(retryDelay)
		return []effect.Effect{effect.WakeAt{Time: r.joinAt}}
	}
	r.joined = true
	r.self = m.Node
	effects := []effect.Effect{effect.Send{Message: message.Joined{Node: m.Node, SentAt: m.SentAt}}}
	effects = append(effects, r.adopt(now, m.Assignment)...)
	r.readAt = now
	return append(effects, r.startRead(now)...)
}

// fenced drops all ownership and joins again with a new incarnation.
func (r *Registrar) fenced(now time.Time) []effect.Effect {
	r.reset()
	r.joinAt = now.Add(retryDelay)
	return []effect.Effect{effect.WakeAt{Time: r.joinAt}, effect.Publish{}}
}

func (r *Registrar) tick(now time.Time) []effect.Effect {
	if !r.joined {
		if r.joinAt.IsZero() {
			return nil
		}
		if now.Before(r.joinAt) {
			return []effect.Effect{effect.WakeAt{Time: r.joinAt}}
		}
		return r.join()
	}
	effects := r.startRead(now)
	if !r.reloadAt.IsZero() {
		if now.Before(r.reloadAt) {
			return append(effects, effect.WakeAt{Time: r.reloadAt})
		}
		r.reloadAt = time.Time{}
		effects = append(effects, r.load()...)
	}
	return effects
}

func (r *Registrar) startRead(now time.Time) []effect.Effect {
	if r.reading {
		return nil
	}
	if now.Before(r.readAt) {
		return []effect.Effect{effect.WakeAt{Time: r.readAt}}
	}
	r.reading = true
	return []effect.Effect{effect.ReadCluster{}}
}

func (r *Registrar) scheduleRead(now time.Time) effect.Effect {
	r.reading = false
	r.readAt = now.Add(r.interval)
	return effect.WakeAt{Time: r.readAt}
}

// readFailed starts all observations anew: rows that did not change while the
// platform could not be read say nothing about their nodes, which may not have
// been able to write either.
func (r *Registrar) readFailed(now time.Time) []effect.Effect {
	for vm, o := range r.nodes {
		o.since = time.Time{}
		r.nodes[vm] = o
	}
	return []effect.Effect{r.scheduleRead(now)}
}

func (r *Registrar) read(now time.Time, m message.ClusterRead) []effect.Effect {
	if !r.joined {
		return nil
	}
	r.seenAt = m.StartedAt
	effects := []effect.Effect{r.scheduleRead(now), effect.Publish{}}
	for _, node := range m.Nodes {
		r.observe(now, node)
	}
	if m.Assignment.Version >= r.assignment.Version {
		effects = append(effects, r.adopt(now, m.Assignment)...)
	}
	effects = append(effects, r.takeOver()...)
	return append(effects, r.rebalance()...)
}

func (r *Registrar) observe(now time.Time, node cluster.Node) {
	if node.VM == r.self.VM {
		return
	}
	old, known := r.nodes[node.VM]
	if known && old.node.Version == node.Version && !old.since.IsZero() {
		return
	}
	r.nodes[node.VM] = observation{
		node:    node,
		since:   now,
		renewed: known && (old.renewed && old.node.Incarnation == node.Incarnation || old.node.Version != node.Version),
	}
}

// lapsed reports whether a node's row is closed, or stayed unchanged for longer
// than its lease, the margin and a further delay.
func (r *Registrar) lapsed(o observation, delay time.Duration) bool {
	if o.node.State == cluster.Closed {
		return true
	}
	return !o.since.IsZero() && r.seenAt.Sub(o.since) >= r.lease+r.margin+delay
}
