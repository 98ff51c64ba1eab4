package balancer_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/balancer"
	"github.com/sassafrasspur/sassafrasspur/internal/effect"
	"github.com/sassafrasspur/sassafrasspur/internal/message"
	"github.com/sassafrasspur/sassafrasspur/internal/outcome"
	"github.com/sassafrasspur/sassafrasspur/internal/routing"
	"github.com/sassafrasspur/sassafrasspur/internal/snapshot"
	"github.com/sassafrasspur/sassafrasspur/internal/traffic"
	"github.com/sassafrasspur/sassafrasspur/internal/upstream"
)

// BenchmarkChoice measures one call at one of 60 engines in three regions: the choice,
// two reports of its progress and its end. The control goroutine of a small VM does this
// for each call.
func BenchmarkChoice(b *testing.B) { benchmarkChoice(b, nil, nil) }

// BenchmarkPlacement measures the same in a large failure domain for the first turns of
// programs, while the loads of all engines are known.
func BenchmarkPlacement(b *testing.B) {
	benchmarkChoice(b, traffic.NewProgram{}, map[ident.UpstreamID]upstream.Load{"i-00000000": {Running: 3}})
}

func benchmarkChoice(b *testing.B, placement traffic.Placement, loads map[ident.UpstreamID]upstream.Load) {
	regions := map[ident.Domain]ident.Region{"d1": "r1", "d2": "r1", "d3": "r2", "d4": "r2", "d5": "r3", "d6": "r3"}
	balancer := balancer.New(balancer.Location{VM: "vm1", Domain: "d1", Region: "r1", Regions: regions}, 1)
	now := time.Unix(0, 0)
	list := message.UpstreamsRead{AsOf: now}
	for i := range 60 {
		list.Upstreams = append(list.Upstreams, upstream.Upstream{
			ID: ident.UpstreamID(fmt.Sprintf("i-%08x", i*7919)), Pool: "pool", Domain: ident.Domain(fmt.Sprint("d", i%6+1)), Incarnation: 1, Slots: 16,
		})
	}
	balancer.Handle(now, list)
	members := make([]snapshot.Member, 72)
	if placement != nil {
		members = slices.Repeat([]snapshot.Member{{Domain: "d1", PeerAddress: "a"}}, 72)
	}
	balancer.Handle(now, message.MembersListed{Serving: members})
	balancer.Handle(now, message.EngineLoadsRead{Loads: loads, AsOf: now})
	route := &routing.Route{ID: "r", Kind: routing.Stream{}}
	prompt := &traffic.Prompt{Input: 4000, Output: 400, Parts: []traffic.Part{{Tokens: 2500}, {Tokens: 1500}}}
	var keys [64]string
	for i := range keys {
		keys[i] = fmt.Sprint("program-", i)
	}
	type inFlight struct {
		ticket ident.Ticket
		id     ident.UpstreamID
	}
	var open []inFlight
	b.ReportAllocs()
	for i := range b.N {
		now = now.Add(10 * time.Millisecond)
		ticket := ident.Ticket(i + 1)
		effects := balancer.Handle(now, message.ChooseUpstream{Ticket: ticket, Pool: "pool", Route: route, Affinity: keys[i%64], Prompt: prompt, Placement: placement})
		open = append(open, inFlight{ticket, effects[0].(effect.Answer).Outcome.(outcome.UpstreamChosen).Upstream.ID})
		balancer.Handle(now, message.CallProgressed{Ticket: ticket, Progress: message.Progress{FirstEvent: 60 * time.Millisecond}})
		balancer.Handle(now, message.CallProgressed{Ticket: ticket, Progress: message.Progress{Events: 8, Took: 250 * time.Millisecond}})
		if len(open) > 20 {
			balancer.Handle(now, message.CallEnded{Ticket: open[0].ticket, Upstream: open[0].id, Incarnation: 1, Route: "r", Answer: time.Second, Result: message.UpstreamAnswered{FirstByte: time.Second}})
			open = open[1:]
		}
	}
}
