package capacitytest

import (
	"context"
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/committer"
	"github.com/sassafrasspur/sassafrasspur/internal/configuration"
	"github.com/sassafrasspur/sassafrasspur/internal/message"
	"github.com/sassafrasspur/sassafrasspur/internal/outcome"
	"github.com/sassafrasspur/sassafrasspur/internal/placer"
	"github.com/sassafrasspur/sassafrasspur/internal/record"
	"github.com/sassafrasspur/sassafrasspur/internal/sequencer"
	"github.com/sassafrasspur/sassafrasspur/internal/standin/rowstore"
	"github.com/sassafrasspur/sassafrasspur/internal/timer"
	"github.com/sassafrasspur/sassafrasspur/internal/upstream"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

const (
	// turnTokens and bytesPerToken are those of the longest program, whose 390,000
	// tokens are 260 turns.
	turnTokens    = 1500
	bytesPerToken = 4
)

// newCommitter returns the committer of a VM on an in-memory store.
func newCommitter(store *rowstore.Rowstore) *committer.Committer {
	holder := record.Holder{VM: "vm", Process: "1"}
	return committer.New(context.Background(), store, timer.New(), sequencer.New(holder, func(record.Holder) bool { return true }))
}

// mustDo executes a request and fails the benchmark if it is refused.
func mustDo(b *testing.B, k *committer.Committer, r sequencer.Request) outcome.Outcome {
	o, err := k.Do(context.Background(), r)
	if err != nil {
		b.Fatal(err)
	}
	return o
}

// runCall records the start and the completion of one engine turn of a program.
func runCall(b *testing.B, k *committer.Committer, id ident.ProgramID, position int) {
	name := ident.CallID(fmt.Sprintf("%s-%d", id, position))
	text := strings.Repeat("x", turnTokens*bytesPerToken/2)
	mustDo(b, k, sequencer.Submit{
		Program: id, Team: "team", Repeatable: true, Engine: true, FirstSubmission: true,
		Request: record.Request{Call: name, Position: ident.Position(position), Pool: "model", Body: text, MaxTokens: turnTokens},
	})
	mustDo(b, k, sequencer.Complete{
		AttemptID: record.AttemptID{Program: id, Call: name, Attempt: 1}, Upstream: "e", Resident: true,
		Answer: record.Answer{Body: text, Usage: record.Usage{
			Calls: 1, PromptTokens: unit.Tokens(turnTokens * position), OutputTokens: turnTokens / 2,
		}},
	})
}

func createProgram(b *testing.B, k *committer.Committer, id ident.ProgramID, turns int) {
	mustDo(b, k, sequencer.Open{Program: id, Team: "team", Budget: record.Budget{Calls: 1 << 40, Tokens: 1 << 50}})
	for position := range turns {
		runCall(b, k, id, position+1)
	}
}

// BenchmarkCall measures recording one call, depending on the number of turns
// before it.
func BenchmarkCall(b *testing.B) {
	for _, turns := range []int{0, 26, 130, 260} {
		b.Run(fmt.Sprintf("turns=%d", turns), func(b *testing.B) {
			store := rowstore.New()
			k := newCommitter(store)
			for i := range b.N {
				createProgram(b, k, ident.ProgramID(fmt.Sprint("p", i)), turns)
			}
			before, _ := store.Calls()
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				runCall(b, k, ident.ProgramID(fmt.Sprint("p", i)), turns+1)
			}
			after, _ := store.Calls()
			b.ReportMetric(float64(after-before)/float64(b.N), "transactions")
		})
	}
}

// BenchmarkRead measures the first read of a program by another VM, depending on
// its number of turns.
func BenchmarkRead(b *testing.B) {
	for _, turns := range []int{1, 26, 130, 260} {
		b.Run(fmt.Sprintf("turns=%d", turns), func(b *testing.B) {
			store := rowstore.New()
			createProgram(b, newCommitter(store), "p", turns)
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				mustDo(b, newCommitter(store), sequencer.Show{Program: "p"})
			}
		})
	}
}

// BenchmarkMemory measures the heap that a VM uses for each program, depending on
// its number of turns.
func BenchmarkMemory(b *testing.B) {
	for _, turns := range []int{1, 26, 260} {
		b.Run(fmt.Sprintf("turns=%d", turns), func(b *testing.B) {
			for range b.N {
				store := rowstore.New()
				writer := newCommitter(store)
				const programs = 20
				for i := range programs {
					createProgram(b, writer, ident.ProgramID(fmt.Sprint("p", i)), turns)
				}
				k := newCommitter(store)
				before := heapBytes()
				for i := range programs {
					mustDo(b, k, sequencer.Show{Program: ident.ProgramID(fmt.Sprint("p", i))})
				}
				b.ReportMetric(float64(heapBytes()-before)/programs, "bytes/program")
				runtime.KeepAlive(k)
				runtime.KeepAlive(writer)
			}
		})
	}
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// BenchmarkMessage measures the handling of those control messages whose cost grows
// with the number of upstreams.
func BenchmarkMessage(b *testing.B) {
	for _, upstreams := range []int{20, 200, 800, 2600} {
		c := &configuration.Configuration{Version: 1, Pools: []configuration.Pool{{ID: "model", Kind: configuration.EnginePool}}}
		list := message.UpstreamsRead{}
		for i := range upstreams {
			u := configuration.Upstream{ID: ident.UpstreamID(fmt.Sprint("e", i)), Pool: "model", Team: "team", Address: fmt.Sprint("e:", i), Slots: 8}
			c.Upstreams = append(c.Upstreams, u)
			list.Upstreams = append(list.Upstreams, upstream.Upstream{Address: u.Address})
		}
		now := time.Unix(1e9, 0)
		p := placer.New()
		p.Handle(now, message.ConfigurationRead{Configuration: c})
		for kind, build := range map[string]func(int) message.Message{
			"tick": func(int) message.Message { return message.Tick{} },
			"load_report": func(i int) message.Message {
				return message.UpstreamReported{Upstream: c.Upstreams[i%upstreams].ID, StartedAt: now}
			},
			"list": func(int) message.Message { list.AsOf = now; return list },
		} {
			b.Run(fmt.Sprintf("kind=%s/upstreams=%d", kind, upstreams), func(b *testing.B) {
				for i := range b.N {
					now = now.Add(time.Second)
					p.Handle(now, build(i))
				}
			})
		}
	}
}
