package answerclaimer_test

import (
	"context"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/sassafrasspur/sassafrasspur/internal/answerclaimer"
	"github.com/sassafrasspur/sassafrasspur/internal/evictor"
	"github.com/sassafrasspur/sassafrasspur/internal/failure"
	"github.com/sassafrasspur/sassafrasspur/internal/memorylimiter"
	"github.com/sassafrasspur/sassafrasspur/internal/timer"
)

// Guards against answers that together take more memory than their requests may, against
// memory that stays claimed, and against an answer that is given up although there is room
// for it soon.
func TestAnswersShareMemory(t *testing.T) {
	g := NewWithT(t)
	m := memorylimiter.New(64<<10, 0, 64<<10, timer.New(), func() float64 { return 0 })
	answer := func() *answerclaimer.Answerclaimer {
		claim := m.NewClaim(func() { t.Error("a running request was dropped") })
		g.Expect(claim.Enter(evictor.Running{})).To(Succeed())
		return answerclaimer.New(memorylimiter.NewContext(t.Context(), claim), answerclaimer.WithCopies(2), answerclaimer.WithFree(4<<10))
	}
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	first, second := answer(), answer()
	g.Expect(first.Reserve(4 << 10)).To(Succeed())
	g.Expect(m.Used()).To(BeZero())
	g.Expect(first.Hold(t.Context(), 4<<10+1)).To(BeTrue())
	g.Expect(first.Hold(t.Context(), 5<<10)).To(BeFalse())
	g.Expect(first.Hold(t.Context(), 32<<10)).To(BeTrue())
	g.Expect(m.Used()).To(BeEquivalentTo(64 << 10))
	g.Expect(failure.From(second.Reserve(5 << 10)).NotRun).To(BeTrue())
	_, err := second.Hold(ended, 5<<10)
	g.Expect(failure.From(err).NotRun).To(BeFalse())
	held := make(chan bool, 1)
	go func() {
		grown, err := second.Hold(t.Context(), 5<<10)
		held <- grown && err == nil
	}()
	g.Eventually(m.Waiting).Should(BeEquivalentTo(1))
	first.Return()
	g.Eventually(held).Should(Receive(BeTrue()))
	g.Expect(m.Waiting()).To(BeZero())
	second.Return()
	g.Expect(m.Used()).To(BeZero())
}

// Guards against a request without limited memory that has no claim.
func TestWithoutClaim(t *testing.T) {
	g := NewWithT(t)
	a := answerclaimer.New(t.Context())
	g.Expect(a.Reserve(1 << 30)).To(Succeed())
	g.Expect(a.Hold(t.Context(), 1<<30)).To(BeFalse())
	a.Return()
}
