package processtest

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// callerDelay is the time that a caller's own process may take between looking
// at the age of an address and connecting.
const callerDelay = 50 * time.Millisecond

// holding returns a choice of VMs for callers that keep an address for the
// whole retention and then ask again. They prefer one VM as long as the answers
// have it.
func (d *deployment) holding(ctx context.Context, callers int, preferred func() *vm) func(caller, try int) *vm {
	type held struct {
		vm      *vm
		askedAt time.Time
	}
	holders := make([]held, callers)
	return func(caller, _ int) *vm {
		h := &holders[caller]
		if h.vm != nil && time.Since(h.askedAt) < retention-callerDelay {
			return h.vm
		}
		h.askedAt = time.Now()
		list, err := at(callerToken, d.vms...).Addresses(ctx, "")
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

// expectServed uses the address of a leaving VM for as long as any answer of the
// other VMs that had it may be kept.
func (d *deployment) expectServed(ctx context.Context, leaving *vm) {
	GinkgoHelper()
	left := time.Now()
	listed := left
	for time.Since(listed) < retention-callerDelay {
		for _, other := range d.others(leaving) {
			asked := time.Now()
			list, err := at(callerToken, other).Addresses(ctx, "")
			Expect(err).NotTo(HaveOccurred())
			for _, a := range list.Addresses {
				if a.Address == leaving.address {
					listed = asked
				}
			}
		}
		_, err := at(operatorToken, leaving).Status(ctx)
		Expect(err).NotTo(HaveOccurred(), "%s did not answer %s after SIGTERM and %s after its address was last given", leaving.name, time.Since(left), time.Since(listed))
		pause := timers.After(often)
		<-pause.C
	}
}

var _ = Describe("a VM that is asked to leave under load", func() {
	// Guards against requests that are cut, refused or sent to a closed port
	// while VMs are replaced.
	It("interrupts no request, also in a rolling restart", func(ctx SpecContext) {
		d := deploy(ctx, shape{vms: 3})
		var loads []*load
		o := newOracle(d)
		for prefix, operation := range map[string]string{"files": filing, "asks": lookUp, "chats": completionOperation} {
			l := newLoad(o, operation)
			l.via = d.holding(ctx, 6, func() *vm { return d.vms[1] })
			l.start(ctx, names(prefix, 6))
			loads = append(loads, l)
		}
		Eventually(ctx, o.count).Should(BeNumerically(">", 100))
		for _, i := range []int{1, 0, 2} {
			leaving := d.vms[i]
			By("restarting " + leaving.name)
			leaving.leave()
			d.expectServed(ctx, leaving)
			Eventually(ctx, leaving.exited).Should(BeClosed())
			Expect(leaving.code.Load()).To(BeZero(), leaving.name+" cut requests")
			leaving.run()
			d.settle(ctx)
			restarted := time.Now()
			Eventually(ctx, func() int { return o.since(restarted) }).Should(BeNumerically(">", 50))
		}
		for _, l := range loads {
			l.stop()
		}
		o.check(ctx)
		Expect(o.kinds).To(BeEmpty(), "requests failed")
	}, SpecTimeout(caseLimit))
})

// aloneLimit is the longest time that VMs may take to stop together without the
// store.
const aloneLimit = 15 * time.Second

var _ = Describe("all VMs that are asked to leave without the store", func() {
	// Guards against VMs that wait for each other, or for the store, before they
	// stop.
	It("stop soon and cleanly", func(ctx SpecContext) {
		d := deploy(ctx, shape{vms: 3})
		d.store.kill()
		asked := time.Now()
		for _, v := range d.vms {
			v.leave()
		}
		for _, v := range d.vms {
			Eventually(ctx, v.exited).Should(BeClosed())
			Expect(v.code.Load()).To(BeZero(), v.name+" did not stop cleanly")
		}
		took := time.Since(asked)
		measured("stop_without_store_ms=%d", took.Milliseconds())
		Expect(took).To(BeNumerically("<", aloneLimit))
	}, SpecTimeout(caseLimit))
})
