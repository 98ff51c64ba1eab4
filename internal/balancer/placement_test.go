package balancer_test

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/balancer"
	"github.com/sassafrasspur/sassafrasspur/internal/effect"
	"github.com/sassafrasspur/sassafrasspur/internal/goldentest"
	"github.com/sassafrasspur/sassafrasspur/internal/message"
	"github.com/sassafrasspur/sassafrasspur/internal/outcome"
	"github.com/sassafrasspur/sassafrasspur/internal/routing"
	"github.com/sassafrasspur/sassafrasspur/internal/snapshot"
	"github.com/sassafrasspur/sassafrasspur/internal/traffic"
	"github.com/sassafrasspur/sassafrasspur/internal/upstream"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

// site has the balancer of a VM in failure domain d1 of region r1, and the programs that
// were started with the engines that a home VM remembers of them.
type site struct {
	balancer *balancer.Balancer
	now      time.Time
	list     message.UpstreamsRead
	ticket   ident.Ticket
	names    []string
	engines  map[string]upstream.Process
	// open has the calls in flight.
	open []message.CallEnded
}

func newSite() *site {
	regions := map[ident.Domain]ident.Region{"d1": "r1", "d2": "r1", "d3": "r2", "d4": "r3"}
	return &site{
		balancer: balancer.New(balancer.Location{VM: "vm0", Domain: "d1", Region: "r1", Regions: regions}, 1),
		now:      time.Unix(1000, 0), engines: map[string]upstream.Process{},
	}
}

// call chooses an engine for a turn with a prompt of 4,000 tokens, 1,500 of which are not
// shared by other programs.
func (s *site) call(program string, placement traffic.Placement, tried ...ident.UpstreamID) (outcome.UpstreamChosen, bool) {
	s.ticket++
	effects := s.balancer.Handle(s.now, message.ChooseUpstream{
		Ticket: s.ticket, Pool: "pool", Affinity: program, Placement: placement, Tried: tried,
		Route:  &routing.Route{ID: "turns", Kind: routing.Stream{Resumable: true}, Attempts: 3},
		Prompt: &traffic.Prompt{Input: 4000, Output: 400, Parts: []traffic.Part{{Tokens: 2500}, {Tokens: 1500}}},
	})
	chosen, ok := effects[0].(effect.Answer).Outcome.(outcome.UpstreamChosen)
	if ok {
		s.open = append(s.open, message.CallEnded{
			Ticket: s.ticket, Upstream: chosen.Upstream.ID, Incarnation: chosen.Upstream.Incarnation, Route: "turns",
		})
	}
	return chosen, ok
}

// endCalls ends all calls in flight but a number of the oldest.
func (s *site) endCalls(keep int, result message.UpstreamResult) {
	for _, ended := range s.open[keep:] {
		ended.Result = result
		s.balancer.Handle(s.now, ended)
	}
	s.open = s.open[:keep]
}

// turns sends one turn of each program. Calls that stay are not ended.
func (s *site) turns(programs []string, f goldentest.Fields) string {
	counts, bases, moved := map[string]int{}, map[string]int{}, 0
	before := len(s.open)
	for _, program := range programs {
		engine, known := s.engines[program]
		var placement traffic.Placement = traffic.NewProgram{}
		switch {
		case f.Has("unknown"):
			placement = nil
		case known && !f.Has("forgotten"):
			placement = traffic.RememberedEngine{Process: engine}
		}
		chosen, ok := s.call(program, placement)
		if !ok {
			counts["refused"]++
			continue
		}
		if known && chosen.Upstream.Process() != engine {
			moved++
		}
		s.engines[program] = chosen.Upstream.Process()
		counts[string(chosen.Upstream.ID)]++
		bases[string(chosen.Basis)]++
		if !f.Has("stay") {
			s.endCalls(before, result(f))
		}
	}
	return fmt.Sprintf("%v by %v moved=%d", counts, bases, moved)
}

// learn reports a call at an engine whose events take a multiple of the usual 30 ms.
func (s *site) learn(id ident.UpstreamID, factor float64) {
	var others []ident.UpstreamID
	for _, u := range s.list.Upstreams {
		if u.ID != id {
			others = append(others, u.ID)
		}
	}
	before := len(s.open)
	s.call("", nil, others...)
	s.now = s.now.Add(10 * time.Millisecond)
	s.balancer.Handle(s.now, message.CallProgressed{Ticket: s.ticket, Progress: message.Progress{
		FirstEvent: time.Duration(factor * float64(100*time.Millisecond)),
	}})
	s.balancer.Handle(s.now, message.CallProgressed{Ticket: s.ticket, Progress: message.Progress{
		Events: 10, Took: time.Duration(factor * float64(300*time.Millisecond)),
	}})
	s.endCalls(before, message.UpstreamAnswered{FirstByte: 100 * time.Millisecond})
}

// pairs calls do for each entry of a list of id:value.
func pairs(text string, do func(id ident.UpstreamID, values []float64)) {
	for _, entry := range strings.Split(text, ",") {
		words := strings.Split(entry, ":")
		var values []float64
		for _, word := range words[1:] {
			value, err := strconv.ParseFloat(word, 64)
			if err != nil {
				panic(err)
			}
			values = append(values, value)
		}
		do(ident.UpstreamID(words[0]), values)
	}
}

// setUp applies a line that changes what the balancer knows.
func (s *site) setUp(f goldentest.Fields) {
	switch {
	case f.Has("vms"):
		var m message.MembersListed
		for i := range f.Int("vms") {
			m.Serving = append(m.Serving, snapshot.Member{VM: ident.VMID(fmt.Sprint("vm", i)), Domain: "d1", PeerAddress: "a"})
		}
		s.balancer.Handle(s.now, m)
	case f.Has("connections"):
		pools := []routing.Pool{{ID: "pool", Connections: f.Int("connections")}}
		s.balancer.Handle(s.now, message.RoutesChanged{Table: routing.New(1, nil, pools, routing.Limits{})})
	case f.Has("list"):
		s.list = listed(s.now, f["list"])
		for i := range s.list.Upstreams {
			s.list.Upstreams[i].Slots = f.Int("slots")
		}
		s.balancer.Handle(s.now, s.list)
	case f.Has("loads"):
		loads := map[ident.UpstreamID]upstream.Load{}
		pairs(f["loads"], func(id ident.UpstreamID, v []float64) {
			load := upstream.Load{Running: int(v[0]), MemoryTotal: 100_000}
			if len(v) > 1 {
				load.Waiting = int(v[1])
			}
			if len(v) > 2 {
				load.MemoryUsed = 100_000
			}
			loads[id] = load
		})
		s.balancer.Handle(s.now, message.EngineLoadsRead{Loads: loads, AsOf: s.now.Add(-f.Duration("age"))})
	case f.Has("speeds"):
		for range max(f.Int("rounds"), 1) {
			pairs(f["speeds"], func(id ident.UpstreamID, v []float64) { s.learn(id, v[0]) })
		}
	case f.Has("limits"):
		limits := map[ident.UpstreamID]unit.Rate{}
		pairs(f["limits"], func(id ident.UpstreamID, v []float64) { limits[id] = unit.Rate(v[0]) })
		s.balancer.Handle(s.now, message.UpstreamLimitsChanged{Limits: limits})
	}
}

// decide applies one line.
func (s *site) decide(line string) string {
	f := goldentest.Parse(line)
	s.now = s.now.Add(f.Duration("after"))
	s.setUp(f)
	switch {
	case f.Has("end"):
		s.endCalls(0, result(f))
	case f.Has("new"):
		var started []string
		for range f.Int("new") {
			name := fmt.Sprint("p", len(s.names))
			s.names, started = append(s.names, name), append(started, name)
		}
		return s.turns(started, f)
	case f.Has("program"):
		if !slices.Contains(s.names, f["program"]) {
			s.names = append(s.names, f["program"])
		}
		return s.turns(slices.Repeat([]string{f["program"]}, max(f.Int("turns"), 1)), f)
	case f.Has("turn"):
		return s.turns(s.names, f)
	}
	return ""
}

// TestRememberedEngine guards against turns that move away from the engine that has their
// prompt because of load, which doubled the prompt tokens that engines computed in a
// trial, against programs that stay with an engine that can't serve them, and against
// another choice in a small deployment.
func TestRememberedEngine(t *testing.T) {
	checkEach(t, "testdata/remembered/*.txtar", func() func(string) string { return newSite().decide })
}

// TestPlacement guards, under load patterns that each file names, against new programs at
// engines that are slow or loaded, against running programs that move with the load, and
// against VMs that all pick one engine.
func TestPlacement(t *testing.T) {
	checkEach(t, "testdata/placement/*.txtar", func() func(string) string { return newSite().decide })
}
