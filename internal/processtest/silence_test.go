package processtest

import (
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// silenceLimit is the longest time until calls are served again after a link to
// an engine went silent, by the settings: until 5 s a VM may still send work
// there, which then waits between two bytes, for the first byte of two resumes
// and for a cancel. One more second is for the caller's pauses and the answer.
const silenceLimit = 5*time.Second + betweenBytes + 2*firstByte + cancelLimit + time.Second

// cancelLimit is the dispatcher's limit on the wait for a cancel.
const cancelLimit = 2 * time.Second

var _ = Describe("a link that goes silent", func() {
	// Guards against calls that hang on a connection that is open and dead, and
	// against answers that are lost or mixed when it comes back.
	It("between a VM and an engine delays calls only for a limited time", func(ctx SpecContext) {
		var links []*link
		d := deploy(ctx, shape{vms: 2, reach: func(address string) string {
			links = append(links, newLink(address))
			return links[len(links)-1].address
		}})
		o := newOracle(d)
		l := newLoad(o, completionOperation)
		names := d.ownedBy(ctx, "chats", 8, d.vms...)
		l.start(ctx, names)
		Eventually(ctx, o.count).Should(BeNumerically(">", 50))
		links[0].silent.Store(true)
		Eventually(ctx, links[0].swallowed.Load).Should(BeNumerically(">", 0))
		silent := time.Now()
		_, last := recovery(ctx, o, silent, names)
		links[0].silent.Store(false)
		healed := time.Now()
		Eventually(ctx, func() int { return o.since(healed) }).Should(BeNumerically(">", 50))
		l.stop()
		o.check(ctx)
		measured("served_again_after_silent_engine_link_ms=%d", last.Milliseconds())
		Expect(last).To(BeNumerically("<", silenceLimit))
	}, SpecTimeout(caseLimit))

	// Guards against requests that wait for an owner that can't be reached,
	// against refusals that say "not run" about a request that was forwarded, and
	// against a VM that goes on without the platform.
	It("between two VMs and to the platform loses and mixes nothing", func(ctx SpecContext) {
		var view *tableView
		var tables, objects *link
		d := deploy(ctx, shape{vms: 3, platformOf: func(i int, t, o string) (string, string) {
			switch i {
			case 0:
				view = newTableView(t)
				return view.address, o
			case 2:
				tables, objects = newLink(t), newLink(o)
				return tables.address, objects.address
			}
			return t, o
		}})
		first, second, third := d.vms[0], d.vms[1], d.vms[2]
		peer := newLink(second.addresses("peer_address")[0])
		view.replaced.Store(strings.NewReplacer(second.addresses("peer_address")[0], peer.address))
		o := newOracle(d)
		names, cut := d.ownedBy(ctx, "peer", 8, second), d.ownedBy(ctx, "cut", 4, third)
		l, pinned, others := newLoad(o, filing), newLoad(o, lookUp), newLoad(o, filing)
		l.renews = true
		pinned.via = func(int, int) *vm { return first }
		through := d.ownedBy(ctx, "pinned", 2, second)
		l.start(ctx, names)
		pinned.start(ctx, through)
		others.start(ctx, cut)
		Eventually(ctx, peer.carried.Load).Should(BeNumerically(">", 10_000))
		Eventually(ctx, o.count).Should(BeNumerically(">", 100))

		By("silence between two VMs")
		peer.silent.Store(true)
		Eventually(ctx, peer.swallowed.Load).Should(BeNumerically(">", 0))
		silent := time.Now()
		_, last := recovery(ctx, o, silent, names)
		peer.silent.Store(false)
		healed := time.Now()
		_, lastPinned := recovery(ctx, o, healed, through)
		measured("served_again_after_silent_peer_link_ms=%d, through the same VM after the link came back=%d", last.Milliseconds(), lastPinned.Milliseconds())

		By("silence between a VM and the platform")
		tables.silent.Store(true)
		objects.silent.Store(true)
		silent = time.Now()
		_, lastCut := recovery(ctx, o, silent.Add(lease), cut)
		tables.silent.Store(false)
		objects.silent.Store(false)
		measured("served_again_after_silent_platform_link_ms=%d", (lastCut + lease).Milliseconds())
		d.settle(ctx)
		for _, each := range []*load{l, pinned, others} {
			each.stop()
		}
		o.check(ctx)
		Expect(last).To(BeNumerically("<", silenceLimit))
		Expect(lastPinned).To(BeNumerically("<", silenceLimit))
		Expect(lastCut).To(BeNumerically("<", silenceLimit))
	}, SpecTimeout(caseLimit))
})
