package processtest

import (
	"context"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sassafrasspur/sassafrasspur/internal/failure"
)

// outageDuration is the length of the store outage. It exceeds the time after
// which a VM that does not renew its row is considered dead.
const outageDuration = 15 * time.Second

// expectRefusals waits until no VM has a fresh configuration and checks that each
// VM then refuses a new call.
func (d *deployment) expectRefusals(ctx context.Context, o *oracle, program string, vms []*vm) {
	GinkgoHelper()
	Eventually(ctx, func() error {
		for _, v := range vms {
			s, err := d.status(ctx, v)
			if err != nil {
				return err
			}
			if s.ConfigurationFresh {
				return fmt.Errorf("%s has a fresh configuration", v.name)
			}
		}
		return nil
	}).Should(Succeed())
	for i, v := range vms {
		probe := newLoad(o, filePermit).caller(0, program)
		id := fmt.Sprintf("%s-probe-%d", program, i)
		refused := probe.sendVia(ctx, v, 1, id, true)
		Expect(refused).NotTo(BeNil(), "%s served a call without the platform", v.name)
		Expect(refused.NotRun || refused.Kind == failure.NotDurable).To(BeTrue(), "%s answered %v", v.name, refused)
		o.recordError(program+"/"+id, refused)
		if refused.NotRun {
			o.markCall(o.abandonedCalls, program+"/"+id)
		}
	}
}

// waitForRecovery waits until a call of every given program has completed since a
// given time. It returns the delays of the first and the last program.
func waitForRecovery(ctx context.Context, o *oracle, since time.Time, names []string) (first, last time.Duration) {
	GinkgoHelper()
	for _, name := range names {
		Eventually(ctx, func() bool { _, ok := o.firstCompletionAfter(name, since); return ok }).Should(BeTrue(), name+" is not served again")
		took, _ := o.firstCompletionAfter(name, since)
		if first == 0 || took < first {
			first = took
		}
		last = max(last, took)
	}
	return first, last
}

var _ = Describe("an outage of the store", func() {
	// Guards against answers that are reported complete before they are durable,
	// and against VMs that do not recover without intervention.
	It("loses no completed call, and VMs recover by themselves", func(ctx SpecContext) {
		d := deploy(ctx, topology{vms: 3})
		o := newOracle(d)
		fileCalls := newLoad(o, filePermit)
		fileCalls.replaceIfNotRun = true
		fileCalls.start(ctx, programNames("files", 6))
		lookUpPrograms := programNames("asks", 6)
		lookUpCalls, engines := newLoad(o, lookUpOperation), newLoad(o, completionOperation)
		lookUpCalls.start(ctx, lookUpPrograms)
		engines.start(ctx, programNames("chats", 3))
		newLoad(o, filePermit).caller(0, "probe-outage").open(ctx)
		Eventually(ctx, o.completionCount).Should(BeNumerically(">", 50))

		By("losing responses to writes")
		lost := time.Now()
		d.setStoreFaults(map[string]any{"lose_answers": 20})
		Eventually(ctx, func() int { return o.completionsSince(lost) }).Should(BeNumerically(">", 100))

		By("stopping the store")
		d.setStoreFaults(map[string]any{"outage": true})
		length := timers.After(outageDuration)
		d.expectRefusals(ctx, o, "probe-outage", d.vms)
		refused := time.Now()
		<-length.C
		Expect(o.completionsSince(refused)).To(BeZero(), "calls were reported complete without the platform")
		d.setStoreFaults(map[string]any{"outage": false})
		restored := time.Now()
		first, last := waitForRecovery(ctx, o, restored, lookUpPrograms)
		reportMeasurement("recovery_after_outage_ms=%d max=%d", first.Milliseconds(), last.Milliseconds())
		fileCalls.stop()
		lookUpCalls.stop()
		engines.stop()
		o.verifyAll(ctx)
		d.waitUntilReady(ctx)
	}, SpecTimeout(specTimeout))

	// Guards against lost calls when a VM dies while the outcome of its last writes
	// is unknown.
	It("combined with lost responses and a killed VM loses no completed call", func(ctx SpecContext) {
		d := deploy(ctx, topology{vms: 3})
		victim := d.vms[1]
		o := newOracle(d)
		fileCalls, lookUpCalls := newLoad(o, filePermit), newLoad(o, lookUpOperation)
		fileCalls.replaceIfNotRun = true
		fileCalls.start(ctx, programNames("files", 8))
		lookUpPrograms := programNames("asks", 4)
		lookUpCalls.start(ctx, lookUpPrograms)
		newLoad(o, filePermit).caller(0, "probe-kill").open(ctx)
		Eventually(ctx, o.completionCount).Should(BeNumerically(">", 50))

		d.setStoreFaults(map[string]any{"outage": true, "lose_answers": 3})
		victim.kill()
		d.expectRefusals(ctx, o, "probe-kill", d.otherVMs(victim))
		d.setStoreFaults(map[string]any{"outage": false, "lose_answers": 3})
		restored := time.Now()
		_, last := waitForRecovery(ctx, o, restored, lookUpPrograms)
		reportMeasurement("recovery_after_outage_and_kill_ms=%d", last.Milliseconds())
		fileCalls.stop()
		lookUpCalls.stop()
		o.verifyAll(ctx)
	}, SpecTimeout(specTimeout))
})
