package capacitytest

import (
	"fmt"
	"testing"
	"time"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/message"
	"github.com/sassafrasspur/sassafrasspur/internal/outcome"
	"github.com/sassafrasspur/sassafrasspur/internal/record"
)

// group is the number of calls of one commit: 100 calls/s at 10 commits/s.
const group = 10

// base is one of 12 entry VMs.
var base = size{programs: 1000, turns: 26, upstreams: 20, nodes: 12, shards: 48}

func (s size) with(change func(*size)) size {
	change(&s)
	return s
}

// BenchmarkCall measures all messages of one call through all controllers, and
// its share of a commit of ten calls.
func BenchmarkCall(b *testing.B) {
	sizes := []size{
		base,
		base.with(func(s *size) { s.turns = 130 }),
		base.with(func(s *size) { s.turns = 260 }),
		base.with(func(s *size) { s.programs = 4000 }),
		base.with(func(s *size) { s.programs = 16000 }),
		base.with(func(s *size) { s.upstreams = 200 }),
		base.with(func(s *size) { s.upstreams = 2600 }),
		{programs: 820, turns: 26, upstreams: 2600, nodes: 440, shards: 3520},
	}
	for _, s := range sizes {
		b.Run(s.String(), func(b *testing.B) {
			n := newNode(s)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				n.call(b, i%s.programs)
				if i%group == group-1 {
					n.settle()
				}
			}
		})
	}
}

// call runs the next call of a program up to its record.
func (n *node) call(b *testing.B, index int) {
	id := n.programs[index]
	n.positions[index]++
	call := callID(id, int(n.positions[index]))
	body := text(turnTokens / 3 * bytesPerToken)
	n.lastTicket++
	n.handle(message.CallArrived{
		Ticket: n.lastTicket, Program: id, Team: team, Repeatable: true, Engine: true, First: true,
		Request: record.Request{Call: call, Position: n.positions[index], Pool: poolID(0), Body: body, MaxTokens: turnTokens},
	})
	run, ok := n.answers[n.lastTicket].(outcome.Run)
	if !ok {
		b.Fatalf("call %s was answered with %+v", call, n.answers[n.lastTicket])
	}
	n.lastTicket++
	n.handle(message.GrantRequested{
		Ticket: n.lastTicket, Program: id, Team: team, Class: run.Class, Pool: poolID(0), Prompt: run.HistoryTokens,
		Output: turnTokens, Served: run.Served, Residents: run.Residents, Repeatable: true, Enqueued: n.now,
	})
	granted, ok := n.answers[n.lastTicket].(outcome.Granted)
	if !ok {
		b.Fatalf("call %s got %+v for a grant", call, n.answers[n.lastTicket])
	}
	usage := record.Usage{Calls: 1, PromptTokens: run.HistoryTokens, CachedTokens: run.HistoryTokens, OutputTokens: turnTokens}
	n.lastTicket++
	n.handle(message.CallCompleted{
		Ticket: n.lastTicket, Upstream: granted.Upstream.ID, Resident: true,
		AttemptID: message.AttemptID{Program: id, Call: call, Epoch: run.Epoch, Attempt: run.Attempt},
		Answer:    record.Answer{Body: body, Usage: usage},
	})
	n.handle(message.GrantReturned{
		Grant: granted.Grant, Upstream: granted.Upstream.ID, Duration: time.Second, FirstByte: 100 * time.Millisecond, Usage: usage,
	})
	clear(n.answers)
}

// BenchmarkMessage measures the messages that a node handles without calls.
func BenchmarkMessage(b *testing.B) {
	sizes := []size{
		base,
		base.with(func(s *size) { s.programs = 10000 }),
		base.with(func(s *size) { s.programs = 30000 }),
		base.with(func(s *size) { s.upstreams = 200 }),
		base.with(func(s *size) { s.upstreams = 800 }),
		base.with(func(s *size) { s.upstreams = 2600 }),
		base.with(func(s *size) { s.nodes, s.shards = 48, 384 }),
		base.with(func(s *size) { s.nodes, s.shards = 440, 3520 }),
	}
	kinds := []struct {
		name  string
		build func(*node, int) message.Message
	}{
		// Each tick is a second after the last, so that everything is due.
		{"tick", func(n *node, _ int) message.Message {
			n.now = n.now.Add(time.Second)
			n.report()
			return message.Tick{}
		}},
		{"load_report", func(n *node, i int) message.Message { return n.reported(i % n.upstreams) }},
		{"upstream_list", func(n *node, _ int) message.Message { return n.listed() }},
		{"cluster_read", func(n *node, _ int) message.Message {
			n.now = n.now.Add(time.Second)
			n.report()
			return n.clusterRead()
		}},
		{"configuration_read", func(n *node, _ int) message.Message {
			return message.ConfigurationRead{StartedAt: n.now, Configuration: configured(n.upstreams, 0)}
		}},
		{"gossip", func(n *node, _ int) message.Message {
			return message.PeerHeard{VM: "vm-1", Version: 1, Age: time.Second, At: n.now}
		}},
	}
	for _, kind := range kinds {
		for _, s := range sizes {
			b.Run(fmt.Sprintf("kind=%s/%s", kind.name, s), func(b *testing.B) {
				n := newNode(s.with(func(s *size) { s.turns = 1 }))
				var spent time.Duration
				for i := range b.N {
					m := kind.build(n, i)
					start := time.Now()
					n.handle(m)
					spent += time.Since(start)
					n.settle()
				}
				b.ReportMetric(float64(spent.Nanoseconds())/float64(b.N), "ns/op")
			})
		}
	}
}

// BenchmarkPublish measures the snapshot that traffic goroutines read.
func BenchmarkPublish(b *testing.B) {
	sizes := []size{
		base,
		base.with(func(s *size) { s.upstreams = 200 }),
		base.with(func(s *size) { s.upstreams = 2600 }),
		base.with(func(s *size) { s.nodes, s.shards = 48, 384 }),
		base.with(func(s *size) { s.nodes, s.shards = 440, 3520 }),
		{programs: 820, upstreams: 2600, nodes: 440, shards: 3520},
	}
	for _, s := range sizes {
		b.Run(s.String(), func(b *testing.B) {
			n := newNode(s.with(func(s *size) { s.turns = 1 }))
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				n.describe()
			}
		})
	}
}

// BenchmarkEnd measures the end of a program by the programs of its shard.
func BenchmarkEnd(b *testing.B) {
	for _, programs := range []int{1000, 4000, 16000} {
		b.Run(fmt.Sprintf("programs=%d/shards=4", programs), func(b *testing.B) {
			n := newNode(size{programs: programs, turns: 1, upstreams: 20, nodes: 1, shards: 4})
			b.ResetTimer()
			for i := range b.N {
				n.lastTicket++
				n.handle(message.EndProgram{Ticket: n.lastTicket, Program: n.programs[i%programs], Team: team})
				n.settle()
				n.handle(message.ReleaseDone{Program: n.programs[i%programs], Upstream: upstreamID(pools)})
				n.settle()
			}
			b.StopTimer()
			if _, ok := n.answers[ident.Ticket(1)].(outcome.Ended); !ok {
				b.Fatalf("the end of a program was answered with %+v", n.answers[1])
			}
		})
	}
}
