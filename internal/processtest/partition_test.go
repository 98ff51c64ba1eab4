package processtest

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// recoveryLimit is the longest time that the settings allow until calls are served
// again after a link to an engine started to drop all bytes. A VM may send work to
// the engine until its view of it expires. That work then waits for the time-out
// between two bytes, for the first byte of three resumes and for a cancel. One more
// second allows for the caller's retry delays and the answer.
const recoveryLimit = maxViewAge + betweenBytesTimeout + 3*firstByteTimeout + cancelTimeout + time.Second

// cancelTimeout is the dispatcher's time-out for a cancel request.
const cancelTimeout = 2 * time.Second

var _ = Describe("a link that drops all bytes", func() {
	// Guards against calls that hang on a half-open connection, and against a VM
	// that serves without the store.
	It("to an engine or to the store neither loses nor mixes up answers", func(ctx SpecContext) {
		var engines []*tcpProxy
		var store *tcpProxy
		proxyEngine := func(address string) string {
			engines = append(engines, newTCPProxy(address))
			return engines[len(engines)-1].address
		}
		d := deploy(ctx, topology{vms: 3, proxyEngine: proxyEngine, proxyStore: func(i int, address string) string {
			if i == 2 {
				store = newTCPProxy(address)
				return store.address
			}
			return address
		}})
		third := d.vms[2]
		o := newOracle(d)
		chatPrograms, filePrograms := programNames("chats", 8), programNames("cut", 4)
		chatCalls, fileCalls := newLoad(o, completionOperation), newLoad(o, filePermit)
		fileCalls.replaceIfNotRun = true
		chatCalls.start(ctx, chatPrograms)
		fileCalls.start(ctx, filePrograms)
		Eventually(ctx, o.completionCount).Should(BeNumerically(">", 100))

		By("dropping all bytes to an engine")
		engines[0].blackhole.Store(true)
		Eventually(ctx, engines[0].droppedBytes.Load).Should(BeNumerically(">", 0))
		silencedAt := time.Now()
		_, lastChatRecovery := waitForRecovery(ctx, o, silencedAt, chatPrograms)
		engines[0].blackhole.Store(false)
		reportMeasurement("served_again_after_silent_engine_link_ms=%d", lastChatRecovery.Milliseconds())

		By("dropping all bytes between a VM and the store")
		store.blackhole.Store(true)
		silencedAt = time.Now()
		_, lastFileRecovery := waitForRecovery(ctx, o, silencedAt.Add(failureDetectionTime), filePrograms)
		store.blackhole.Store(false)
		reportMeasurement("served_again_after_silent_store_link_ms=%d", (lastFileRecovery + failureDetectionTime).Milliseconds())
		Eventually(ctx, func() bool {
			s, err := d.status(ctx, third)
			return err == nil && s.Healthy && s.VmsLive == 3
		}).Should(BeTrue(), "the VM that was disconnected from the store does not serve again")
		chatCalls.stop()
		fileCalls.stop()
		o.verifyAll(ctx)
		Expect(lastChatRecovery).To(BeNumerically("<", recoveryLimit))
		Expect(lastFileRecovery).To(BeNumerically("<", recoveryLimit))
	}, SpecTimeout(specTimeout))
})
