package processtest

import (
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// takeoverLimit is far above the lease, the margin and a load of shards; a
// caller's client tries for about 10 s.
const takeoverLimit = 10 * time.Second

var _ = Describe("an owner that is killed while filings run", func() {
	// Guards against filings that run twice and histories that are lost when
	// another VM takes over.
	It("is replaced, and no filing runs twice", func(ctx SpecContext) {
		d := deploy(ctx, shape{vms: 3})
		victim := d.vms[1]
		o := newOracle(d)
		filings, lookUps := newLoad(o, filing), newLoad(o, lookUp)
		filings.start(ctx, d.ownedBy(ctx, "mine", 8, victim))
		asking := d.ownedBy(ctx, "asks", 4, victim)
		lookUps.start(ctx, asking)
		other := newLoad(o, filing)
		other.start(ctx, d.ownedBy(ctx, "other", 4, d.others(victim)...))
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

var _ = Describe("an owner that is frozen beyond its lease", func() {
	// Guards against a woken process that goes on as if it still owned its
	// programs.
	It("runs nothing again, tells no untrue refusal and joins again", func(ctx SpecContext) {
		d := deploy(ctx, shape{vms: 3})
		victim := d.vms[1]
		before, err := d.status(ctx, victim)
		Expect(err).NotTo(HaveOccurred())
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
		staying.start(ctx, d.ownedBy(ctx, "stay", 4, victim))
		moving := newLoad(o, filing)
		moving.via = func(caller, try int) *vm { return d.others(victim)[(caller+try)%2] }
		moving.start(ctx, d.ownedBy(ctx, "move", 4, victim))
		Eventually(ctx, o.count).Should(BeNumerically(">", 100))

		By("freezing the owner")
		victim.freeze()
		frozen := time.Now()
		Eventually(ctx, func() bool {
			for _, owner := range d.assignment(ctx).Owners {
				if string(owner.VM) == victim.name {
					return false
				}
			}
			return true
		}).Should(BeTrue(), "no takeover")
		By("calls are served elsewhere")
		Eventually(ctx, func() int { return o.since(frozen.Add(lease)) }).Should(BeNumerically(">", 50))
		By("waking it")
		victim.thaw()
		Eventually(ctx, func() bool {
			s, err := d.status(ctx, victim)
			return err == nil && s.Incarnation > before.Incarnation && s.ShardsServing > 0
		}).Should(BeTrue(), "the woken VM does not serve again")
		By("calls go on")
		thawed := time.Now()
		Eventually(ctx, func() int { return o.since(thawed) }).Should(BeNumerically(">", 50))
		staying.stop()
		moving.stop()
		o.check(ctx)
	}, SpecTimeout(caseLimit))
})
