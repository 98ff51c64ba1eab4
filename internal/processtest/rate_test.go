package processtest

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// storeStats holds the request counters of the stand-in for the store.
type storeStats struct {
	Reads  int `json:"reads"`
	Writes int `json:"writes"`
	at     time.Time
}

func (d *deployment) storeStats() storeStats {
	GinkgoHelper()
	var s storeStats
	Expect(getJSON(d.storeAddress(), "/standin/stats", &s)).To(Succeed())
	s.at = time.Now()
	return s
}

// maxWritesPerCall is the number of transactions of a call that must not be
// repeated: its start, its intent and its answer. One more allows for conflicts
// between VMs and failed attempts.
const maxWritesPerCall = 3 + 1

var _ = Describe("1,000 calls", func() {
	// Guards against more store transactions per call than the design allows.
	It("take at most a few store transactions each", func(ctx SpecContext) {
		d := deploy(ctx, topology{vms: 3})
		idle := d.storeStats()
		window := timers.After(2 * time.Second)
		<-window.C
		before := d.storeStats()
		o := newOracle(d)
		var loads []*load
		for prefix, operation := range map[string]string{"files": filePermit, "asks": lookUpOperation} {
			l := newLoad(o, operation)
			l.start(ctx, programNames(prefix, 20))
			loads = append(loads, l)
		}
		Eventually(ctx, o.completionCount).Should(BeNumerically(">=", 1000))
		for _, l := range loads {
			l.stop()
		}
		after := d.storeStats()
		calls := float64(o.completionCount())
		elapsed := after.at.Sub(before.at)
		idleFactor := elapsed.Seconds() / before.at.Sub(idle.at).Seconds()
		per := func(idle, before, after int) float64 {
			return (float64(after-before) - idleFactor*float64(before-idle)) / calls
		}
		writes := per(idle.Writes, before.Writes, after.Writes)
		reportMeasurement("transactions_per_call=%.2f reads=%.2f in %d ms", writes, per(idle.Reads, before.Reads, after.Reads), elapsed.Milliseconds())
		o.verifyAll(ctx)
		Expect(writes).To(BeNumerically("<=", maxWritesPerCall))
	}, SpecTimeout(specTimeout))
})
