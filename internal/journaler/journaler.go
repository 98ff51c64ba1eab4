package journaler

import (
	"context"
	"fmt"
	"strconv"

	"github.com/juju/errors"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/cluster"
	"github.com/sassafrasspur/sassafrasspur/internal/effect"
	"github.com/sassafrasspur/sassafrasspur/internal/encoder"
	"github.com/sassafrasspur/sassafrasspur/internal/message"
	"github.com/sassafrasspur/sassafrasspur/internal/table"
	"github.com/sassafrasspur/sassafrasspur/internal/timer"
)

// Table is the platform's table.
type Table interface {
	Get(ctx context.Context, kind, key string) (table.Row, bool, error)
	List(ctx context.Context, kind string) ([]table.Row, error)
	// Commit writes all rows or none. A verdict of committed or conflict is
	// certain.
	Commit(ctx context.Context, writes []table.Write) message.Verdict
}

// Objects is the platform's object store.
type Objects interface {
	Put(ctx context.Context, key string, content []byte) error
	Get(ctx context.Context, key string) ([]byte, bool, error)
}

// Journaler reads and writes rows, segments and checkpoints.
type Journaler struct {
	table   Table
	objects Objects
	timers  *timer.Service
}

// New returns a journaler on the platform's two services.
func New(t Table, o Objects, timers *timer.Service) *Journaler {
	return &Journaler{table: t, objects: o, timers: timers}
}

// Commit writes the segment and the checkpoints, then the rows.
func (j *Journaler) Commit(ctx context.Context, e effect.Commit) message.CommitDone {
	done := message.CommitDone{WriteID: e.Node.WriteID, Verdict: message.Uncertain, SentAt: j.timers.Now()}
	writes, err := j.prepare(ctx, e)
	if err == nil {
		done.Verdict = j.table.Commit(ctx, writes)
	}
	done.AnsweredAt = j.timers.Now()
	return done
}

func (j *Journaler) prepare(ctx context.Context, e effect.Commit) ([]table.Write, error) {
	if len(e.Entries) > 0 {
		content, err := encoder.Segment(e.Entries)
		if err != nil {
			return nil, errors.Trace(err)
		}
		if err := j.objects.Put(ctx, segmentKey(e.Node.VM, e.Node.Incarnation, e.Node.Head), content); err != nil {
			return nil, errors.Annotate(err, "segment")
		}
	}
	node, err := nodeWrite(e.Node)
	if err != nil {
		return nil, errors.Trace(err)
	}
	writes := []table.Write{node}
	for _, c := range e.Checkpoints {
		write, err := j.checkpoint(ctx, c, e.Node.WriteID)
		if err != nil {
			return nil, errors.Trace(err)
		}
		writes = append(writes, write)
	}
	return writes, nil
}

// checkpoint writes a shard's state, unless the row names one that is still
// right, and returns the write of its row.
func (j *Journaler) checkpoint(ctx context.Context, c message.Checkpoint, id ident.WriteID) (table.Write, error) {
	if c.Programs != nil {
		content, err := encoder.Checkpoint(c.Programs)
		if err != nil {
			return table.Write{}, errors.Trace(err)
		}
		if err := j.objects.Put(ctx, c.Row.Checkpoint, content); err != nil {
			return table.Write{}, errors.Annotate(err, "checkpoint")
		}
	}
	return shardWrite(c.Row, id)
}

// ReadCluster reads the node rows and the assignment.
func (j *Journaler) ReadCluster(ctx context.Context) message.Message {
	read := message.ClusterRead{StartedAt: j.timers.Now()}
	rows, err := j.table.List(ctx, table.NodeKind)
	if err != nil {
		return message.ClusterReadFailed{}
	}
	for _, row := range rows {
		node, err := encoder.ReadNode(row)
		if err != nil {
			return message.ClusterReadFailed{}
		}
		read.Nodes = append(read.Nodes, node)
	}
	row, ok, err := j.table.Get(ctx, table.AssignmentKind, table.CurrentKey)
	if err != nil || !ok {
		return message.ClusterReadFailed{}
	}
	if read.Assignment, err = encoder.ReadAssignment(row); err != nil {
		return message.ClusterReadFailed{}
	}
	return read
}

func segmentKey(vm ident.VMID, incarnation ident.Incarnation, sequence ident.Sequence) string {
	return fmt.Sprintf("journal/%s/%d/%d", vm, incarnation, sequence)
}

func shardKey(shard ident.Shard) string { return strconv.Itoa(int(shard)) }

func nodeWrite(node cluster.Node) (table.Write, error) {
	body, err := encoder.Node(node)
	return table.Write{Kind: table.NodeKind, Key: string(node.VM), Expect: node.Version, WriteID: node.WriteID, Body: body}, errors.Trace(err)
}

func shardWrite(row cluster.ShardRow, id ident.WriteID) (table.Write, error) {
	row.WriteID = id
	body, err := encoder.ShardRow(row)
	return table.Write{Kind: table.ShardKind, Key: shardKey(row.Shard), Expect: row.Version, WriteID: id, Body: body}, errors.Trace(err)
}

func assignmentWrite(a cluster.Assignment) (table.Write, error) {
	body, err := encoder.Assignment(a)
	return table.Write{Kind: table.AssignmentKind, Key: table.CurrentKey, Expect: a.Version, WriteID: a.WriteID, Body: body}, errors.Trace(err)
}
