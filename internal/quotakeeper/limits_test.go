package quotakeeper

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/sassafrasspur/sassafrasspur/internal/clientaccount"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

// Guards against allowances that add up to more than overage and slack: the larger
// buckets, the lifetime of tokens and the tokens of new keepers of all parts.
func TestAllowances(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := Limits{
			Window:  time.Duration(rapid.IntRange(1000, 60_000).Draw(t, "window")) * time.Millisecond,
			Overage: unit.Ratio(rapid.Float64Range(0.06, 1).Draw(t, "overage")),
			Slack:   rapid.IntRange(10, 100).Draw(t, "slack"),
		}
		parts := rapid.IntRange(1, 4).Draw(t, "parts")
		q := clientaccount.Quota{Rate: unit.Rate(rapid.Float64Range(0.1, 2000).Draw(t, "rate")), Burst: rapid.IntRange(0, 2000).Draw(t, "burst")}
		allowed := float64(l.Overage)*l.perWindow(q) + float64(l.Slack)
		if excess := l.excess(q, parts); excess > allowed {
			t.Fatalf("the allowances add up to %.1f, %.1f are allowed", excess, allowed)
		}
	})
}
