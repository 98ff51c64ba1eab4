package journaler

import (
	"context"

	"github.com/juju/errors"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/cluster"
	"github.com/sassafrasspur/sassafrasspur/internal/effect"
	"github.com/sassafrasspur/sassafrasspur/internal/encoder"
	"github.com/sassafrasspur/sassafrasspur/internal/message"
	"github.com/sassafrasspur/sassafrasspur/internal/table"
)

// Join writes the node's row for a new incarnation. The shards of the VM's
// earlier incarnation move along in the same transaction, which also ends that
// incarnation's commits.
func (j *Journaler) Join(ctx context.Context, e effect.Join) message.JoinDone {
	done := message.JoinDone{Verdict: message.Uncertain, SentAt: j.timers.Now()}
	old, err := j.node(ctx, e.Node.VM)
	if err != nil {
		return done
	}
	node := e.Node
	node.Incarnation = old.Incarnation + 1
	node.Head = 0
	node.Version = old.Version
	node.WriteID = e.WriteID
	assignment, moves, err := j.inherit(ctx, e, old, node.Incarnation)
	if err != nil {
		return done
	}
	writes, err := j.joinWrites(ctx, node, assignment, moves)
	if err != nil {
		return done
	}
	done.Verdict = j.table.Commit(ctx, writes)
	node.Version++
	if len(writes) > 1 {
		assignment.Version++
	}
	done.Node, done.Assignment = node, assignment
	return done
}

func (j *Journaler) node(ctx context.Context, vm ident.VMID) (cluster.Node, error) {
	row, ok, err := j.table.Get(ctx, table.NodeKind, string(vm))
	if err != nil || !ok {
		return cluster.Node{}, errors.Trace(err)
	}
	node, err := encoder.ReadNode(row)
	return node, errors.Trace(err)
}

// inherit returns the assignment in which the shards of the VM's earlier
// incarnations are those of the new one. The first node of a deployment gets
// all shards.
func (j *Journaler) inherit(ctx context.Context, e effect.Join, old cluster.Node, incarnation ident.Incarnation) (cluster.Assignment, []effect.Move, error) {
	row, ok, err := j.table.Get(ctx, table.AssignmentKind, table.CurrentKey)
	if err != nil {
		return cluster.Assignment{}, nil, errors.Trace(err)
	}
	if !ok {
		return firstAssignment(e, incarnation), nil, nil
	}
	a, err := encoder.ReadAssignment(row)
	if err != nil {
		return cluster.Assignment{}, nil, errors.Trace(err)
	}
	if len(a.Owners) != e.Shards {
		return cluster.Assignment{}, nil, errors.NotValidf("setting of %d shards for a deployment with %d", e.Shards, len(a.Owners))
	}
	var moves []effect.Move
	for shard, owner := range a.Owners {
		if owner.VM != e.Node.VM {
			continue
		}
		move := effect.Move{Shard: ident.Shard(shard)}
		if owner.Incarnation == old.Incarnation {
			move.Span = &cluster.Span{
				VM: owner.VM, Incarnation: owner.Incarnation, Epoch: owner.Epoch, From: owner.Since, To: old.Head,
			}
		}
		moves = append(moves, move)
		a.Owners[shard] = cluster.Owner{VM: owner.VM, Incarnation: incarnation, Epoch: owner.Epoch + 1}
	}
	a.WriteID = e.WriteID
	return a, moves, nil
}

func firstAssignment(e effect.Join, incarnation ident.Incarnation) cluster.Assignment {
	a := cluster.Assignment{Owners: make([]cluster.Owner, e.Shards), WriteID: e.WriteID}
	for shard := range a.Owners {
		a.Owners[shard] = cluster.Owner{VM: e.Node.VM, Incarnation: incarnation, Epoch: 1}
	}
	return a
}

func (j *Journaler) joinWrites(ctx context.Context, node cluster.Node, a cluster.Assignment, moves []effect.Move) ([]table.Write, error) {
	write, err := nodeWrite(node)
	if err != nil {
		return nil, errors.Trace(err)
	}
	writes := []table.Write{write}
	if len(moves) == 0 && a.Version > 0 {
		return writes, nil
	}
	write, err = assignmentWrite(a)
	if err != nil {
		return nil, errors.Trace(err)
	}
	writes = append(writes, write)
	shards, err := j.shardWrites(ctx, moves, a.WriteID)
	return append(writes, shards...), errors.Trace(err)
}

// Move changes owners in one transaction.
func (j *Journaler) Move(ctx context.Context, e effect.MoveShards) message.MoveDone {
	done := message.MoveDone{Verdict: message.Uncertain, Shards: len(e.Moves)}
	if e.Close != nil {
		done.Closed = e.Close.VM
	}
	writes, err := j.moveWrites(ctx, e)
	if err == nil {
		done.Verdict = j.table.Commit(ctx, writes)
	}
	return done
}

func (j *Journaler) moveWrites(ctx context.Context, e effect.MoveShards) ([]table.Write, error) {
	write, err := assignmentWrite(e.Assignment)
	if err != nil {
		return nil, errors.Trace(err)
	}
	writes := []table.Write{write}
	if e.Close != nil {
		write, err = nodeWrite(*e.Close)
		if err != nil {
			return nil, errors.Trace(err)
		}
		writes = append(writes, write)
	}
	shards, err := j.shardWrites(ctx, e.Moves, e.Assignment.WriteID)
	return append(writes, shards...), errors.Trace(err)
}

// shardWrites appends the spans of moves to the rows of their shards. A span
// starts after what the shard's checkpoint covers.
func (j *Journaler) shardWrites(ctx context.Context, moves []effect.Move, id ident.WriteID) ([]table.Write, error) {
	var writes []table.Write
	for _, move := range moves {
		if move.Span == nil {
			continue
		}
		row, err := j.shardRow(ctx, move.Shard)
		if err != nil {
			return nil, errors.Trace(err)
		}
		span := *move.Span
		if row.Epoch == span.Epoch {
			span.From = max(span.From, row.Covered)
		}
		row.Spans = append(row.Spans, span)
		write, err := shardWrite(row, id)
		if err != nil {
			return nil, errors.Trace(err)
		}
		writes = append(writes, write)
	}
	return writes, nil
}

func (j *Journaler) shardRow(ctx context.Context, shard ident.Shard) (cluster.ShardRow, error) {
	row, ok, err := j.table.Get(ctx, table.ShardKind, shardKey(shard))
	if err != nil {
		return cluster.ShardRow{}, errors.Trace(err)
	}
	if !ok {
		return cluster.ShardRow{Shard: shard}, nil
	}
	decoded, err := encoder.ReadShardRow(row)
	return decoded, errors.Trace(err)
}
