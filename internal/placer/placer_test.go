package placer_test

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/configuration"
	"github.com/sassafrasspur/sassafrasspur/internal/message"
	"github.com/sassafrasspur/sassafrasspur/internal/router"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

func TestPlacer(t *testing.T) {
	// The seed is fixed so that CI gives the same verdict each run.
	for name, value := range map[string]string{
		"rapid.seed": "1", "rapid.checks": "100", "rapid.steps": "150", "rapid.nofailfile": "true",
	} {
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
	}
	RegisterFailHandler(Fail)
	RunSpecs(t, "placer")
}

// fleet has an engine pool of two teams that lend to each other and to a third,
// and a service pool that is not lent.
func fleet() *configuration.Configuration {
	c := &configuration.Configuration{
		Version: 1,
		Pools: []configuration.Pool{
			{ID: "engines", Kind: configuration.EnginePool}, {ID: "services", Kind: configuration.ServicePool},
		},
		Classes: []configuration.Class{{ID: "urgent", Rank: 0, Essential: true}, {ID: "normal", Rank: 1}},
	}
	loan := func(team ident.TeamID, share unit.Ratio) configuration.Loan {
		return configuration.Loan{Borrower: team, Share: share, Reclaim: time.Second}
	}
	for i, u := range []configuration.Upstream{
		{Pool: "engines", Team: "a", Slots: 8, Loans: []configuration.Loan{loan("b", 0.5), loan("c", 0.125)}},
		{Pool: "engines", Team: "a", Slots: 2, Loans: []configuration.Loan{loan("b", 0.5)}},
		{Pool: "engines", Team: "b", Slots: 4, Region: "r2", Loans: []configuration.Loan{loan("a", 1), loan("c", 0.25)}},
		{Pool: "services", Team: "a", Slots: 1},
	} {
		u.ID = ident.UpstreamID(fmt.Sprintf("u%d", i))
		u.Address = fmt.Sprintf("127.0.0.1:%d", 9000+i)
		c.Upstreams = append(c.Upstreams, u)
	}
	return c
}

func newWorld(t *rapid.T) *world {
	w := &world{t: t, now: time.Unix(1_000_000, 0), configuration: fleet(), leaving: map[ident.UpstreamID]leave{}}
	w.policy = pick(w, "policy", []router.Policy{
		router.Product{}, router.Product{}, router.FirstCome{}, router.RoundRobin{}, router.LeastLoaded{}, router.CacheAffinity{},
	})
	for i := range rapid.IntRange(1, 2).Draw(t, "nodes") {
		w.add(ident.VMID(fmt.Sprintf("vm-%d", i)))
	}
	return w
}

func pick[T any](w *world, label string, values []T) T {
	return rapid.SampledFrom(values).Draw(w.t, label)
}

func (w *world) upstream() *configuration.Upstream {
	return &w.configuration.Upstreams[rapid.IntRange(0, len(w.configuration.Upstreams)-1).Draw(w.t, "upstream")]
}

func (w *world) request(n *node) {
	w.ticket++
	request := message.GrantRequested{
		Ticket: w.ticket, Team: pick(w, "team", []ident.TeamID{"a", "b", "c"}),
		Class:  pick(w, "class", []ident.Class{"normal", "normal", "urgent"}),
		Pool:   pick(w, "pool", []ident.PoolID{"engines", "engines", "engines", "services"}),
		Prompt: 160, Output: 10, Served: unit.Tokens(rapid.IntRange(0, 50_000).Draw(w.t, "served")),
		Residents:  map[ident.UpstreamID]unit.Tokens{w.upstream().ID: 100},
		Repeatable: rapid.Bool().Draw(w.t, "repeatable"), Enqueued: w.now,
	}
	if rapid.IntRange(0, 9).Draw(w.t, "retry") == 0 {
		request.Retry, request.Avoid = true, []ident.UpstreamID{w.upstream().ID}
	}
	n.waiting[w.ticket], n.since[w.ticket] = request, w.now
	n.do(request)
}

// anyGrant returns a grant in use, of the lowest number for the same draw.
func (w *world) anyGrant() (*node, ident.Grant, bool) {
	n := pick(w, "node", w.nodes)
	if len(n.held) == 0 {
		return n, 0, false
	}
	return n, pick(w, "grant", sortedKeys(n.held)), true
}

func sortedKeys[K ident.Grant | ident.Ticket, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// advance moves the time, wakes the nodes and delivers answers to most of them.
func (w *world) advance(d time.Duration, reachable func() bool) {
	w.now = w.now.Add(d)
	for _, n := range w.nodes {
		for _, id := range sortedKeys(n.held) {
			if w.now.Sub(n.held[id].since) >= longestCall {
				n.giveBack(id, longestCall, false)
			}
		}
		if !n.wake.IsZero() && !n.wake.After(w.now) {
			n.wake = time.Time{}
			n.do(message.Tick{})
		}
		n.checkDeadlines()
		if reachable() {
			n.deliver()
		}
	}
}

func (w *world) actions() map[string]func(*rapid.T) {
	step := func(f func()) func(*rapid.T) { return func(*rapid.T) { steps++; f() } }
	request := step(func() { w.request(pick(w, "node", w.nodes)) })
	advance := step(func() {
		w.advance(time.Duration(rapid.IntRange(1, 1500).Draw(w.t, "ms"))*time.Millisecond, func() bool {
			return rapid.IntRange(0, 4).Draw(w.t, "unreachable") > 0
		})
	})
	return map[string]func(*rapid.T){
		"request": request, "request again": request,
		"burst": step(func() {
			n := pick(w, "node", w.nodes)
			for range rapid.IntRange(1, 20).Draw(w.t, "calls") {
				w.request(n)
			}
		}),
		"advance": advance, "advance again": advance,
		"return": step(func() {
			if n, id, ok := w.anyGrant(); ok {
				n.giveBack(id, time.Duration(rapid.IntRange(10, 1000).Draw(w.t, "ms"))*time.Millisecond, false)
			}
		}),
		"refuse as leaving": step(func() {
			if n, id, ok := w.anyGrant(); ok {
				n.giveBack(id, 0, true)
			}
		}),
		"abandon": step(func() {
			n := pick(w, "node", w.nodes)
			if len(n.waiting) > 0 {
				ticket := pick(w, "ticket", sortedKeys(n.waiting))
				delete(n.waiting, ticket)
				n.do(message.WaitAbandoned{Ticket: ticket})
			}
		}),
		"abandon a grant": step(func() {
			if n, id, ok := w.anyGrant(); ok {
				ticket := n.held[id].Ticket
				delete(n.held, id)
				n.do(message.WaitAbandoned{Ticket: ticket})
				n.do(message.GrantReturned{Grant: id})
			}
		}),
		"leave or come back": step(func() {
			id := w.upstream().ID
			if _, leaving := w.leaving[id]; leaving {
				delete(w.leaving, id)
			} else {
				shown := rapid.IntRange(0, 2).Draw(w.t, "shown")
				w.leaving[id] = leave{w.now, shown != 0, shown != 1}
			}
		}),
		"cut off or reconnect": step(func() {
			n, read := pick(w, "node", w.nodes), pick(w, "read", []string{"list", "load", "cluster"})
			n.cut[read] = !n.cut[read]
		}),
		"drain or undrain": step(func() {
			next := *w.configuration
			next.Version++
			next.Upstreams = slices.Clone(next.Upstreams)
			w.configuration = &next
			u := w.upstream()
			u.Drain = !u.Drain
			for _, n := range w.nodes {
				n.do(message.ConfigurationRead{StartedAt: w.now, Configuration: w.configuration})
			}
		}),
		"join": step(func() {
			if len(w.nodes) < 3 {
				w.add(ident.VMID(fmt.Sprintf("vm-%d", len(w.nodes))))
			}
		}),
	}
}

// checkRecovery ends all trouble and expects the limits at the slots again.
func (w *world) checkRecovery() {
	clear(w.leaving)
	next := *w.configuration
	next.Version++
	next.Upstreams = slices.Clone(next.Upstreams)
	for i := range next.Upstreams {
		next.Upstreams[i].Drain = false
	}
	w.configuration = &next
	reachable := func() bool { return true }
	for _, n := range w.nodes {
		clear(n.cut)
		n.do(message.ConfigurationRead{StartedAt: w.now, Configuration: w.configuration})
	}
	// Each round has more calls than slots, so that every upstream is used.
	calls := slices.Concat(slices.Repeat([]message.GrantRequested{{Team: "a", Pool: "engines"}}, 12),
		slices.Repeat([]message.GrantRequested{{Team: "b", Pool: "engines"}}, 6),
		slices.Repeat([]message.GrantRequested{{Team: "a", Pool: "services"}}, 2))
	for range 20 {
		w.advance(time.Second, reachable)
		for _, n := range w.nodes {
			for _, call := range calls {
				w.ticket++
				call.Ticket, call.Enqueued = w.ticket, w.now
				n.waiting[w.ticket], n.since[w.ticket] = call, w.now
				n.do(call)
			}
			for len(n.held) > 0 {
				n.giveBack(sortedKeys(n.held)[0], 10*time.Millisecond, false)
			}
		}
	}
	for _, n := range w.nodes {
		if len(n.waiting) > 0 {
			w.t.Fatalf("%d calls wait although the load has fallen", len(n.waiting))
		}
		for id, limit := range n.limits() {
			if u, _ := w.configuration.Upstream(id); limit != u.Slots {
				w.t.Fatalf("the limit of %s is %d after the load fell, want %d", id, limit, u.Slots)
			}
		}
	}
}

var steps int

var _ = Describe("Placer", func() {
	It("guards against grants beyond limits, loans and views, double answers, starvation and limits that stay low", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			w := newWorld(t)
			t.Repeat(w.actions())
			w.checkRecovery()
		})
		Expect(steps).To(BeNumerically(">=", 10_000))
	})

	It("guards against a node that cannot see a new VM and lends the parts of the earlier VMs", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			w := newWorld(t)
			run := func(seconds int) {
				for range seconds {
					w.advance(time.Second, func() bool { return true })
					for _, n := range w.nodes {
						for range 3 {
							w.request(n)
						}
					}
				}
			}
			run(12)
			w.nodes[0].cut["cluster"] = true
			w.add("vm-9")
			run(20)
		})
	})
})
