package processtest

import (
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
	// Guards against calls that hang on a connection that is open and dead, and
	// against a VM that serves without the store.
	It("to an engine or to the store loses and mixes nothing", func(ctx SpecContext) {
		var engines []*link
		var store *link
		reach := func(address string) string {
			engines = append(engines, newLink(address))
			return engines[len(engines)-1].address
		}
		d := deploy(ctx, shape{vms: 3, reach: reach, storeOf: func(i int, address string) string {
			if i == 2 {
				store = newLink(address)
				return store.address
			}
			return address
		}})
		third := d.vms[2]
		o := newOracle(d)
		chatting, cut := names("chats", 8), names("cut", 4)
		chats, filings := newLoad(o, completionOperation), newLoad(o, filing)
		filings.renews = true
		chats.start(ctx, chatting)
		filings.start(ctx, cut)
		Eventually(ctx, o.count).Should(BeNumerically(">", 100))

		By("silence to an engine")
		engines[0].silent.Store(true)
		Eventually(ctx, engines[0].swallowed.Load).Should(BeNumerically(">", 0))
		silent := time.Now()
		_, lastChat := recovery(ctx, o, silent, chatting)
		engines[0].silent.Store(false)
		measured("served_again_after_silent_engine_link_ms=%d", lastChat.Milliseconds())

		By("silence between a VM and the store")
		store.silent.Store(true)
		silent = time.Now()
		_, lastCut := recovery(ctx, o, silent.Add(goneTime), cut)
		store.silent.Store(false)
		measured("served_again_after_silent_store_link_ms=%d", (lastCut + goneTime).Milliseconds())
		Eventually(ctx, func() bool {
			s, err := d.status(ctx, third)
			return err == nil && s.Healthy && s.VmsLive == 3
		}).Should(BeTrue(), "the VM that was cut off does not serve again")
		chats.stop()
		filings.stop()
		o.check(ctx)
		Expect(lastChat).To(BeNumerically("<", silenceLimit))
		Expect(lastCut).To(BeNumerically("<", silenceLimit))
	}, SpecTimeout(caseLimit))
})
