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

// rolloutLimit is the bound that the design sets on the time until a confirmed
// configuration is in force on all VMs.
const rolloutLimit = 7 * time.Second

func weightsIntent(n int) string {
	return fmt.Sprintf("[[intent]]\nkind = \"set_weights\"\nrecomputed_token = %d\ntransferred_kilobyte = 1\n", n+1)
}

// versionMonitor tracks the configuration version that each VM reports.
type versionMonitor struct {
	mu                sync.Mutex
	latestVersions    map[string]uint64
	versionViolations []string
}

// observe reads the status of a VM. A VM that has not read a configuration yet
// reports version 0 and must not accept new work.
func (w *versionMonitor) observe(ctx context.Context, d *deployment, v *vm) {
	s, err := d.status(ctx, v)
	if err != nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case s.ConfigurationVersion == 0 && s.ConfigurationFresh:
		w.versionViolations = append(w.versionViolations, v.name+" accepts work without a configuration")
	case s.ConfigurationVersion == 0:
	case s.ConfigurationVersion < w.latestVersions[v.name]:
		w.versionViolations = append(w.versionViolations, fmt.Sprintf("%s went from version %d to %d", v.name, w.latestVersions[v.name], s.ConfigurationVersion))
	default:
		w.latestVersions[v.name] = s.ConfigurationVersion
	}
}

// lowest returns the lowest of the versions last reported by the given VMs.
func (w *versionMonitor) lowest(vms []*vm) uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	lowest := w.latestVersions[vms[0].name]
	for _, v := range vms {
		lowest = min(lowest, w.latestVersions[v.name])
	}
	return lowest
}

// watch polls all VMs until stop is called or ctx is done.
func (w *versionMonitor) watch(ctx context.Context, d *deployment) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	var readers sync.WaitGroup
	for _, v := range d.vms {
		readers.Go(func() {
			for ctx.Err() == nil {
				w.observe(ctx, d, v)
				pause := timers.After(pollInterval)
				<-pause.C
			}
		})
	}
	return func() {
		cancel()
		readers.Wait()
	}
}

// confirmConcurrently confirms two plans with the same base version at two VMs at
// the same time.
func (d *deployment) confirmConcurrently(ctx context.Context, a, b *vm, round int) (successes int, rejections []error) {
	GinkgoHelper()
	var plans []string
	for i, v := range []*vm{a, b} {
		plan, err := clientFor(operatorToken, v).CreatePlan(ctx, weightsIntent(100+2*round+i))
		Expect(err).NotTo(HaveOccurred())
		plans = append(plans, plan.Plan)
	}
	results := make([]error, 2)
	var operators sync.WaitGroup
	for i, v := range []*vm{a, b} {
		operators.Go(func() { _, results[i] = clientFor(operatorToken, v).ConfirmPlan(ctx, plans[i]) })
	}
	operators.Wait()
	for _, err := range results {
		if err == nil {
			successes++
		} else {
			rejections = append(rejections, err)
		}
	}
	return successes, rejections
}

var _ = Describe("a confirmed configuration", func() {
	// Guards against VMs that keep an old configuration or revert to one.
	It("takes effect on 12 VMs in time and is never replaced by an older one", func(ctx SpecContext) {
		d := deploy(ctx, topology{vms: 12})
		w := &versionMonitor{latestVersions: map[string]uint64{}}
		stop := w.watch(ctx, d)
		var times []time.Duration
		for i := range 10 {
			plan, err := clientFor(operatorToken, d.vms[i]).CreatePlan(ctx, weightsIntent(i))
			Expect(err).NotTo(HaveOccurred())
			confirming := time.Now()
			confirmed, err := clientFor(operatorToken, d.vms[(i+5)%12]).ConfirmPlan(ctx, plan.Plan)
			Expect(err).NotTo(HaveOccurred())
			if i == 5 {
				d.vms[11].kill()
				d.vms[11].startProcess()
			}
			Eventually(ctx, func() uint64 { return w.lowest(d.vms) }).Should(BeNumerically(">=", confirmed.NewVersion))
			times = append(times, time.Since(confirming))
		}
		slices.Sort(times)
		reportMeasurement("configuration_in_force_ms median=%d max=%d", times[5].Milliseconds(), times[9].Milliseconds())
		Expect(times[9]).To(BeNumerically("<=", rolloutLimit))

		By("confirming plans concurrently")
		for round := range 5 {
			successes, rejections := d.confirmConcurrently(ctx, d.vms[round], d.vms[round+6], round)
			Expect(successes).To(Equal(1), "successful confirmations; errors of the others: %v", rejections)
			Expect(errors.Is(rejections[0], failure.PlanStale)).To(BeTrue(), "%v", rejections)
		}
		stop()
		Expect(w.versionViolations).To(BeEmpty())
	}, SpecTimeout(specTimeout))
})
