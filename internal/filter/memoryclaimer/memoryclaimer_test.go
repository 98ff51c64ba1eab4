package memoryclaimer_test

import (
	"context"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/sassafrasspur/sassafrasspur/internal/failure"
	"github.com/sassafrasspur/sassafrasspur/internal/filter/memoryclaimer"
	"github.com/sassafrasspur/sassafrasspur/internal/memorylimiter"
	"github.com/sassafrasspur/sassafrasspur/internal/timer"
	"github.com/sassafrasspur/sassafrasspur/internal/traffic"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

// Guards against turns whose history is held without a claim, and against a turn that runs
// although there is no memory for it.
func TestServe(t *testing.T) {
	g := NewWithT(t)
	m := memorylimiter.New(1000, 0, 100, timer.New(), func() float64 { return 0 })
	claim := m.NewClaim(func() {})
	ctx := memorylimiter.NewContext(context.Background(), claim)
	var held unit.Bytes
	serve := func(ctx context.Context, history int, composed bool) error {
		claim.Release()
		held = -1
		x := &traffic.Exchange{Request: traffic.Request{Body: make([]byte, 50)}}
		x.Body = x.Request.Body
		if composed {
			x.Body = make([]byte, history+50)
		}
		return memoryclaimer.New().Serve(ctx, x, func(context.Context, *traffic.Exchange) error {
			held = m.Used()
			return nil
		})
	}
	g.Expect(serve(ctx, 0, false)).To(Succeed())
	g.Expect(held).To(BeZero(), "the body was claimed as it arrived")
	g.Expect(serve(ctx, 200, true)).To(Succeed())
	g.Expect(held).To(BeEquivalentTo(500))
	g.Expect(serve(context.Background(), 200, true)).To(Succeed())
	err := serve(ctx, 600, true)
	g.Expect(err).To(MatchError(failure.Overloaded))
	g.Expect(failure.From(err).NotRun).To(BeTrue())
	g.Expect(held).To(BeEquivalentTo(-1), "the turn must not run")
}
