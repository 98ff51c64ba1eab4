package quotakeeper_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/sassafrasspur/sassafrasspur/internal/clientaccount"
)

// Guards against programs that begin beyond the quota and take the tokens of those under
// way, of which then few complete: an account starts eight times as many programs as it
// usually does. A refused further request is repeated once, as callers do.
func TestFlood(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t, rapid.IntRange(1, 6).Draw(t, "VMs of a region"), clientaccount.Quota{Rate: 20, Burst: 10})
		further := rapid.IntRange(1, 12).Draw(t, "further requests")
		seed := rapid.Uint64().Draw(t, "seed")
		random := func(n int) int { seed = seed*6364136223846793005 + 1442695040888963407; return int(seed>>33) % n }
		type program struct {
			left     int
			repeated bool
		}
		due := map[int][]program{}
		usual := 20 / 1.6 / float64(1+further) * step.Seconds()
		completed, lost, ran := 0, 0, 0
		send := func(first bool) bool {
			return f.request(f.vms[random(len(f.vms))], first, func() time.Duration { return 0 }, func() bool { return false })
		}
		const floodFrom, steps = loadStep + 1000, loadStep + 5000
		for i := range steps {
			f.advance()
			begin := usual
			if i >= floodFrom {
				begin *= 8
			}
			if i > loadStep && float64(random(1_000_000)) < begin*1_000_000 && send(true) {
				next := i + 1 + random(50)
				due[next] = append(due[next], program{left: further})
			}
			for _, p := range due[i] {
				switch ok := send(false); {
				case ok && p.left == 1:
					completed++
				case ok:
					next := i + 1 + random(50)
					due[next] = append(due[next], program{left: p.left - 1})
				case p.repeated:
					lost++
				default:
					next := i + 15 + random(30)
					due[next] = append(due[next], program{left: p.left, repeated: true})
				}
				if i >= floodFrom {
					ran++
				}
			}
		}
		t.Logf("further=%d completed=%d lost=%d ran=%d", further, completed, lost, ran)
		if lost > completed/4 {
			t.Fatalf("%d programs with %d further requests completed and %d were lost", completed, further, lost)
		}
	})
}
