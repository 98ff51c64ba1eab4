package processtest

import (
	"context"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sassafrasspur/sassafrasspur/internal/failure"
)

// outage is the length of the longer outage, above the time after which a VM
// whose row is not renewed is taken for gone.
const outage = 15 * time.Second

// expectRefusals waits until no VM's configuration is fresh, after which new calls
// must be refused, and then sends one new call to each.
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
		probe := newLoad(o, filing).caller(0, program)
		id := fmt.Sprintf("%s-probe-%d", program, i)
		refused := probe.sendAt(ctx, v, 1, id, true)
		Expect(refused).NotTo(BeNil(), "a call was served by %s without the platform", v.name)
		Expect(refused.NotRun || refused.Kind == failure.NotDurable).To(BeTrue(), "%s answered %v", v.name, refused)
		o.refuse(program+"/"+id, refused)
		if refused.NotRun {
			o.mark(o.withdrawn, program+"/"+id)
		}
	}
}

// recovery waits until each program of some callers was served again and
// returns how long the first and the last one took.
func recovery(ctx context.Context, o *oracle, since time.Time, names []string) (first, last time.Duration) {
	GinkgoHelper()
	for _, name := range names {
		Eventually(ctx, func() bool { _, ok := o.firstAfter(name, since); return ok }).Should(BeTrue(), name+" is not served again")
		took, _ := o.firstAfter(name, since)
		if first == 0 || took < first {
			first = took
		}
		last = max(last, took)
	}
	return first, last
}

var _ = Describe("an outage of the store", func() {
	// Guards against answers that are told complete without being durable, and
	// against nodes that do not come back by themselves.
	It("loses nothing that was told complete, and ends by itself", func(ctx SpecContext) {
		d := deploy(ctx, shape{vms: 3})
		o := newOracle(d)
		filings := newLoad(o, filing)
		filings.renews = true
		filings.start(ctx, names("files", 6))
		asking := names("asks", 6)
		lookUps, engines := newLoad(o, lookUp), newLoad(o, completionOperation)
		lookUps.start(ctx, asking)
		engines.start(ctx, names("chats", 3))
		newLoad(o, filing).caller(0, "probe-outage").open(ctx)
		Eventually(ctx, o.count).Should(BeNumerically(">", 50))

		By("losing answers of writes")
		lost := time.Now()
		d.storeFaults(map[string]any{"lose_answers": 20})
		Eventually(ctx, func() int { return o.since(lost) }).Should(BeNumerically(">", 100))

		By("the outage")
		d.storeFaults(map[string]any{"outage": true})
		length := timers.After(outage)
		d.expectRefusals(ctx, o, "probe-outage", d.vms)
		refused := time.Now()
		<-length.C
		Expect(o.since(refused)).To(BeZero(), "calls were told complete without the platform")
		d.storeFaults(map[string]any{"outage": false})
		restored := time.Now()
		first, last := recovery(ctx, o, restored, asking)
		measured("recovery_after_outage_ms=%d max=%d", first.Milliseconds(), last.Milliseconds())
		filings.stop()
		lookUps.stop()
		engines.stop()
		o.check(ctx)
		d.settle(ctx)
	}, SpecTimeout(caseLimit))

	// Guards against losses when a VM dies while its last writes are uncertain.
	It("together with lost answers and a killed VM loses nothing either", func(ctx SpecContext) {
		d := deploy(ctx, shape{vms: 3})
		victim := d.vms[1]
		o := newOracle(d)
		filings, lookUps := newLoad(o, filing), newLoad(o, lookUp)
		filings.renews = true
		filings.start(ctx, names("files", 8))
		asking := names("asks", 4)
		lookUps.start(ctx, asking)
		newLoad(o, filing).caller(0, "probe-kill").open(ctx)
		Eventually(ctx, o.count).Should(BeNumerically(">", 50))

		d.storeFaults(map[string]any{"outage": true, "lose_answers": 3})
		victim.kill()
		d.expectRefusals(ctx, o, "probe-kill", d.others(victim))
		d.storeFaults(map[string]any{"outage": false, "lose_answers": 3})
		restored := time.Now()
		_, last := recovery(ctx, o, restored, asking)
		measured("recovery_after_outage_and_kill_ms=%d", last.Milliseconds())
		filings.stop()
		lookUps.stop()
		o.check(ctx)
	}, SpecTimeout(caseLimit))
})
