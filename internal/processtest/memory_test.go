package processtest

import (
	"context"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// residentPrograms returns the sorted programs that occupy the memory of engines,
// once for each engine.
func (d *deployment) residentPrograms() []string {
	GinkgoHelper()
	var all []string
	for _, address := range d.engines.addresses("engine") {
		var c struct {
			Programs []struct{ Program string }
		}
		Expect(getJSON(address, "/cache/programs", &c)).To(Succeed())
		for _, p := range c.Programs {
			all = append(all, p.Program)
		}
	}
	slices.Sort(all)
	return all
}

func (d *deployment) setEnginesSilent(on bool) {
	GinkgoHelper()
	for _, address := range d.engines.addresses("engine") {
		setFaults(address, map[string]any{"silent": on})
	}
}

// endProgram ends a program, at any VM that accepts the request.
func (d *deployment) endProgram(ctx context.Context, program string) {
	GinkgoHelper()
	Eventually(ctx, func() error {
		_, err := clientFor(callerToken, d.vms...).End(ctx, program)
		return err
	}).Should(Succeed(), "end "+program)
}

var _ = Describe("a program that ends while its engine is silent", func() {
	// Guards against engine memory that stays allocated because a release request
	// was lost or because the VM that had to send it died.
	It("is released when the engine answers again", func(ctx SpecContext) {
		d := deploy(ctx, topology{vms: 3, maxUpstreamAge: 2 * time.Second})
		victim := d.vms[2]
		o := newOracle(d)
		completionCalls := newLoad(o, completionOperation)
		ending := programNames("ends", 2)
		orphaned := programNames("orphan", 2)
		kept := programNames("kept", 1)
		all := slices.Concat(ending, kept, orphaned)
		for i, program := range all {
			c := completionCalls.caller(i, program)
			c.open(ctx)
			Expect(c.call(ctx, 1)).To(BeTrue())
		}
		slices.Sort(all)
		Expect(slices.Compact(d.residentPrograms())).To(Equal(all))

		d.setEnginesSilent(true)
		for _, program := range slices.Concat(ending, orphaned) {
			d.endProgram(ctx, program)
		}
		victim.kill()
		d.vms = d.otherVMs(victim)
		By("waiting until the engines are no longer usable")
		Eventually(ctx, func() int {
			s, err := d.status(ctx, d.vms[0])
			Expect(err).NotTo(HaveOccurred())
			return s.UpstreamsUsable
		}).Should(Equal(2))
		d.setEnginesSilent(false)
		Eventually(ctx, d.residentPrograms).Should(Equal(kept))
		o.verifyAll(ctx)
	}, SpecTimeout(specTimeout))
})
