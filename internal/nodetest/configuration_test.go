package nodetest

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/configurer"
	"github.com/sassafrasspur/sassafrasspur/internal/confirmer"
	"github.com/sassafrasspur/sassafrasspur/internal/effect"
	"github.com/sassafrasspur/sassafrasspur/internal/peer/news"
	"github.com/sassafrasspur/sassafrasspur/internal/table"
	"github.com/sassafrasspur/sassafrasspur/internal/timer"
)

// inForce is the time within which an accepted version is in force everywhere.
const inForce = 7 * time.Second

// operators confirm plans, and the oracle compares what nodes have in force.
type operators struct {
	*world
	plans *confirmer.Confirmer
	open  []ident.PlanID
	// accepted is when each version was accepted.
	accepted map[ident.Version]time.Time
	newest   ident.Version
	// had is the version of a process, served the highest one that a VM had in
	// force.
	had    map[*node]ident.Version
	served map[ident.VMID]ident.Version
	// cut nodes reach neither the platform nor peers.
	cut map[ident.VMID]bool
	// blind nodes get no answer to reads of the configuration.
	blind map[ident.VMID]bool
	// slow is true while answers and gossip wait in transit.
	slow    bool
	transit []func()
}

// Guards against a configuration that goes back, also over a restart, and
// against new work under a version that was replaced more than 7 s ago.
var _ = ginkgo.It("never goes back to an older configuration", func() {
	check("100", func(t *rapid.T) {
		o := newOperators(newOracle(t.Fatal))
		o.populate()
		t.Repeat(o.actions())
		o.platform.outage, o.platform.lost, o.platform.dropped, o.slow = false, 0, 0, false
		clear(o.cut)
		clear(o.blind)
		o.unfreeze()
		o.deliver(len(o.transit))
		o.advance(inForce)
		for _, n := range o.nodes {
			if view := n.snapshot(); view.Configuration.Version != o.newest || !o.clock.Now().Before(view.ConfigurationUntil) {
				o.oracle.failf("property 10: %s has version %d, not version %d, %v after all faults ended", n.vm, view.Configuration.Version, o.newest, inForce)
			}
		}
	})
})

func newOperators(oracle *oracle) *operators {
	o := &operators{
		world: newEmptyWorld(oracle), accepted: map[ident.Version]time.Time{},
		had: map[*node]ident.Version{}, served: map[ident.VMID]ident.Version{},
		cut: map[ident.VMID]bool{}, blind: map[ident.VMID]bool{},
	}
	o.platform.watch = o.watch
	o.configure()
	o.extend = o.addConfigurer
	o.plans = confirmer.New(o.platform, timer.New(), confirmer.WithRetries(2, 0), confirmer.WithIDs(func() string {
		return fmt.Sprintf("plan%d", len(o.open)+1)
	}))
	return o
}

// Guards against a restarted node that takes new work under the older version of
// a peer, because its own reads do not succeed and the peer's are still fresh.
var _ = ginkgo.It("serves after a restart only when it has read the configuration", func() {
	o := newOperators(newOracle(func(args ...any) { ginkgo.Fail(fmt.Sprint(args...)) }))
	o.populate()
	o.cut["vm1"] = true
	o.plan()
	o.confirm("plan1")
	o.advance(1200 * time.Millisecond)
	o.inspect()
	gomega.Expect(o.served["vm0"]).To(gomega.BeEquivalentTo(2))
	o.cut["vm1"], o.blind["vm0"], o.blind["vm1"], o.nodes[2].frozen = false, true, true, true
	o.crash(o.nodes[0])
	for range 20 {
		o.advance(100 * time.Millisecond)
		o.inspect()
	}
	o.blind["vm0"] = false
	o.advance(2 * time.Second)
	gomega.Expect(o.nodes[0].snapshot().ConfigurationUntil).To(gomega.BeTemporally(">", o.clock.Now()))
	o.inspect()
})

// plan makes a plan, confirm puts one in force.
func (o *operators) plan() {
	text := fmt.Sprintf("[[intent]]\nkind = \"create_team\"\nid = \"t%d\"\nmax_tokens = 1\nmax_calls = 1\n", len(o.open))
	plan, err := o.plans.Create(context.Background(), "", text)
	o.oracle.notef("%s is made (error: %v)", plan.ID, err)
	if err == nil {
		o.open = append(o.open, plan.ID)
	}
}

func (o *operators) confirm(plan ident.PlanID) {
	_, err := o.plans.Confirm(context.Background(), "", plan)
	o.oracle.notef("confirming %s (error: %v)", plan, err)
}

func (o *operators) watch(writes []table.Write) {
	for _, w := range writes {
		if w.Kind == table.ConfigurationKind {
			o.newest = w.Expect + 1
			o.accepted[o.newest] = o.clock.Now()
			o.oracle.notef("version %d is accepted", o.newest)
		}
	}
}

// inspect is the oracle. It looks at what each running node has in force.
func (o *operators) inspect() {
	now := o.clock.Now()
	for _, n := range o.nodes {
		view := n.snapshot()
		if n.frozen || view.Configuration == nil {
			continue
		}
		version := view.Configuration.Version
		if version < o.had[n] {
			o.oracle.failf("property 10: %s went from version %d to %d", n.vm, o.had[n], version)
		}
		o.had[n] = version
		if !now.Before(view.ConfigurationUntil) {
			continue
		}
		if version < o.served[n.vm] {
			o.oracle.failf("property 10: %s takes new work under version %d after version %d was in force on it", n.vm, version, o.served[n.vm])
		}
		o.served[n.vm] = version
		if at, ok := o.accepted[version+1]; ok && now.Sub(at) > inForce {
			o.oracle.failf("property 10: %s takes new work under version %d, %v after version %d was accepted", n.vm, version, now.Sub(at), version+1)
		}
	}
}

func (o *operators) addConfigurer(n *node) {
	n.controllers = append(n.controllers, configurer.New(n.vm))
	n.outside = func(n *node, e effect.Effect) {
		switch e := e.(type) {
		case effect.ReadConfiguration:
			read := o.readConfiguration()
			if o.cut[n.vm] || o.blind[n.vm] {
				read.Configuration, read.Err = nil, errNoAnswer
			}
			o.carry(func() { n.inbox = append(n.inbox, read) })
		case effect.Gossip:
			o.gossip(n, e.VM, o.clock.Now())
		}
	}
}

// gossip sends a node's news to a peer, whose answer holds the peer's own.
func (o *operators) gossip(from *node, peer ident.VMID, asked time.Time) {
	own := news.From(from.vm, from.snapshot(), asked)
	o.carry(func() {
		i := slices.IndexFunc(o.nodes, func(n *node) bool { return n.vm == peer })
		if i < 0 || o.cut[peer] || o.cut[from.vm] {
			return
		}
		to := o.nodes[i]
		if to.frozen {
			// The request waits in the peer's socket.
			o.transit = append(o.transit, func() { o.receiveGossip(from, to, own, asked) })
			return
		}
		o.receiveGossip(from, to, own, asked)
	})
}

func (o *operators) receiveGossip(from, to *node, own news.News, asked time.Time) {
	if to.frozen {
		o.transit = append(o.transit, func() { o.receiveGossip(from, to, own, asked) })
		return
	}
	answer := news.Answer(own, news.From(to.vm, to.snapshot(), o.clock.Now()), to.snapshot())
	to.inbox = append(to.inbox, own.Received(o.clock.Now()))
	o.carry(func() { from.inbox = append(from.inbox, answer.Heard(asked)) })
}

// carry runs what follows from a message now, or later if the network is slow.
func (o *operators) carry(run func()) {
	if o.slow {
		o.transit = append(o.transit, run)
		return
	}
	run()
}

// deliver lets messages in transit arrive, the one at index first.
func (o *operators) deliver(index int) {
	if index < len(o.transit) {
		run := o.transit[index]
		o.transit = slices.Delete(o.transit, index, index+1)
		run()
		return
	}
	transit := o.transit
	o.transit = nil
	for _, run := range transit {
		run()
	}
}

func (o *operators) actions() map[string]func(*rapid.T) {
	anyNode := func(t *rapid.T) *node { return rapid.SampledFrom(o.nodes).Draw(t, "node") }
	pass := func(t *rapid.T) {
		o.advance(time.Duration(rapid.IntRange(1, 30).Draw(t, "tenths")) * 100 * time.Millisecond)
	}
	confirm := func(t *rapid.T) {
		if len(o.open) == 0 {
			return
		}
		first := max(0, len(o.open)-3)
		o.confirm(o.open[rapid.IntRange(first, len(o.open)-1).Draw(t, "plan")])
	}
	deliver := func(t *rapid.T) {
		o.oracle.notef("messages arrive")
		o.deliver(rapid.IntRange(0, 10).Draw(t, "message"))
	}
	return map[string]func(*rapid.T){
		"pass": pass, "pass on": pass, "confirm": confirm, "confirm another": confirm, "deliver": deliver, "deliver another": deliver,
		"plan": func(*rapid.T) { o.plan() },
		"fault": func(t *rapid.T) {
			name, n := rapid.SampledFrom([]string{"crash", "freeze", "unfreeze", "outage", "back", "cut", "joined", "blind", "sighted", "slow", "fast", "lose", "delay", "arrive"}).Draw(t, "fault"), anyNode(t)
			o.oracle.notef("%s: %s", name, n.vm)
			switch name {
			case "crash":
				o.crash(n)
			case "freeze", "unfreeze":
				n.frozen = name == "freeze"
			case "outage", "back":
				o.platform.outage = name == "outage"
			case "cut", "joined":
				o.cut[n.vm] = name == "cut"
			case "blind", "sighted":
				o.blind[n.vm] = name == "blind"
			case "slow", "fast":
				o.slow = name == "slow"
			case "lose":
				o.platform.lost++
			case "delay":
				o.platform.dropped++
			case "arrive":
				o.platform.arrive()
			}
		},
		"": func(*rapid.T) { o.inspect() },
	}
}
