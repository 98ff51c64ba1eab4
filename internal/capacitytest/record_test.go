package capacitytest

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/cluster"
	"github.com/sassafrasspur/sassafrasspur/internal/effect"
	"github.com/sassafrasspur/sassafrasspur/internal/encoder"
	"github.com/sassafrasspur/sassafrasspur/internal/journaler"
	"github.com/sassafrasspur/sassafrasspur/internal/message"
	"github.com/sassafrasspur/sassafrasspur/internal/program"
	"github.com/sassafrasspur/sassafrasspur/internal/record"
	"github.com/sassafrasspur/sassafrasspur/internal/timer"
)

// encoded measures what a value is in bytes and how long its encoding takes.
func encoded(b *testing.B, name string, encode func() ([]byte, error)) {
	b.Run(name, func(b *testing.B) {
		var length int
		for range b.N {
			content, err := encode()
			if err != nil {
				b.Fatal(err)
			}
			length = len(content)
		}
		b.ReportMetric(float64(length), "bytes")
	})
}

// BenchmarkRecord measures a segment with the records of one call.
func BenchmarkRecord(b *testing.B) {
	for _, tokens := range []int{0, 150, 1500, 15000} {
		done := completion("program-00000001", 260, tokens)
		entries := []message.Entry{{Shard: 3519, Epoch: 12, Record: done}}
		encoded(b, fmt.Sprintf("call=repeatable/tokens=%d", tokens), func() ([]byte, error) { return encoder.Segment(entries) })
		intent := record.Intended{Program: done.Program, Request: done.Request, BodyHash: done.BodyHash, Attempt: 1, Upstream: done.Upstream, Epoch: 12}
		both := append(entries, message.Entry{Shard: 3519, Epoch: 12, Record: intent})
		encoded(b, fmt.Sprintf("call=once/tokens=%d", tokens), func() ([]byte, error) { return encoder.Segment(both) })
	}
}

// BenchmarkRow measures the bodies of the table's rows.
func BenchmarkRow(b *testing.B) {
	node := clusterNode(439)
	node.Head, node.Incarnation = 10000000, 400
	encoded(b, "kind=node", func() ([]byte, error) { return encoder.Node(node) })
	for _, s := range []size{{shards: 48, nodes: 12}, {shards: 384, nodes: 48}, {shards: 3520, nodes: 440}} {
		a := assignment(s.shards, s.nodes)
		encoded(b, fmt.Sprintf("kind=assignment/shards=%d", s.shards), func() ([]byte, error) { return encoder.Assignment(a) })
	}
	for _, upstreams := range []int{20, 200, 800, 2600} {
		c := configured(upstreams, 0)
		encoded(b, fmt.Sprintf("kind=configuration/upstreams=%d/teams=1", upstreams), func() ([]byte, error) { return json.Marshal(c) })
	}
	for _, teams := range []int{100, 1000, 10000} {
		c := configured(20, teams)
		encoded(b, fmt.Sprintf("kind=configuration/upstreams=20/teams=%d", teams), func() ([]byte, error) { return json.Marshal(c) })
	}
}

// shardOf makes a shard's programs; the texts are shared.
func shardOf(programs, turns int) program.Set {
	set := program.Set{}
	for i := range programs {
		id := ident.ProgramID(fmt.Sprintf("program-%08d", i))
		set[id] = history(id, turns, turnTokens, false)
	}
	return set
}

// BenchmarkCheckpoint measures the copy that the control goroutine makes of a
// shard, and the encoding and size of the object that is written from it.
func BenchmarkCheckpoint(b *testing.B) {
	for _, s := range []size{
		{programs: 25, turns: 26}, {programs: 100, turns: 26}, {programs: 400, turns: 26},
		{programs: 100, turns: 65}, {programs: 100, turns: 130}, {programs: 100, turns: 260},
	} {
		set := shardOf(s.programs, s.turns)
		name := fmt.Sprintf("programs=%d/turns=%d", s.programs, s.turns)
		b.Run("step=copy/"+name, func(b *testing.B) {
			for range b.N {
				set.Clone()
			}
		})
		encoded(b, "step=encode/"+name, func() ([]byte, error) { return encoder.Checkpoint(set) })
	}
}

// BenchmarkRecovery measures the load of one shard at a takeover, without the
// time of the platform. A segment has ten calls of as many shards.
func BenchmarkRecovery(b *testing.B) {
	for _, s := range []struct{ programs, segments int }{
		{25, 0}, {100, 0}, {400, 0}, {100, 20}, {100, 100}, {100, 300},
	} {
		b.Run(fmt.Sprintf("programs=%d/turns=26/segments=%d", s.programs, s.segments), func(b *testing.B) {
			j, err := stored(s.programs, s.segments)
			if err != nil {
				b.Fatal(err)
			}
			b.ResetTimer()
			for range b.N {
				loaded := j.Load(context.Background(), effect.LoadShard{Shard: 0, Epoch: 2})
				if loaded.Err != nil || len(loaded.Programs) != s.programs {
					b.Fatalf("%d programs were loaded: %v", len(loaded.Programs), loaded.Err)
				}
			}
		})
	}
}

// stored writes a shard whose owner died after a number of segments.
func stored(programs, segments int) (*journaler.Journaler, error) {
	const checkpoint = "checkpoint/0/1-1"
	objects, table := objectStore{}, rows{}
	content, err := encoder.Checkpoint(shardOf(programs, 26))
	if err != nil {
		return nil, err
	}
	objects[checkpoint] = content
	for sequence := 1; sequence <= segments; sequence++ {
		var entries []message.Entry
		for i := range group {
			id := ident.ProgramID(fmt.Sprintf("program-%08d", sequence%programs))
			entries = append(entries, message.Entry{Shard: ident.Shard(i), Epoch: 1, Record: completion(id, 27, turnTokens)})
		}
		if content, err = encoder.Segment(entries); err != nil {
			return nil, err
		}
		objects[fmt.Sprintf("journal/vm-1/1/%d", sequence)] = content
	}
	row := cluster.ShardRow{Checkpoint: checkpoint, Epoch: 1}
	if segments > 0 {
		row.Spans = []cluster.Span{{VM: "vm-1", Incarnation: 1, Epoch: 1, To: ident.Sequence(segments)}}
	}
	body, err := encoder.ShardRow(row)
	if err != nil {
		return nil, err
	}
	t := table["shard/0"]
	t.Kind, t.Key, t.Version, t.Body = "shard", "0", 1, body
	table["shard/0"] = t
	return journaler.New(table, objects, timer.New()), nil
}
