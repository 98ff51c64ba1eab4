package memorylimiter_test

import (
	"context"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/sassafrasspur/sassafrasspur/internal/evictor"
	"github.com/sassafrasspur/sassafrasspur/internal/failure"
	"github.com/sassafrasspur/sassafrasspur/internal/memorylimiter"
	"github.com/sassafrasspur/sassafrasspur/internal/timer"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

const (
	total    unit.Bytes = 1 << 20
	reserved unit.Bytes = 256 << 10
	small    unit.Bytes = 64 << 10
)

// request is the oracle's view of a claim.
type request struct {
	claim   *memorylimiter.Claim
	held    unit.Bytes
	running bool
	dropped bool
}

// isReceived reports whether another request than r that is still received holds more than
// a number of bytes.
func isReceived(requests []*request, r *request, bytes unit.Bytes) bool {
	return slices.ContainsFunc(requests, func(other *request) bool {
		return other != r && !other.running && other.held > bytes
	})
}

func sumHeld(requests []*request) unit.Bytes {
	var sum unit.Bytes
	for _, r := range requests {
		sum += r.held
	}
	return sum
}

// Guards against memory that is granted beyond the budget or not returned, against
// dropping a request that runs, and against a small request that is refused although
// large ones are still received.
func TestBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := timer.NewManual(time.Unix(1000, 0))
		m := memorylimiter.New(total, reserved, small, timer.New(timer.WithManual(clock)), func() float64 { return 0.5 })
		var requests []*request
		end := func(r *request) {
			r.claim.Release()
			r.held, r.running = 0, false
		}
		for range 12 {
			r := &request{}
			r.claim = m.NewClaim(func() {
				if r.running {
					t.Fatal("a running request was dropped")
				}
				r.dropped = true
				end(r)
			})
			requests = append(requests, r)
		}
		draw := func() *request { return rapid.SampledFrom(requests).Draw(t, "request") }
		t.Repeat(map[string]func(*rapid.T){
			"grow": func(t *rapid.T) {
				r := draw()
				n := unit.Bytes(rapid.SampledFrom([]int{1 << 10, 40 << 10, 300 << 10}).Draw(t, "bytes"))
				isSmall := r.held+n <= small
				err := r.claim.Grow(n)
				if err == nil {
					r.held += n
					if limit := total - reserved; !isSmall && m.Used() > limit {
						t.Fatalf("a large request fills the reserve: %d of %d", m.Used(), limit)
					}
					return
				}
				if !failure.From(err).NotRun || failure.From(err).RetryAfter <= 0 {
					t.Fatalf("no refusal: %v", err)
				}
				if isSmall && isReceived(requests, r, small+n) {
					t.Fatal("a small request was refused beside a large one that is still received")
				}
			},
			"run": func(*rapid.T) {
				r := draw()
				r.running = r.claim.Enter(evictor.Running{}) == nil && r.held > 0
			},
			"end":     func(*rapid.T) { end(draw()) },
			"advance": func(*rapid.T) { clock.Advance(400 * time.Millisecond) },
			"": func(t *rapid.T) {
				if sum := sumHeld(requests); m.Used() != sum || sum > total {
					t.Fatalf("%d bytes used, %d claimed of %d", m.Used(), sum, total)
				}
			},
		})
	})
}

// Guards against a request that waits for ever for one that is dropped and does not end.
func TestWaitEnds(t *testing.T) {
	g := NewWithT(t)
	clock := timer.NewManual(time.Unix(1000, 0))
	m := memorylimiter.New(total, reserved, small, timer.New(timer.WithManual(clock)), func() float64 { return 0 })
	stuck := m.NewClaim(func() {})
	g.Expect(stuck.Grow(total - reserved)).To(Succeed())
	clock.Advance(2 * time.Second)
	waiting := m.NewClaim(func() {})
	refused := make(chan error, 1)
	go func() { refused <- waiting.Grow(2 * small) }()
	g.Eventually(clock.Waiting).Should(Equal(1))
	clock.Advance(time.Minute)
	g.Eventually(refused).Should(Receive(MatchError(failure.Overloaded)))
	stuck.Release()
	g.Expect(waiting.Grow(2 * small)).To(Succeed())
	waiting.Release()
	g.Expect(m.Used()).To(BeZero())
}

// Guards against dropping a request that may have run: one that had claimed nothing when it
// began to run, because its header section was empty.
func TestRunningBeforeFirstGrowth(t *testing.T) {
	g := NewWithT(t)
	clock := timer.NewManual(time.Unix(1000, 0))
	m := memorylimiter.New(total, reserved, small, timer.New(timer.WithManual(clock)), func() float64 { return 0 })
	running := m.NewClaim(func() { t.Error("a running request was dropped") })
	g.Expect(running.Enter(evictor.Running{})).To(Succeed())
	g.Expect(running.Grow(total - reserved)).To(Succeed())
	clock.Advance(2 * time.Second)
	g.Expect(m.NewClaim(func() {}).Cover(2 * small)).To(MatchError(failure.Overloaded))
	running.Release()
}

// Guards against a request that can't be dropped because the one before on the connection
// claimed nothing while it ran.
func TestStageEndsWithRequest(t *testing.T) {
	g := NewWithT(t)
	clock := timer.NewManual(time.Unix(1000, 0))
	m := memorylimiter.New(total, reserved, small, timer.New(timer.WithManual(clock)), func() float64 { return 0 })
	isDropped := false
	receiving := m.NewClaim(func() { isDropped = true })
	g.Expect(receiving.Enter(evictor.Running{})).To(Succeed())
	receiving.Release()
	g.Expect(receiving.Grow(total - reserved)).To(Succeed())
	clock.Advance(2 * time.Second)
	g.Expect(m.NewClaim(func() {}).Cover(2 * small)).To(MatchError(failure.Overloaded))
	g.Expect(isDropped).To(BeTrue())
}

// Guards against a filter that meets the claim of another request.
func TestContext(t *testing.T) {
	g := NewWithT(t)
	m := memorylimiter.New(total, reserved, small, timer.New(), func() float64 { return 0 })
	c := m.NewClaim(func() {})
	g.Expect(memorylimiter.FromContext(memorylimiter.NewContext(context.Background(), c))).To(BeIdenticalTo(c))
	g.Expect(memorylimiter.FromContext(context.Background())).To(BeNil())
}
