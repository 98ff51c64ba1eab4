package processtest

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// storeStats are the counts of the stand-in for the store.
type storeStats struct {
	Reads  int `json:"reads"`
	Writes int `json:"writes"`
	at     time.Time
}

func (d *deployment) storeStats() storeStats {
	GinkgoHelper()
	var s storeStats
	Expect(fetch(d.storeAddress(), "/standin/stats", &s)).To(Succeed())
	s.at = time.Now()
	return s
}

// callWrites is the number of transactions of a filing: its start, its intent and
// its answer. One more is for races between VMs and attempts that fail.
const callWrites = 3 + 1

var _ = Describe("1,000 calls", func() {
	// Guards against more calls of the store for each call than the design has.
	It("take a few transactions each", func(ctx SpecContext) {
		d := deploy(ctx, shape{vms: 3})
		idle := d.storeStats()
		window := timers.After(2 * time.Second)
		<-window.C
		before := d.storeStats()
		o := newOracle(d)
		var loads []*load
		for prefix, operation := range map[string]string{"files": filing, "asks": lookUp} {
			l := newLoad(o, operation)
			l.start(ctx, names(prefix, 20))
			loads = append(loads, l)
		}
		Eventually(ctx, o.count).Should(BeNumerically(">=", 1000))
		for _, l := range loads {
			l.stop()
		}
		after := d.storeStats()
		calls := float64(o.count())
		elapsed := after.at.Sub(before.at)
		part := elapsed.Seconds() / before.at.Sub(idle.at).Seconds()
		per := func(idle, before, after int) float64 {
			return (float64(after-before) - part*float64(before-idle)) / calls
		}
		writes := per(idle.Writes, before.Writes, after.Writes)
		measured("transactions_per_call=%.2f reads=%.2f in %d ms", writes, per(idle.Reads, before.Reads, after.Reads), elapsed.Milliseconds())
		o.check(ctx)
		Expect(writes).To(BeNumerically("<=", callWrites))
	}, SpecTimeout(caseLimit))
})
