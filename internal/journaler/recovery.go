package journaler

import (
	"context"

	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/cluster"
	"github.com/sassafrasspur/sassafrasspur/internal/effect"
	"github.com/sassafrasspur/sassafrasspur/internal/encoder"
	"github.com/sassafrasspur/sassafrasspur/internal/message"
	"github.com/sassafrasspur/sassafrasspur/internal/program"
)

// readersPerShard bounds the segments of a shard that are read side by side, so
// that a recovery does not use up the platform's rate of reads.
const readersPerShard = 8

// Load recovers the state of a shard from its checkpoint and the spans of the
// journals after it.
func (j *Journaler) Load(ctx context.Context, e effect.LoadShard) message.ShardLoaded {
	loaded := message.ShardLoaded{Shard: e.Shard, Epoch: e.Epoch}
	loaded.Row, loaded.Programs, loaded.Err = j.recover(ctx, e.Shard)
	return loaded
}

func (j *Journaler) recover(ctx context.Context, shard ident.Shard) (cluster.ShardRow, program.Set, error) {
	row, err := j.shardRow(ctx, shard)
	if err != nil {
		return row, nil, errors.Trace(err)
	}
	programs := program.Set{}
	if row.Checkpoint != "" {
		content, err := j.object(ctx, row.Checkpoint)
		if err != nil {
			return row, nil, errors.Trace(err)
		}
		if programs, err = encoder.ReadCheckpoint(content); err != nil {
			return row, nil, errors.Annotatef(err, "checkpoint %s", row.Checkpoint)
		}
	}
	for _, span := range row.Spans {
		segments, err := j.segments(ctx, span)
		if err != nil {
			return row, nil, errors.Trace(err)
		}
		replay(programs, shard, span.Epoch, segments)
	}
	return row, programs, nil
}

func (j *Journaler) segments(ctx context.Context, span cluster.Span) ([][]message.Entry, error) {
	segments := make([][]message.Entry, span.To-span.From)
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(readersPerShard)
	for i := range segments {
		group.Go(func() error {
			key := segmentKey(span.VM, span.Incarnation, span.From+ident.Sequence(i)+1)
			content, err := j.object(ctx, key)
			if err != nil {
				return errors.Trace(err)
			}
			segments[i], err = encoder.ReadSegment(content)
			return errors.Annotatef(err, "segment %s", key)
		})
	}
	return segments, errors.Trace(group.Wait())
}

func (j *Journaler) object(ctx context.Context, key string) ([]byte, error) {
	content, ok, err := j.objects.Get(ctx, key)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if !ok {
		return nil, errors.NotFoundf("object %s", key)
	}
	return content, nil
}

func replay(programs program.Set, shard ident.Shard, epoch ident.Epoch, segments [][]message.Entry) {
	for _, entries := range segments {
		for _, entry := range entries {
			if entry.Shard == shard && entry.Epoch == epoch {
				programs.Apply(entry.Record)
			}
		}
	}
}
