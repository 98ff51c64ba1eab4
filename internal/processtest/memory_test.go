package processtest

import (
	"context"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// resident returns the programs in the memory of all engines.
func (d *deployment) resident() []string {
	GinkgoHelper()
	var all []string
	for _, address := range d.engines.addresses("engine") {
		var c struct {
			Programs []struct{ Program string }
		}
		Expect(fetch(address, "/cache/programs", &c)).To(Succeed())
		for _, p := range c.Programs {
			all = append(all, p.Program)
		}
	}
	slices.Sort(all)
	return all
}

func (d *deployment) silence(on bool) {
	GinkgoHelper()
	for _, address := range d.engines.addresses("engine") {
		faults(address, map[string]any{"silent": on})
	}
}

// end ends a program through any VM.
func (d *deployment) end(ctx context.Context, program string) {
	GinkgoHelper()
	Eventually(ctx, func() error {
		_, err := at(callerToken, d.vms...).End(ctx, program)
		return err
	}).Should(Succeed(), "end "+program)
}

var _ = Describe("a program that ends while its engine is silent", func() {
	// Guards against engine memory that stays allocated because a release was
	// lost, or because the VM that wanted it died.
	It("is released when the engine answers again", func(ctx SpecContext) {
		d := deploy(ctx, shape{vms: 3, views: 2 * time.Second})
		victim := d.vms[2]
		o := newOracle(d)
		l := newLoad(o, completionOperation)
		ending := names("ends", 2)
		orphaned := names("orphan", 2)
		kept := names("kept", 1)
		all := slices.Concat(ending, kept, orphaned)
		for i, program := range all {
			c := l.caller(i, program)
			c.open(ctx)
			Expect(c.call(ctx, 1)).To(BeTrue())
		}
		slices.Sort(all)
		Expect(slices.Compact(d.resident())).To(Equal(all))

		d.silence(true)
		for _, program := range slices.Concat(ending, orphaned) {
			d.end(ctx, program)
		}
		victim.kill()
		d.vms = d.others(victim)
		By("waiting until the engines count as unknown")
		Eventually(ctx, func() int {
			s, err := d.status(ctx, d.vms[0])
			Expect(err).NotTo(HaveOccurred())
			return s.UpstreamsUsable
		}).Should(Equal(2))
		d.silence(false)
		Eventually(ctx, d.resident).Should(Equal(kept))
		o.check(ctx)
	}, SpecTimeout(caseLimit))
})
