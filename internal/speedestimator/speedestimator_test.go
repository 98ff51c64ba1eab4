package speedestimator_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sassafrasspur/sassafrasspur/internal/goldentest"
	"github.com/sassafrasspur/sassafrasspur/internal/speedestimator"
)

// TestSpeedestimator guards against an engine that keeps its calls for long after it has
// become slow, against one that is left for a single late event, and against one that is
// not tried again or whose usual speed is forgotten after a slow period.
func TestSpeedestimator(t *testing.T) {
	now, e := time.Unix(0, 0), &speedestimator.Estimator{}
	decide := func(line string) string {
		f := goldentest.Parse(line)
		if f.Has("new") {
			e = &speedestimator.Estimator{}
		}
		for range max(f.Int("times"), 1) {
			now = now.Add(f.Duration("after"))
			if f.Has("observe") {
				e.Observe(now, f.Float("observe"))
			}
		}
		lasting, age, known := e.Lasting(now)
		return fmt.Sprintf("relative=%.2f lasting=%.2f age=%s known=%t", e.Relative(now), lasting, age, known)
	}
	NewWithT(t).Expect(goldentest.Check("testdata/*.txtar", decide)).To(Succeed())
}
