package processtest

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// callerDelay is the time that a caller may take between checking the age of an
// address and connecting to it.
const callerDelay = 50 * time.Millisecond

// cachedAddressSelector returns a VM selector for callers that cache an address for
// the whole retention time and then look it up again. They choose the preferred VM
// as long as it is listed.
func (d *deployment) cachedAddressSelector(ctx context.Context, callers int, preferred func() *vm) func(caller, try int) *vm {
	type cachedAddress struct {
		vm      *vm
		askedAt time.Time
	}
	caches := make([]cachedAddress, callers)
	return func(caller, _ int) *vm {
		h := &caches[caller]
		if h.vm != nil && time.Since(h.askedAt) < retention-callerDelay {
			return h.vm
		}
		h.askedAt = time.Now()
		list, err := clientFor(callerToken, d.vms...).Addresses(ctx, "")
		Expect(err).NotTo(HaveOccurred())
		Expect(list.Addresses).NotTo(BeEmpty())
		h.vm = nil
		for _, a := range list.Addresses {
			for _, v := range d.vms {
				if v.address == a.Address && (h.vm == nil || v == preferred()) {
					h.vm = v
				}
			}
		}
		Expect(h.vm).NotTo(BeNil())
		return h.vm
	}
}

// expectServedWhileCached checks that a leaving VM answers for as long as a caller
// may still cache its address from a response of another VM.
func (d *deployment) expectServedWhileCached(ctx context.Context, leaving *vm) {
	GinkgoHelper()
	left := time.Now()
	listed := left
	for time.Since(listed) < retention-callerDelay {
		for _, other := range d.otherVMs(leaving) {
			asked := time.Now()
			list, err := clientFor(callerToken, other).Addresses(ctx, "")
			Expect(err).NotTo(HaveOccurred())
			for _, a := range list.Addresses {
				if a.Address == leaving.address {
					listed = asked
				}
			}
		}
		_, err := clientFor(operatorToken, leaving).Status(ctx)
		Expect(err).NotTo(HaveOccurred(), "%s did not answer %s after SIGTERM and %s after its address was last listed", leaving.name, time.Since(left), time.Since(listed))
		pause := timers.After(pollInterval)
		<-pause.C
	}
}

var _ = Describe("a VM that shuts down under load", func() {
	// Guards against requests that are cut off, refused or sent to a closed port
	// while VMs are restarted.
	It("interrupts no request in a rolling restart", func(ctx SpecContext) {
		d := deploy(ctx, topology{vms: 3})
		var loads []*load
		o := newOracle(d)
		for prefix, operation := range map[string]string{"files": filePermit, "asks": lookUpOperation, "chats": completionOperation} {
			l := newLoad(o, operation)
			l.selectVM = d.cachedAddressSelector(ctx, 6, func() *vm { return d.vms[1] })
			l.start(ctx, programNames(prefix, 6))
			loads = append(loads, l)
		}
		Eventually(ctx, o.completionCount).Should(BeNumerically(">", 100))
		for _, i := range []int{1, 0, 2} {
			leaving := d.vms[i]
			By("restarting " + leaving.name)
			leaving.terminate()
			d.expectServedWhileCached(ctx, leaving)
			Eventually(ctx, leaving.exited).Should(BeClosed())
			Expect(leaving.exitCode.Load()).To(BeZero(), leaving.name+" did not shut down cleanly")
			leaving.startProcess()
			d.waitUntilReady(ctx)
			restarted := time.Now()
			Eventually(ctx, func() int { return o.completionsSince(restarted) }).Should(BeNumerically(">", 50))
		}
		for _, l := range loads {
			l.stop()
		}
		o.verifyAll(ctx)
		Expect(o.errorKinds).To(BeEmpty(), "requests failed")
	}, SpecTimeout(specTimeout))
})

// shutdownWithoutStoreLimit bounds the time for all VMs to shut down at once while
// the store is unreachable.
const shutdownWithoutStoreLimit = 15 * time.Second

var _ = Describe("VMs that all shut down without the store", func() {
	// Guards against VMs that wait for each other or for the store before they
	// exit.
	It("exit cleanly within the limit", func(ctx SpecContext) {
		d := deploy(ctx, topology{vms: 3})
		d.store.kill()
		asked := time.Now()
		for _, v := range d.vms {
			v.terminate()
		}
		for _, v := range d.vms {
			Eventually(ctx, v.exited).Should(BeClosed())
			Expect(v.exitCode.Load()).To(BeZero(), v.name+" did not stop cleanly")
		}
		took := time.Since(asked)
		reportMeasurement("stop_without_store_ms=%d", took.Milliseconds())
		Expect(took).To(BeNumerically("<", shutdownWithoutStoreLimit))
	}, SpecTimeout(specTimeout))
})
