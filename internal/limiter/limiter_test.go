package limiter_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sassafrasspur/sassafrasspur/internal/goldentest"
	"github.com/sassafrasspur/sassafrasspur/internal/limiter"
)

func TestLimiter(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "limiter")
}

// newDecider returns a function that applies lines to one limit and one budget.
func newDecider() func(line string) string {
	var state limiter.State
	var budget limiter.Budget
	now := time.Unix(0, 0)
	return func(line string) string {
		f := goldentest.Parse(line)
		now = now.Add(f.Duration("after"))
		times := max(1, f.Int("times"))
		switch {
		case f.Has("observe"):
			bounds := limiter.BoundsFor(f.Int("slots"))
			for range times {
				state = state.Observe(now, bounds, limiter.Observation{
					Latency: f.Duration("latency"), Duration: f.Duration("latency"), Failed: f.Has("failed"),
				})
			}
			return fmt.Sprintf("allowed=%d limit=%.2f best=%s", state.Allowed(bounds), state.Limit, state.BaselineLatency)
		case f.Has("earn"):
			for range times {
				budget = budget.Deposit()
			}
			return fmt.Sprintf("permits=%t", budget.PermitsRetry())
		case f.Has("spend"):
			spent := 0
			for ; budget.PermitsRetry(); spent++ {
				budget = budget.Withdraw()
			}
			return fmt.Sprintf("spent=%d", spent)
		}
		switch d := limiter.New().Decide(limiter.Input{
			Queued: f.Int("queued"), Capacity: f.Int("capacity"), Service: f.Duration("service"),
			MaxWait: f.Duration("bound"), Essential: f.Has("essential"), Random: f.Float("random"),
		}).(type) {
		case limiter.Enqueue:
			return fmt.Sprintf("enqueue predicted=%s", d.Predicted)
		case limiter.Refuse:
			return fmt.Sprintf("refuse %s not_run=%t retry_after=%s", d.Err.Kind, d.Err.NotRun, d.Err.RetryAfter)
		}
		return "unknown decision"
	}
}

var _ = Describe("Limiter", func() {
	It("guards against a limit that does not recover, unbounded queues and retry storms", func() {
		Expect(goldentest.Check("testdata/*.txtar", newDecider())).To(Succeed())
	})
})
