package registrar

import (
	"maps"
	"slices"
	"time"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/assigner"
	"github.com/sassafrasspur/sassafrasspur/internal/cluster"
	"github.com/sassafrasspur/sassafrasspur/internal/effect"
	"github.com/sassafrasspur/sassafrasspur/internal/message"
)

// maxMoves bounds the shards of one transaction: the platform takes at most
// 100 rows, and the assignment and the node row are among them.
const maxMoves = 90

// A handover waits at most a window for the calls of the shard to end, since new
// calls wait as long. The window doubles each time that this was not enough.
const (
	firstWindow = time.Second
	maxWindow   = 64 * time.Second
	// maxPostponed keeps the shift from overflowing.
	maxPostponed = 16
)

// adopt makes an assignment the present one: shards that are newly the node's
// own are loaded, shards that have another owner are closed.
func (r *Registrar) adopt(now time.Time, a cluster.Assignment) []effect.Effect {
	r.assignment = a
	effects := []effect.Effect{effect.Publish{}}
	for _, shard := range slices.Sorted(maps.Keys(r.serving)) {
		if epoch, owned := r.owned(shard); owned && epoch == r.serving[shard] {
			continue
		}
		delete(r.serving, shard)
		delete(r.closing, shard)
		delete(r.drained, shard)
		delete(r.postponed, shard)
		effects = append(effects, effect.Send{Message: message.ShardClosed{Shard: shard}})
	}
	if r.reloadAt.After(now) {
		return effects
	}
	return append(effects, r.load()...)
}

// owned returns the epoch of a shard that the assignment gives to this
// incarnation.
func (r *Registrar) owned(shard ident.Shard) (ident.Epoch, bool) {
	owner := r.assignment.Owners[shard]
	return owner.Epoch, owner.VM == r.self.VM && owner.Incarnation == r.self.Incarnation
}

func (r *Registrar) load() []effect.Effect {
	var effects []effect.Effect
	for _, shard := range r.assignment.OwnedBy(r.self.VM, r.self.Incarnation) {
		epoch, _ := r.owned(shard)
		if r.serving[shard] == epoch || r.loading[shard] == epoch {
			continue
		}
		r.loading[shard] = epoch
		effects = append(effects, effect.LoadShard{Shard: shard, Epoch: epoch})
	}
	return effects
}

func (r *Registrar) loaded(now time.Time, m message.ShardLoaded) []effect.Effect {
	if !r.joined || r.loading[m.Shard] != m.Epoch {
		return nil
	}
	delete(r.loading, m.Shard)
	epoch, owned := r.owned(m.Shard)
	if !owned || epoch != m.Epoch {
		return nil
	}
	if m.Err != nil {
		r.reloadAt = now.Add(retryDelay)
		return []effect.Effect{effect.WakeAt{Time: r.reloadAt}}
	}
	r.serving[m.Shard] = m.Epoch
	opened := message.ShardOpened{Shard: m.Shard, Epoch: m.Epoch, Row: m.Row, Programs: m.Programs}
	return []effect.Effect{effect.Send{Message: opened}, effect.Publish{}}
}

// alive returns the nodes that may be given shards: their rows were seen to
// change and have not lapsed. The node itself is among them unless it leaves.
func (r *Registrar) alive() []ident.VMID {
	var vms []ident.VMID
	for vm, o := range r.nodes {
		if o.node.State == cluster.Live && o.renewed && !r.lapsed(o, 0) {
			vms = append(vms, vm)
		}
	}
	if !r.leaving {
		vms = append(vms, r.self.VM)
	}
	slices.Sort(vms)
	return vms
}

// targets returns the VM that should own each shard. It is computed again only
// when the live VMs change: it takes a hash for each pair of VM and shard, and
// is needed at each read of the cluster.
func (r *Registrar) targets(vms []ident.VMID) []ident.VMID {
	if r.targetsOf == nil || !slices.Equal(r.targetsOf, vms) {
		r.targetsOf = vms
		r.targetVMs = assigner.Assigner{Shards: r.shards}.Targets(vms)
	}
	return r.targetVMs
}

// takeOver gives the shards of one lapsed node to live ones.
func (r *Registrar) takeOver() []effect.Effect {
	if r.moving {
		return nil
	}
	vms := r.alive()
	if len(vms) == 0 {
		return nil
	}
	if orphans := r.orphans(); len(orphans) > 0 {
		return r.moveOrphans(orphans, vms)
	}
	rank := time.Duration(max(slices.Index(vms, r.self.VM), 0))
	for _, vm := range slices.Sorted(maps.Keys(r.nodes)) {
		o := r.nodes[vm]
		if !r.lapsed(o, rank*rankDelay) {
			continue
		}
		if shards := r.assignment.OwnedBy(vm, o.node.Incarnation); len(shards) > 0 {
			return r.move(o.node, shards, vms)
		}
	}
	return nil
}

// orphans returns the shards that were handed to a process that has been
// replaced. It wrote nothing for them: its row was no longer its own.
func (r *Registrar) orphans() []ident.Shard {
	var shards []ident.Shard
	for shard, owner := range r.assignment.Owners {
		node := r.self
		if owner.VM != r.self.VM {
			node = r.nodes[owner.VM].node
		}
		if owner.Incarnation < node.Incarnation {
			shards = append(shards, ident.Shard(shard))
		}
	}
	return shards
}

func (r *Registrar) moveOrphans(orphans []ident.Shard, vms []ident.VMID) []effect.Effect {
	targets := r.targets(vms)
	next := r.assignment.Clone()
	next.WriteID = r.writeID()
	var moves []effect.Move
	for _, shard := range orphans[:min(len(orphans), maxMoves)] {
		next.Owners[shard] = r.ownerFor(targets[shard], next.Owners[shard].Epoch+1)
		moves = append(moves, effect.Move{Shard: shard})
	}
	r.moving = true
	return []effect.Effect{effect.MoveShards{Assignment: next, Moves: moves}}
}

// move closes a node's row and gives its shards away in one transaction, so
// that no commit of the old owner can follow.
func (r *Registrar) move(old cluster.Node, shards []ident.Shard, vms []ident.VMID) []effect.Effect {
	targets := r.targets(vms)
	next := r.assignment.Clone()
	next.WriteID = r.writeID()
	closed := old
	closed.State = cluster.Closed
	closed.WriteID = next.WriteID
	var moves []effect.Move
	for _, shard := range shards[:min(len(shards), maxMoves)] {
		previous := r.assignment.Owners[shard]
		next.Owners[shard] = r.ownerFor(targets[shard], previous.Epoch+1)
		moves = append(moves, effect.Move{Shard: shard, Span: &cluster.Span{
			VM:          previous.VM,
			Incarnation: previous.Incarnation,
			Epoch:       previous.Epoch,
			From:        previous.Since,
			To:          old.Head,
		}})
	}
	r.moving = true
	return []effect.Effect{effect.MoveShards{Assignment: next, Close: &closed, Moves: moves}}
}

func (r *Registrar) ownerFor(vm ident.VMID, epoch ident.Epoch) cluster.Owner {
	node := r.self
	if vm != r.self.VM {
		node = r.nodes[vm].node
	}
	return cluster.Owner{VM: vm, Incarnation: node.Incarnation, Epoch: epoch, Since: node.Head}
}

// rebalance starts the handover of shards that another node should own.
func (r *Registrar) rebalance() []effect.Effect {
	if !r.joined {
		return nil
	}
	targets := r.targets(r.alive())
	if len(targets) == 0 {
		return nil
	}
	var effects []effect.Effect
	for _, shard := range slices.Sorted(maps.Keys(r.serving)) {
		if targets[shard] == r.self.VM || r.closing[shard] {
			continue
		}
		r.closing[shard] = true
		window := min(firstWindow<<min(r.postponed[shard], maxPostponed), maxWindow)
		effects = append(effects, effect.Send{Message: message.ShardClosing{Shard: shard, Window: window}})
	}
	return append(effects, r.handOver()...)
}

// handOver gives drained shards to their targets in one transaction.
func (r *Registrar) handOver() []effect.Effect {
	if r.moving || len(r.drained) == 0 {
		return nil
	}
	vms := r.alive()
	targets := r.targets(vms)
	if len(targets) == 0 {
		return nil
	}
	next := r.assignment.Clone()
	next.WriteID = r.writeID()
	var moves []effect.Move
	for _, shard := range slices.Sorted(maps.Keys(r.drained)) {
		epoch, owned := r.owned(shard)
		if !owned || len(moves) == maxMoves {
			continue
		}
		next.Owners[shard] = r.ownerFor(targets[shard], epoch+1)
		moves = append(moves, effect.Move{Shard: shard})
	}
	if len(moves) == 0 {
		return nil
	}
	r.moving = true
	return []effect.Effect{effect.MoveShards{Assignment: next, Moves: moves}}
}

func (r *Registrar) moveDone(now time.Time, _ message.MoveDone) []effect.Effect {
	r.moving = false
	r.readAt = now
	return r.startRead(now)
}
