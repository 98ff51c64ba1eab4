package nodetest

import (
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/message"
	"github.com/sassafrasspur/sassafrasspur/internal/outcome"
	"github.com/sassafrasspur/sassafrasspur/internal/program"
	"github.com/sassafrasspur/sassafrasspur/internal/record"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

// TestMain fixes the seed, so that each run gives the same verdict. Longer runs
// set SPUR_RAPID_SEED, SPUR_RAPID_CHECKS and SPUR_RAPID_STEPS.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, fallback := range map[string]string{"seed": "20261204", "checks": "300", "steps": "120"} {
		value := os.Getenv("SPUR_RAPID_" + map[string]string{"seed": "SEED", "checks": "CHECKS", "steps": "STEPS"}[name])
		if value == "" {
			value = fallback
		}
		if err := flag.Set("rapid."+name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// check runs a property; SPUR_RAPID_CHECKS replaces the number of runs.
func check(runs string, property func(*rapid.T)) {
	if os.Getenv("SPUR_RAPID_CHECKS") == "" {
		if err := flag.Set("rapid.checks", runs); err != nil {
			panic(err)
		}
	}
	rapid.Check(ginkgo.GinkgoT(), property)
}

func TestNode(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "node")
}

// Guards against lost or doubled work when nodes crash, freeze beyond their
// lease, take over from one another, and when the platform is out, loses
// answers or applies writes late.
var _ = ginkgo.It("keeps order, history, budget, at-most-once and true refusals under faults", func() {
	check("300", func(t *rapid.T) {
		o := newOracle(t.Fatal)
		w := newEmptyWorld(o)
		w.budget = rapid.SampledFrom([]unit.Calls{3, budgetCalls}).Draw(t, "budget")
		w.populate()
		t.Repeat(w.actions())
		w.heal()
		w.checkHistories()
	})
})

func (w *world) actions() map[string]func(*rapid.T) {
	anyNode := func(t *rapid.T) int { return rapid.IntRange(0, len(w.nodes)-1).Draw(t, "node") }
	send := func(t *rapid.T) {
		c := rapid.SampledFrom(w.clients).Draw(t, "client")
		once := rapid.Bool().Draw(t, "once")
		n := w.nodes[anyNode(t)]
		if rapid.IntRange(0, 3).Draw(t, "located") > 0 {
			n = w.owner(c.program, n)
		}
		w.send(c, n, once)
	}
	work := func(t *rapid.T) {
		var able []*worker
		for _, k := range w.workers {
			if !k.node.frozen && (k.stage == ready || k.stage == checked || k.stage == sent) {
				able = append(able, k)
			}
		}
		if len(able) == 0 {
			send(t)
			return
		}
		k := rapid.SampledFrom(able).Draw(t, "worker")
		switch k.stage {
		case ready:
			w.check(k)
		case checked:
			w.place(t, k)
			w.dispatch(k)
		case sent:
			w.receive(k, rapid.IntRange(0, 4).Draw(t, "breaks") == 0)
		}
	}
	// A caller that sends a new call at a position that is taken, or far ahead.
	stray := func(t *rapid.T) {
		c := rapid.SampledFrom(w.clients).Draw(t, "client")
		position := c.next + 3
		if c.next > 1 && rapid.Bool().Draw(t, "taken") {
			position = ident.Position(rapid.IntRange(1, int(c.next)-1).Draw(t, "position"))
		}
		n := w.owner(c.program, w.nodes[anyNode(t)])
		if !c.stopped && !n.frozen {
			w.calls++
			w.post(c, n, call{id: ident.CallID(fmt.Sprintf("stray%d", w.calls)), position: position}, true)
		}
	}
	run := func(t *rapid.T) {
		n := w.nodes[anyNode(t)]
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			n.step()
		}
		w.collect()
	}
	pass := func(t *rapid.T) {
		w.advance(time.Duration(rapid.IntRange(1, 40).Draw(t, "tenths")) * 100 * time.Millisecond)
	}
	show := func(t *rapid.T) {
		w.show(rapid.SampledFrom(w.clients).Draw(t, "client").program, w.nodes[anyNode(t)])
	}
	faults := map[string]func(*node){
		"crash":  func(n *node) { w.crash(n) },
		"freeze": func(n *node) { n.frozen = true },
		"suspend": func(n *node) {
			n.frozen = true
			w.advance(lease + 2*margin)
			n.frozen = false
			w.advance(margin)
		},
		"unfreeze":     func(n *node) { n.frozen = false },
		"unfreeze all": func(*node) { w.unfreeze() },
		"outage":       func(*node) { w.platform.outage = true },
		"restored":     func(*node) { w.platform.outage = false },
		"back":         func(*node) { w.platform.outage = false },
		"lose":         func(*node) { w.platform.lost++ },
		"delay":        func(*node) { w.platform.dropped++ },
		"arrive":       func(*node) { w.platform.arrive() },
		"limit":        func(n *node) { w.withhold(n) },
	}
	names := slices.Sorted(maps.Keys(faults))
	fault := func(t *rapid.T) {
		name, n := rapid.SampledFrom(names).Draw(t, "fault"), w.nodes[anyNode(t)]
		w.oracle.notef("%s: %s", name, n.vm)
		faults[name](n)
	}
	return map[string]func(*rapid.T){
		"send": send, "send again": send,
		"work": work, "work on": work, "work more": work, "work still": work,
		"run": run, "pass": pass, "pass on": pass,
		"show": show, "fault": fault, "stray": stray,
	}
}

// owner returns the node that serves a program by its own view.
func (w *world) owner(id ident.ProgramID, fallback *node) *node {
	for _, n := range w.nodes {
		if _, owner, known := n.snapshot().Owner(id); known && owner.VM == n.vm && !n.frozen {
			return n
		}
	}
	return fallback
}

func (w *world) show(id ident.ProgramID, n *node) {
	if n.frozen || !w.clock.Now().Before(n.snapshot().LeaseUntil) {
		return
	}
	ticket := n.ask(func(t ident.Ticket) message.Message {
		return message.ShowProgram{Ticket: t, Program: id, Team: "team"}
	})
	if shown, ok := n.take(ticket).(outcome.Shown); ok {
		w.oracle.compare(shown.View.State)
	}
}

// heal ends all faults, lets the nodes recover and the calls end.
func (w *world) heal() {
	w.platform.outage, w.platform.lost, w.platform.dropped = false, 0, 0
	w.unfreeze()
	for range 20 {
		w.advance(2 * time.Second)
		for _, k := range slices.Clone(w.workers) {
			w.finish(k, false)
		}
	}
}

// finish takes a worker's call through all steps that need no answer of its node.
func (w *world) finish(k *worker, breaks bool) {
	if k.stage == ready {
		w.check(k)
	}
	if k.stage == checked {
		w.dispatch(k)
	}
	if k.stage == sent {
		w.receive(k, breaks)
	}
}

func (w *world) unfreeze() {
	for _, n := range w.nodes {
		n.frozen = false
	}
}

// checkHistories looks at all programs after the faults. Each shard must also
// be able to record something new: a commit that can't succeed would otherwise
// hide every later loss.
func (w *world) checkHistories() {
	unknown, spent := map[ident.ProgramID]unit.Calls{}, map[ident.ProgramID]unit.Calls{}
	for _, c := range w.clients {
		probe := neighbour(c.program)
		if w.request(func(t ident.Ticket) message.Message {
			return message.OpenProgram{Ticket: t, Program: probe, Team: "team", Budget: record.Budget{Calls: 1}}
		}) == nil {
			w.oracle.failf("nothing can be recorded for %s after all faults ended", c.program)
		}
		answer := w.request(func(t ident.Ticket) message.Message {
			return message.ShowProgram{Ticket: t, Program: c.program, Team: "team"}
		})
		shown, ok := answer.(outcome.Shown)
		if !ok {
			w.oracle.failf("property 2: program %s can't be shown after all faults ended", c.program)
			return
		}
		w.oracle.compare(shown.View.State)
		root := c.program.Root()
		spent[root] = shown.View.Root.Spent.Calls
		for _, call := range shown.View.Calls {
			if call.Status != program.Done {
				unknown[root]++
			}
		}
	}
	for _, root := range slices.Sorted(maps.Keys(spent)) {
		w.oracle.compareBudget(root, spent[root], unknown[root])
	}
}

// neighbour returns the id of another root program on the same shard.
func neighbour(id ident.ProgramID) ident.ProgramID {
	for i := 0; ; i++ {
		other := ident.ProgramID(fmt.Sprintf("probe%d", i))
		if other.Shard(shards) == id.Shard(shards) {
			return other
		}
	}
}
