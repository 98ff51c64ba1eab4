package processtest

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// platformStats are the counts of the platform stand-in.
type platformStats struct {
	Reads          int `json:"reads"`
	Writes         int `json:"writes"`
	ObjectsRead    int `json:"objects_read"`
	ObjectsWritten int `json:"objects_written"`
	Refused        int `json:"refused"`
	at             time.Time
}

func (d *deployment) platformStats() platformStats {
	GinkgoHelper()
	var s platformStats
	Expect(fetch(d.platform.addresses("objects")[0], "/standin/stats", &s)).To(Succeed())
	s.at = time.Now()
	return s
}

var _ = Describe("1,000 calls", func() {
	// Guards against a write to the platform for each call, and a platform that
	// is used beyond its limits.
	It("share the writes to the platform", func(ctx SpecContext) {
		d := deploy(ctx, shape{vms: 3})
		idle := d.platformStats()
		window := timers.After(2 * time.Second)
		<-window.C
		before := d.platformStats()
		o := newOracle(d)
		var loads []*load
		for prefix, operation := range map[string]string{"files": filing, "asks": lookUp} {
			l := newLoad(o, operation)
			l.start(ctx, d.ownedBy(ctx, prefix, 20, d.vms...))
			loads = append(loads, l)
		}
		Eventually(ctx, o.count).Should(BeNumerically(">=", 1000))
		for _, l := range loads {
			l.stop()
		}
		after := d.platformStats()
		calls := float64(o.count())
		elapsed := after.at.Sub(before.at)
		part := elapsed.Seconds() / before.at.Sub(idle.at).Seconds()
		per := func(idle, before, after int) int {
			return int((float64(after-before) - part*float64(before-idle)) * 1000 / calls)
		}
		measured("platform_writes_per_1000_calls=%d reads=%d objects_written=%d objects_read=%d in %d ms",
			per(idle.Writes, before.Writes, after.Writes), per(idle.Reads, before.Reads, after.Reads),
			per(idle.ObjectsWritten, before.ObjectsWritten, after.ObjectsWritten),
			per(idle.ObjectsRead, before.ObjectsRead, after.ObjectsRead), elapsed.Milliseconds())
		o.check(ctx)
		Expect(after.Refused).To(BeZero(), "the platform refused requests beyond its limits")
		// Each VM commits at most once per spacing; checkpoints of shards add a
		// row each to a commit.
		commits := int(elapsed/batchSpacing) * len(d.vms)
		Expect(after.Writes - before.Writes).To(BeNumerically("<=", commits+shards))
	}, SpecTimeout(caseLimit))
})
