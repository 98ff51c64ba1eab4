package processtest

import (
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// silenceLimit is the longest time until calls are served again after a link to
// an engine went silent, by the settings. Until the limit on the age of its view
// a VM may send work there, which then waits between two bytes, for the first
// byte of three resumes and for a cancel. One more second is for the caller's
// pauses and the answer.
const silenceLimit = viewLimit + betweenBytes + 3*firstByte + cancelLimit + time.Second

// cancelLimit is the dispatcher's limit on the wait for a cancel.
const cancelLimit = 2 * time.Second

var _ = Describe("a link that goes silent", func() {
	// Guards against calls that hang on a connection that is open and dead,
	// against requests that wait for an owner that can't be reached, against
	// refusals that say "not run" about a request that was forwarded, and against
	// a VM that goes on without the platform.
	It("to an engine, to a VM or to the platform loses and mixes nothing", func(ctx SpecContext) {
		var engines []*link
		var view *tableView
		var tables, objects *link
		reach := func(address string) string {
			engines = append(engines, newLink(address))
			return engines[len(engines)-1].address
		}
		d := deploy(ctx, shape{vms: 3, reach: reach, platformOf: func(i int, t, o string) (string, string) {
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
		// These callers don't use the link between the two VMs.
		chats := newLoad(o, completionOperation)
		chats.via = func(caller, try int) *vm { return d.vms[1+(caller+try)%2] }
		chatting := d.ownedBy(ctx, "chats", 8, second, third)
		chats.start(ctx, chatting)
		l.start(ctx, names)
		pinned.start(ctx, through)
		others.start(ctx, cut)
		Eventually(ctx, peer.carried.Load).Should(BeNumerically(">", 10_000))
		Eventually(ctx, o.count).Should(BeNumerically(">", 100))

		By("silence between two VMs and to an engine")
		peer.silent.Store(true)
		engines[0].silent.Store(true)
		Eventually(ctx, peer.swallowed.Load).Should(BeNumerically(">", 0))
		Eventually(ctx, engines[0].swallowed.Load).Should(BeNumerically(">", 0))
		silent := time.Now()
		_, last := recovery(ctx, o, silent, names)
		_, lastChat := recovery(ctx, o, silent, chatting)
		peer.silent.Store(false)
		engines[0].silent.Store(false)
		healed := time.Now()
		_, lastPinned := recovery(ctx, o, healed, through)
		measured("served_again_after_silent_engine_link_ms=%d", lastChat.Milliseconds())
		measured("served_again_after_silent_peer_link_ms=%d, through the same VM after the link came back=%d", last.Milliseconds(), lastPinned.Milliseconds())

		By("silence between a VM and the platform")
		tables.silent.Store(true)
		objects.silent.Store(true)
		silent = time.Now()
		_, lastCut := recovery(ctx, o, silent.Add(lease), cut)
		tables.silent.Store(false)
		objects.silent.Store(false)
		measured("served_again_after_silent_platform_link_ms=%d", (lastCut + lease).Milliseconds())
		Eventually(ctx, func() bool {
			s, err := d.status(ctx, third)
			return err == nil && s.LeaseMs > 0
		}).Should(BeTrue(), "the VM that was cut off does not join again")
		for _, each := range []*load{l, pinned, others, chats} {
			each.stop()
		}
		o.check(ctx)
		Expect(lastChat).To(BeNumerically("<", silenceLimit))
		Expect(last).To(BeNumerically("<", silenceLimit))
		Expect(lastPinned).To(BeNumerically("<", silenceLimit))
		Expect(lastCut).To(BeNumerically("<", silenceLimit))
	}, SpecTimeout(caseLimit))
})
