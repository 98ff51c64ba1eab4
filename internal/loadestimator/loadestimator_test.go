package loadestimator_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sassafrasspur/sassafrasspur/internal/goldentest"
	"github.com/sassafrasspur/sassafrasspur/internal/loadestimator"
	"github.com/sassafrasspur/sassafrasspur/internal/upstream"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

// TestLoadestimator guards against an old report that decides for long after the load has
// changed, against one that replaces a newer one, and against own calls that count twice.
func TestLoadestimator(t *testing.T) {
	now, e := time.Unix(0, 0), &loadestimator.Estimator{}
	NewWithT(t).Expect(goldentest.Check("testdata/*.txtar", func(line string) string {
		f := goldentest.Parse(line)
		now = now.Add(f.Duration("after"))
		if f.Has("running") {
			e.Report(now.Add(-f.Duration("age")), upstream.Load{
				Running: f.Int("running"), Waiting: f.Int("waiting"), MemoryUsed: unit.Tokens(f.Int("used")), MemoryTotal: unit.Tokens(f.Int("total")),
			}, f.Int("own"))
		}
		figures := e.Figures(now)
		return fmt.Sprintf("weight=%.2f others=%.2f waiting=%.2f lacks=%.2f", figures.Weight, figures.Others, figures.Waiting, e.Lacks(now, 1000))
	})).To(Succeed())
}
