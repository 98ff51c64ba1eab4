package processtest

import (
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// takeoverLimit is the time after which a call whose VM is gone must be served
// elsewhere; a caller's client tries for about 10 s.
const takeoverLimit = 10 * time.Second

var _ = Describe("a VM that is killed while filings run", func() {
	// Guards against filings that run twice and histories that are lost when
	// other VMs go on.
	It("delays its calls only, and no filing runs twice", func(ctx SpecContext) {
		d := deploy(ctx, shape{vms: 3})
		victim := d.vms[1]
		o := newOracle(d)
		filings, lookUps := newLoad(o, filing), newLoad(o, lookUp)
		filings.start(ctx, names("mine", 8))
		asking := names("asks", 4)
		lookUps.start(ctx, asking)
		other := newLoad(o, filing)
		other.start(ctx, names("other", 4))
		Eventually(ctx, o.count).Should(BeNumerically(">", 100))

		victim.kill()
		killed := time.Now()
		var times []time.Duration
		for _, name := range asking {
			Eventually(ctx, func() bool { _, ok := o.firstAfter(name, killed); return ok }).Should(BeTrue())
			took, _ := o.firstAfter(name, killed)
			times = append(times, took)
		}
		filings.stop()
		lookUps.stop()
		other.stop()
		slices.Sort(times)
		measured("takeover_ms=%d max=%d", times[len(times)/2].Milliseconds(), times[len(times)-1].Milliseconds())
		o.check(ctx)
		Expect(times[len(times)-1]).To(BeNumerically("<", takeoverLimit))
	}, SpecTimeout(caseLimit))
})

var _ = Describe("a VM that is frozen until the others take it for gone", func() {
	// Guards against a woken process that goes on as if nobody had taken its
	// calls over.
	It("runs nothing again, tells no untrue refusal and serves again", func(ctx SpecContext) {
		d := deploy(ctx, shape{vms: 3})
		victim := d.vms[1]
		o := newOracle(d)
		// These callers send every second try to the frozen VM, so that it has
		// requests when it wakes.
		staying := newLoad(o, filing)
		staying.renews = true
		staying.via = func(caller, try int) *vm {
			if try%2 == 0 {
				return victim
			}
			return d.vms[(caller+try)%len(d.vms)]
		}
		staying.start(ctx, names("stay", 4))
		moving := newLoad(o, filing)
		moving.via = func(caller, try int) *vm { return d.others(victim)[(caller+try)%2] }
		moving.start(ctx, names("move", 4))
		Eventually(ctx, o.count).Should(BeNumerically(">", 100))

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
		By("calls are served elsewhere")
		Eventually(ctx, func() int { return o.since(frozen.Add(goneTime)) }).Should(BeNumerically(">", 20))
		By("waking it")
		victim.thaw()
		Eventually(ctx, func() bool {
			s, err := d.status(ctx, victim)
			return err == nil && s.Healthy && s.VmsLive == 3
		}).Should(BeTrue(), "the woken VM does not serve again")
		By("calls go on")
		thawed := time.Now()
		Eventually(ctx, func() int { return o.since(thawed) }).Should(BeNumerically(">", 50))
		staying.stop()
		moving.stop()
		o.check(ctx)
	}, SpecTimeout(caseLimit))
})
