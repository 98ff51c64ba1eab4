package encoder_test

import (
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/encoder"
	"github.com/sassafrasspur/sassafrasspur/internal/program"
	"github.com/sassafrasspur/sassafrasspur/internal/record"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

// Guards against field values that change when a record is encoded and decoded.
func TestRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := rapid.SliceOfN(rapid.Custom(drawRecord), 1, 8).Draw(t, "records")
		encoded, err := encoder.EncodeRecords(records)
		if err != nil {
			t.Fatal(err)
		}
		decoded, err := encoder.DecodeRecords(encoded)
		if err != nil {
			t.Fatalf("%v in %s", err, encoded)
		}
		if !reflect.DeepEqual(decoded, records) {
			t.Fatalf("got %+v, want %+v", decoded, records)
		}
	})
}

// Guards against stored data that crashes the process that decodes it. Data that
// is accepted must also be applicable to a tree and encodable again.
func FuzzRead(f *testing.F) {
	seed, err := encoder.EncodeRecords(sampleRecords)
	if err != nil {
		f.Fatal(err)
	}
	for _, seed := range [][]byte{seed, []byte("null"), []byte(`[null]`), []byte(`[{"type":"opened","record":{"program":""}}]`)} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		read, err := encoder.DecodeRecords(data)
		if err != nil {
			return
		}
		tree := program.Tree{}
		for _, r := range read {
			tree.Apply(r)
		}
		tree.Reserved()
		if _, err := encoder.EncodeRecords(read); err != nil {
			t.Fatal(err)
		}
	})
}

func drawRecord(t *rapid.T) record.Record {
	p := ident.ProgramID(rapid.SampledFrom([]string{"p", "p.1", "q"}).Draw(t, "program"))
	call := ident.CallID(rapid.SampledFrom([]string{"c", "d"}).Draw(t, "call"))
	text := rapid.String().Draw(t, "text")
	upstream := ident.UpstreamID(text)
	answer := record.Answer{Body: text, Failed: rapid.Bool().Draw(t, "failed"), Usage: record.Usage{
		Calls: 1, PromptTokens: unit.Tokens(rapid.Int64().Draw(t, "prompt")), OutputTokens: 2,
	}}
	request := record.Request{Call: call, Position: 1, Pool: ident.PoolID(text), Body: text, MaxTokens: 3}
	need := record.Amount{Calls: unit.Calls(rapid.Int64().Draw(t, "calls")), Tokens: 4}
	variants := []record.Record{
		record.Opened{Program: p, Team: ident.TeamID(text), Budget: record.Budget{
			Expires: time.Unix(rapid.Int64Range(0, 1<<37).Draw(t, "expires"), 5).UTC(),
		}},
		record.Started{
			Program: p, Request: request, BodyHash: rapid.Uint64().Draw(t, "hash"), Attempt: 1, Need: need, Repeatable: answer.Failed,
			Holder: record.Holder{VM: "vm", Process: ident.ProcessID(text)},
		},
		record.Intended{Program: p, Call: call, Attempt: 1, Upstream: upstream},
		record.Cancelled{Program: p, Call: call, Attempt: 1},
		record.Failed{Program: p, Call: call, Attempt: 1, Dispatched: answer.Failed, Usage: answer.Usage, Upstream: upstream},
		record.Doubted{Program: p, Call: call, Attempt: 1},
		record.Completed{Program: p, Call: call, Attempt: 1, Upstream: upstream, Answer: answer, Resident: true},
		record.Resolved{Program: p, Call: call, Ran: answer.Failed, Answer: answer, By: text},
		record.Ended{Program: p, Reason: text},
		record.Released{Program: p, Upstream: upstream},
	}
	return rapid.SampledFrom(variants).Draw(t, "record")
}
