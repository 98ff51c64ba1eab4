package processtest

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sassafrasspur/sassafrasspur/internal/failure"
)

// inForceLimit is the design's bound on the time until an accepted
// configuration is in force everywhere.
const inForceLimit = 7 * time.Second

func weights(n int) string {
	return fmt.Sprintf("[[intent]]\nkind = \"set_weights\"\nrecomputed_token = %d\ntransferred_kilobyte = 1\n", n+1)
}

// versions watches the configuration version of every VM.
type versions struct {
	mu     sync.Mutex
	seen   map[string]uint64
	fallen []string
}

// observe takes what a VM shows. A VM that has read no configuration yet shows
// version 0 and must not do new work.
func (w *versions) observe(ctx context.Context, d *deployment, v *vm) {
	s, err := d.status(ctx, v)
	if err != nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case s.ConfigurationVersion == 0 && s.ConfigurationFresh:
		w.fallen = append(w.fallen, v.name+" works without a configuration")
	case s.ConfigurationVersion == 0:
	case s.ConfigurationVersion < w.seen[v.name]:
		w.fallen = append(w.fallen, fmt.Sprintf("%s went from version %d to %d", v.name, w.seen[v.name], s.ConfigurationVersion))
	default:
		w.seen[v.name] = s.ConfigurationVersion
	}
}

// lowest returns the lowest version that the VMs showed last.
func (w *versions) lowest(vms []*vm) uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	lowest := w.seen[vms[0].name]
	for _, v := range vms {
		lowest = min(lowest, w.seen[v.name])
	}
	return lowest
}

// watch reads all VMs until the case ends.
func (w *versions) watch(ctx context.Context, d *deployment) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	var readers sync.WaitGroup
	for _, v := range d.vms {
		readers.Go(func() {
			for ctx.Err() == nil {
				w.observe(ctx, d, v)
				pause := timers.After(often)
				<-pause.C
			}
		})
	}
	return func() {
		cancel()
		readers.Wait()
	}
}

// race lets two operators confirm plans of the same base at two VMs.
func (d *deployment) race(ctx context.Context, a, b *vm, round int) (won int, lost []error) {
	GinkgoHelper()
	var plans []string
	for i, v := range []*vm{a, b} {
		plan, err := at(operatorToken, v).CreatePlan(ctx, weights(100+2*round+i))
		Expect(err).NotTo(HaveOccurred())
		plans = append(plans, plan.Plan)
	}
	results := make([]error, 2)
	var operators sync.WaitGroup
	for i, v := range []*vm{a, b} {
		operators.Go(func() { _, results[i] = at(operatorToken, v).ConfirmPlan(ctx, plans[i]) })
	}
	operators.Wait()
	for _, err := range results {
		if err == nil {
			won++
		} else {
			lost = append(lost, err)
		}
	}
	return won, lost
}

var _ = Describe("a confirmed configuration", func() {
	// Guards against VMs that keep an old configuration or go back to one.
	It("is in force on 12 VMs in time and never replaced by an older one", func(ctx SpecContext) {
		d := deploy(ctx, shape{vms: 12})
		w := &versions{seen: map[string]uint64{}}
		stop := w.watch(ctx, d)
		var times []time.Duration
		for i := range 10 {
			plan, err := at(operatorToken, d.vms[i]).CreatePlan(ctx, weights(i))
			Expect(err).NotTo(HaveOccurred())
			confirming := time.Now()
			confirmed, err := at(operatorToken, d.vms[(i+5)%12]).ConfirmPlan(ctx, plan.Plan)
			Expect(err).NotTo(HaveOccurred())
			if i == 5 {
				d.vms[11].kill()
				d.vms[11].run()
			}
			Eventually(ctx, func() uint64 { return w.lowest(d.vms) }).Should(BeNumerically(">=", confirmed.NewVersion))
			times = append(times, time.Since(confirming))
		}
		slices.Sort(times)
		measured("configuration_in_force_ms median=%d max=%d", times[5].Milliseconds(), times[9].Milliseconds())
		Expect(times[9]).To(BeNumerically("<=", inForceLimit))

		By("operators that race")
		for round := range 5 {
			won, lost := d.race(ctx, d.vms[round], d.vms[round+6], round)
			Expect(won).To(Equal(1), "confirmations that won; the others: %v", lost)
			Expect(errors.Is(lost[0], failure.PlanStale)).To(BeTrue(), "%v", lost)
		}
		stop()
		Expect(w.fallen).To(BeEmpty())
	}, SpecTimeout(caseLimit))
})
