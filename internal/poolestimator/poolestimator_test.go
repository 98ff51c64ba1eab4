package poolestimator_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sassafrasspur/sassafrasspur/internal/goldentest"
	"github.com/sassafrasspur/sassafrasspur/internal/poolestimator"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

// newPool returns a function that plays calls of a pool with the figures of a line:
// tokens per ms, time between events, its growth with the batch, and the share of calls
// that hang.
func newPool() func(line string) string {
	now, e, random := time.Unix(0, 0), poolestimator.New(), rand.New(rand.NewPCG(1, 1))
	return func(line string) string {
		f := goldentest.Parse(line)
		now = now.Add(f.Duration("after"))
		for range f.Int("calls") {
			now = now.Add(50 * time.Millisecond)
			noise := 0.8 + 0.4*random.Float64()
			if random.Float64() < f.Float("hang") {
				noise = 50
			}
			uncached := unit.Tokens(random.IntN(4000))
			load := 10 + 5*float64(int(now.Unix())/10%2)
			if f.Has("stated") {
				e.ObserveFirstEvent(now, unit.Tokens(f.Int("stated")), f.Duration("base"))
				continue
			}
			e.ObserveFirstEvent(now, uncached, f.Duration("base")+time.Duration(noise*float64(uncached)/f.Float("prefill")*1e6))
			interval := time.Duration(float64(f.Duration("interval")) * (1 + f.Float("slope")*load) * noise)
			e.ObserveIntervals(now, interval, load)
			e.ObserveAnswer(now, 20*interval)
		}
		_, known := e.Age(now)
		return fmt.Sprintf("prefill=%.0f first=%s interval=%s slope=%.3f answer=%s known=%t", e.PrefillRate(now),
			e.FirstEvent(now, 1000).Round(time.Millisecond), e.Interval(now).Round(time.Millisecond), e.BatchSlope(now),
			e.Answer(now).Round(time.Millisecond), known)
	}
}

// TestPoolestimator guards against figures of one customer's engines that are used for
// another's, against calls that hang and distort the figures, against callers that state
// absurd sizes of their prompts, and against figures that are used for long after their time.
func TestPoolestimator(t *testing.T) {
	NewWithT(t).Expect(goldentest.Check("testdata/*.txtar", newPool())).To(Succeed())
}
