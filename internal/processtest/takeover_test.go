package processtest

import (
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// takeoverLimit bounds the time until another VM serves a call whose VM was
// killed. A client retries for about 10 s.
const takeoverLimit = 10 * time.Second

var _ = Describe("a VM that is killed while file operations run", func() {
	// Guards against file operations that run twice and histories that are lost
	// when other VMs take over.
	It("only delays its calls, and no file operation runs twice", func(ctx SpecContext) {
		d := deploy(ctx, topology{vms: 3})
		victim := d.vms[1]
		o := newOracle(d)
		fileCalls, lookUpCalls := newLoad(o, filePermit), newLoad(o, lookUpOperation)
		fileCalls.start(ctx, programNames("mine", 8))
		lookUpPrograms := programNames("asks", 4)
		lookUpCalls.start(ctx, lookUpPrograms)
		otherFileCalls := newLoad(o, filePermit)
		otherFileCalls.start(ctx, programNames("other", 4))
		Eventually(ctx, o.completionCount).Should(BeNumerically(">", 100))

		victim.kill()
		killed := time.Now()
		var times []time.Duration
		for _, name := range lookUpPrograms {
			Eventually(ctx, func() bool { _, ok := o.firstCompletionAfter(name, killed); return ok }).Should(BeTrue())
			took, _ := o.firstCompletionAfter(name, killed)
			times = append(times, took)
		}
		fileCalls.stop()
		lookUpCalls.stop()
		otherFileCalls.stop()
		slices.Sort(times)
		reportMeasurement("takeover_ms=%d max=%d", times[len(times)/2].Milliseconds(), times[len(times)-1].Milliseconds())
		o.verifyAll(ctx)
		Expect(times[len(times)-1]).To(BeNumerically("<", takeoverLimit))
	}, SpecTimeout(specTimeout))
})

var _ = Describe("a VM that is frozen until the others consider it dead", func() {
	// Guards against a resumed process that continues calls which other VMs have
	// taken over.
	It("repeats no call, reports no executed call as not run and serves again", func(ctx SpecContext) {
		d := deploy(ctx, topology{vms: 3})
		victim := d.vms[1]
		o := newOracle(d)
		// These callers send every second attempt to the frozen VM, so that requests
		// are pending when it resumes.
		frozenVMCalls := newLoad(o, filePermit)
		frozenVMCalls.replaceIfNotRun = true
		frozenVMCalls.selectVM = func(caller, try int) *vm {
			if try%2 == 0 {
				return victim
			}
			return d.vms[(caller+try)%len(d.vms)]
		}
		frozenVMCalls.start(ctx, programNames("stay", 4))
		failoverCalls := newLoad(o, filePermit)
		failoverCalls.selectVM = func(caller, try int) *vm { return d.otherVMs(victim)[(caller+try)%2] }
		failoverCalls.start(ctx, programNames("move", 4))
		Eventually(ctx, o.completionCount).Should(BeNumerically(">", 100))

		By("freezing the VM")
		victim.freeze()
		frozen := time.Now()
		Eventually(ctx, func() int64 {
			s, err := d.status(ctx, d.vms[0])
			if err != nil {
				return 0
			}
			return int64(s.VmsLive)
		}).Should(BeEquivalentTo(2), "the VM is still listed")
		By("waiting until other VMs serve calls")
		Eventually(ctx, func() int { return o.completionsSince(frozen.Add(failureDetectionTime)) }).Should(BeNumerically(">", 20))
		By("resuming the VM")
		victim.thaw()
		Eventually(ctx, func() bool {
			s, err := d.status(ctx, victim)
			return err == nil && s.Healthy && s.VmsLive == 3
		}).Should(BeTrue(), "the resumed VM does not serve again")
		By("waiting for further calls")
		thawed := time.Now()
		Eventually(ctx, func() int { return o.completionsSince(thawed) }).Should(BeNumerically(">", 50))
		frozenVMCalls.stop()
		failoverCalls.stop()
		o.verifyAll(ctx)
	}, SpecTimeout(specTimeout))
})
