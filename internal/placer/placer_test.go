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
	// The seed is fixed so that every CI run has the same result.
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

// testConfiguration returns an engine pool of two teams that lend to each other
// and to a third, and a service pool without loans.
func testConfiguration() *configuration.Configuration {
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

func newCluster(t *rapid.T) *cluster {
	c := &cluster{t: t, now: time.Unix(1_000_000, 0), configuration: testConfiguration(), leaving: map[ident.UpstreamID]departure{}}
	c.policy = pick(c, "policy", []router.Policy{
		router.LowestCost{}, router.LowestCost{}, router.FirstCome{}, router.RoundRobin{}, router.LeastLoaded{}, router.CacheAffinity{},
	})
	for i := range rapid.IntRange(1, 2).Draw(t, "nodes") {
		c.add(ident.VMID(fmt.Sprintf("vm-%d", i)))
	}
	return c
}

func pick[T any](c *cluster, label string, values []T) T {
	return rapid.SampledFrom(values).Draw(c.t, label)
}

func (c *cluster) upstream() *configuration.Upstream {
	return &c.configuration.Upstreams[rapid.IntRange(0, len(c.configuration.Upstreams)-1).Draw(c.t, "upstream")]
}

func (c *cluster) request(n *node) {
	c.ticket++
	request := message.GrantRequested{
		Ticket: c.ticket, Team: pick(c, "team", []ident.TeamID{"a", "b", "c"}),
		Class:  pick(c, "class", []ident.Class{"normal", "normal", "urgent"}),
		Pool:   pick(c, "pool", []ident.PoolID{"engines", "engines", "engines", "services"}),
		Prompt: 160, Output: 10, AttainedService: unit.Tokens(rapid.IntRange(0, 50_000).Draw(c.t, "served")),
		CachedTokens: map[ident.UpstreamID]unit.Tokens{c.upstream().ID: 100},
		Repeatable:   rapid.Bool().Draw(c.t, "repeatable"), Enqueued: c.now,
	}
	if rapid.IntRange(0, 9).Draw(c.t, "retry") == 0 {
		request.Retry, request.Avoid = true, []ident.UpstreamID{c.upstream().ID}
	}
	n.waiting[c.ticket], n.since[c.ticket] = request, c.now
	n.handle(request)
}

// anyGrant draws a node and one of its grants, if it has any. Grants are sorted,
// so that the same draw gives the same grant.
func (c *cluster) anyGrant() (*node, ident.Grant, bool) {
	n := pick(c, "node", c.nodes)
	if len(n.held) == 0 {
		return n, 0, false
	}
	return n, pick(c, "grant", sortedKeys(n.held)), true
}

func sortedKeys[K ident.Grant | ident.Ticket, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// advance moves the clock, ends the longest calls, sends due ticks and delivers
// pending reads to the reachable nodes.
func (c *cluster) advance(d time.Duration, reachable func() bool) {
	c.now = c.now.Add(d)
	for _, n := range c.nodes {
		for _, id := range sortedKeys(n.held) {
			if c.now.Sub(n.held[id].since) >= longestCall {
				n.returnGrant(id, longestCall, false)
			}
		}
		if !n.wake.IsZero() && !n.wake.After(c.now) {
			n.wake = time.Time{}
			n.handle(message.Tick{})
		}
		n.checkDeadlines()
		if reachable() {
			n.deliver()
		}
	}
}

func (c *cluster) actions() map[string]func(*rapid.T) {
	step := func(f func()) func(*rapid.T) { return func(*rapid.T) { steps++; f() } }
	request := step(func() { c.request(pick(c, "node", c.nodes)) })
	advance := step(func() {
		c.advance(time.Duration(rapid.IntRange(1, 1500).Draw(c.t, "ms"))*time.Millisecond, func() bool {
			return rapid.IntRange(0, 4).Draw(c.t, "unreachable") > 0
		})
	})
	return map[string]func(*rapid.T){
		"request": request, "request again": request,
		"burst": step(func() {
			n := pick(c, "node", c.nodes)
			for range rapid.IntRange(1, 20).Draw(c.t, "calls") {
				c.request(n)
			}
		}),
		"advance": advance, "advance again": advance,
		"return": step(func() {
			if n, id, ok := c.anyGrant(); ok {
				n.returnGrant(id, time.Duration(rapid.IntRange(10, 1000).Draw(c.t, "ms"))*time.Millisecond, false)
			}
		}),
		"refuse as leaving": step(func() {
			if n, id, ok := c.anyGrant(); ok {
				n.returnGrant(id, 0, true)
			}
		}),
		"abandon": step(func() {
			n := pick(c, "node", c.nodes)
			if len(n.waiting) > 0 {
				ticket := pick(c, "ticket", sortedKeys(n.waiting))
				delete(n.waiting, ticket)
				n.handle(message.WaitAbandoned{Ticket: ticket})
			}
		}),
		"abandon a grant": step(func() {
			if n, id, ok := c.anyGrant(); ok {
				ticket := n.held[id].Ticket
				delete(n.held, id)
				n.handle(message.WaitAbandoned{Ticket: ticket})
				n.handle(message.GrantReturned{Grant: id})
			}
		}),
		"leave or come back": step(func() {
			id := c.upstream().ID
			if _, leaving := c.leaving[id]; leaving {
				delete(c.leaving, id)
			} else {
				shown := rapid.IntRange(0, 2).Draw(c.t, "shown")
				c.leaving[id] = departure{c.now, shown != 0, shown != 1}
			}
		}),
		"cut off or reconnect": step(func() {
			n, read := pick(c, "node", c.nodes), pick(c, "read", []string{"list", "load", "cluster"})
			n.failingReads[read] = !n.failingReads[read]
		}),
		"drain or undrain": step(func() {
			next := *c.configuration
			next.Version++
			next.Upstreams = slices.Clone(next.Upstreams)
			c.configuration = &next
			u := c.upstream()
			u.Drain = !u.Drain
			for _, n := range c.nodes {
				n.handle(message.ConfigurationRead{StartedAt: c.now, Configuration: c.configuration})
			}
		}),
		"join": step(func() {
			if len(c.nodes) < 3 {
				c.add(ident.VMID(fmt.Sprintf("vm-%d", len(c.nodes))))
			}
		}),
	}
}

// checkRecovery removes all faults and checks that no call is left waiting and
// that each limit returns to the number of slots.
func (c *cluster) checkRecovery() {
	clear(c.leaving)
	next := *c.configuration
	next.Version++
	next.Upstreams = slices.Clone(next.Upstreams)
	for i := range next.Upstreams {
		next.Upstreams[i].Drain = false
	}
	c.configuration = &next
	reachable := func() bool { return true }
	for _, n := range c.nodes {
		clear(n.failingReads)
		n.handle(message.ConfigurationRead{StartedAt: c.now, Configuration: c.configuration})
	}
	// Each iteration has more calls than slots, so that every upstream is used.
	calls := slices.Concat(slices.Repeat([]message.GrantRequested{{Team: "a", Pool: "engines"}}, 12),
		slices.Repeat([]message.GrantRequested{{Team: "b", Pool: "engines"}}, 6),
		slices.Repeat([]message.GrantRequested{{Team: "a", Pool: "services"}}, 2))
	for range 20 {
		c.advance(time.Second, reachable)
		for _, n := range c.nodes {
			for _, call := range calls {
				c.ticket++
				call.Ticket, call.Enqueued = c.ticket, c.now
				n.waiting[c.ticket], n.since[c.ticket] = call, c.now
				n.handle(call)
			}
			for len(n.held) > 0 {
				n.returnGrant(sortedKeys(n.held)[0], 10*time.Millisecond, false)
			}
		}
	}
	for _, n := range c.nodes {
		if len(n.waiting) > 0 {
			c.t.Fatalf("%d calls still wait after the load fell", len(n.waiting))
		}
		for id, limit := range n.limits() {
			if u, _ := c.configuration.Upstream(id); limit != u.Slots {
				c.t.Fatalf("the limit of %s is %d after the load fell, want %d", id, limit, u.Slots)
			}
		}
	}
}

var steps int

var _ = Describe("Placer", func() {
	It("guards against grants beyond limits, loans or current views, double answers, starvation and limits that do not recover", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			c := newCluster(t)
			t.Repeat(c.actions())
			c.checkRecovery()
		})
		Expect(steps).To(BeNumerically(">=", 10_000))
	})

	It("guards against a node that misses a new VM and lends by the superseded membership", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			c := newCluster(t)
			run := func(seconds int) {
				for range seconds {
					c.advance(time.Second, func() bool { return true })
					for _, n := range c.nodes {
						for range 3 {
							c.request(n)
						}
					}
				}
			}
			run(12)
			c.nodes[0].failingReads["cluster"] = true
			c.add("vm-9")
			run(20)
		})
	})
})
