package encoder_test

import (
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/encoder"
	"github.com/sassafrasspur/sassafrasspur/internal/message"
	"github.com/sassafrasspur/sassafrasspur/internal/program"
	"github.com/sassafrasspur/sassafrasspur/internal/record"
	"github.com/sassafrasspur/sassafrasspur/internal/table"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

// Guards against records that are read back otherwise than they were written,
// for any content of their fields.
func TestSegmentRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries := rapid.SliceOfN(rapid.Custom(drawEntry), 0, 8).Draw(t, "entries")
		if entries == nil {
			entries = []message.Entry{}
		}
		encoded, err := encoder.Segment(entries)
		if err != nil {
			t.Fatal(err)
		}
		decoded, err := encoder.ReadSegment(encoded)
		if err != nil {
			t.Fatalf("%v in %s", err, encoded)
		}
		if !reflect.DeepEqual(decoded, entries) {
			t.Fatalf("got %+v, want %+v", decoded, entries)
		}
	})
}

// Guards against a checkpoint that differs from the state that it was made of.
func TestCheckpointRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set := program.Set{}
		for _, e := range rapid.SliceOfN(rapid.Custom(drawEntry), 0, 30).Draw(t, "entries") {
			set.Apply(e.Record)
		}
		encoded, err := encoder.Checkpoint(set)
		if err != nil {
			t.Fatal(err)
		}
		decoded, err := encoder.ReadCheckpoint(encoded)
		if err != nil {
			t.Fatalf("%v in %s", err, encoded)
		}
		if !reflect.DeepEqual(decoded, set) {
			t.Fatalf("got %+v, want %+v", decoded, set)
		}
	})
}

// Guards against stored bytes that crash the process that reads them. What is
// accepted must be usable: it is encoded again and applied.
func FuzzRead(f *testing.F) {
	segment, err := encoder.Segment(entries)
	if err != nil {
		f.Fatal(err)
	}
	checkpoint, err := encoder.Checkpoint(programs())
	if err != nil {
		f.Fatal(err)
	}
	for _, seed := range [][]byte{segment, checkpoint, []byte("null"), []byte(`{"entries":[null]}`), []byte(`{"programs":{"":null}}`)} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		set, err := encoder.ReadCheckpoint(data)
		if err != nil {
			set = program.Set{}
		}
		if entries, err := encoder.ReadSegment(data); err == nil {
			for _, e := range entries {
				set.Apply(e.Record)
			}
			if _, err := encoder.Segment(entries); err != nil {
				t.Fatal(err)
			}
		}
		set.Recover(false)
		if _, err := encoder.Checkpoint(set); err != nil {
			t.Fatal(err)
		}
		r := table.Row{Body: data}
		_, _ = encoder.ReadNode(r)
		_, _ = encoder.ReadAssignment(r)
		_, _ = encoder.ReadShardRow(r)
	})
}

func drawEntry(t *rapid.T) message.Entry {
	return message.Entry{
		Shard:  ident.Shard(rapid.IntRange(0, 50).Draw(t, "shard")),
		Epoch:  ident.Epoch(rapid.Uint64().Draw(t, "epoch")),
		Record: drawRecord(t),
	}
}

func drawRecord(t *rapid.T) record.Record {
	p := ident.ProgramID(rapid.SampledFrom([]string{"p", "p.1", "q"}).Draw(t, "program"))
	call := ident.CallID(rapid.SampledFrom([]string{"c", "d"}).Draw(t, "call"))
	text := rapid.String().Draw(t, "text")
	upstream := ident.UpstreamID(text)
	answer := record.Answer{Body: text, Failed: rapid.Bool().Draw(t, "failed"), Usage: record.Usage{
		Calls: 1, PromptTokens: unit.Tokens(rapid.Int64().Draw(t, "prompt")), OutputTokens: 2,
	}}
	asked := record.Request{Call: call, Position: 1, Pool: ident.PoolID(text), Body: text, MaxTokens: 3}
	hash := rapid.Uint64().Draw(t, "hash")
	allowance := record.Allowance{Calls: unit.Calls(rapid.Int64().Draw(t, "calls")), Tokens: 4}
	variants := []record.Record{
		record.Opened{Program: p, Team: ident.TeamID(text), Allowance: allowance, Budget: record.Budget{
			Expires: time.Unix(rapid.Int64Range(0, 1<<37).Draw(t, "expires"), 5).UTC(),
		}},
		record.Extended{Program: p, Allowance: allowance},
		record.Intended{Program: p, Request: asked, BodyHash: hash, Attempt: 1, Upstream: upstream, Epoch: 5},
		record.Cancelled{Program: p, Call: call, Attempt: 1},
		record.Completed{Program: p, Request: asked, BodyHash: hash, Upstream: upstream, Answer: answer, Resident: true, Allowance: allowance},
		record.Resolved{Program: p, Call: call, Ran: answer.Failed, Answer: answer, By: text},
		record.Ended{Program: p, Reason: text},
		record.Released{Program: p, Upstream: upstream},
	}
	return rapid.SampledFrom(variants).Draw(t, "record")
}
