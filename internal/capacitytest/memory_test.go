package capacitytest

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/chain"
	"github.com/sassafrasspur/sassafrasspur/internal/program"
)

// memory measures the heap that a value keeps. The units are what the value
// consists of.
func memory(b *testing.B, name string, units int, build func() any) {
	b.Run(name, func(b *testing.B) {
		for range b.N {
			before := heap()
			kept := build()
			after := heap()
			runtime.KeepAlive(kept)
			b.ReportMetric(float64(after)-float64(before), "bytes")
			b.ReportMetric((float64(after)-float64(before))/float64(units), "bytes/unit")
		}
	})
}

func heap() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// BenchmarkMemory measures the control state by what it consists of.
func BenchmarkMemory(b *testing.B) {
	for _, s := range []struct{ programs, turns, tokens int }{
		{100, 26, turnTokens}, {100, 130, turnTokens}, {100, 260, turnTokens},
		{1000, 26, 0}, {1000, 26, 150}, {1000, 26, turnTokens},
		{1000, 0, 0}, {4000, 0, 0}, {16000, 0, 0},
	} {
		name := fmt.Sprintf("of=program/programs=%d/turns=%d/tokens=%d", s.programs, s.turns, s.tokens)
		memory(b, name, s.programs, func() any {
			set := program.Set{}
			for i := range s.programs {
				id := ident.ProgramID(fmt.Sprintf("program-%08d", i))
				set[id] = history(id, s.turns, s.tokens, true)
			}
			return set
		})
	}
	small := size{programs: 1, turns: 1, upstreams: 20, nodes: 12, shards: 48}
	newNode(small)
	for _, shards := range []int{48, 384, 3520} {
		s := small.with(func(s *size) { s.shards = shards })
		targets(s.shards, s.nodes)
		memory(b, fmt.Sprintf("of=shard/shards=%d", shards), shards, func() any { return newNode(s) })
	}
	for _, upstreams := range []int{20, 200, 800, 2600} {
		s := small.with(func(s *size) { s.upstreams = upstreams })
		memory(b, fmt.Sprintf("of=upstream/upstreams=%d", upstreams), upstreams, func() any { return newNode(s) })
	}
	for _, nodes := range []int{12, 48, 440} {
		s := small.with(func(s *size) { s.nodes, s.shards = nodes, 3520 })
		targets(s.shards, s.nodes)
		memory(b, fmt.Sprintf("of=node/nodes=%d/shards=3520", nodes), nodes, func() any { return newNode(s) })
	}
	for _, accounts := range []int{200, 2000, 19000} {
		memory(b, fmt.Sprintf("of=account/accounts=%d", accounts), accounts, func() any {
			kept := map[string]chain.Account{}
			for i := range accounts {
				id := fmt.Sprintf("account-%05d", i)
				kept["token-0123456789-"+id] = chain.Account{ID: ident.AccountID(id), Team: ident.TeamID("team-" + id), Role: chain.Caller}
			}
			return kept
		})
	}
}
