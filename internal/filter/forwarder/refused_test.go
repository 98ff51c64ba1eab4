package forwarder_test

import (
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sassafrasspur/sassafrasspur/internal/balancer"
	"github.com/sassafrasspur/sassafrasspur/internal/effect"
	"github.com/sassafrasspur/sassafrasspur/internal/executor"
	"github.com/sassafrasspur/sassafrasspur/internal/failure"
	"github.com/sassafrasspur/sassafrasspur/internal/filter/forwarder"
	"github.com/sassafrasspur/sassafrasspur/internal/message"
	"github.com/sassafrasspur/sassafrasspur/internal/routing"
	"github.com/sassafrasspur/sassafrasspur/internal/snapshot"
	"github.com/sassafrasspur/sassafrasspur/internal/timer"
	"github.com/sassafrasspur/sassafrasspur/internal/traffic"
)

// callCounter counts the calls that were requested and have not ended.
type callCounter struct{ requested, ended atomic.Int32 }

func (c *callCounter) Handle(_ time.Time, m message.Message) []effect.Effect {
	switch m.(type) {
	case message.ChooseUpstream:
		c.requested.Add(1)
	case message.CallEnded:
		c.ended.Add(1)
	}
	return nil
}

func (*callCounter) Describe(*snapshot.Snapshot) {}

// TestNoUpstreamEndsCall guards against a call that counts as in flight for good because
// no upstream could be chosen for it: the pool would look full while it is idle.
func TestNoUpstreamEndsCall(t *testing.T) {
	g := NewWithT(t)
	counter := &callCounter{}
	control := executor.New(executor.WithEffectRunner(noopEffectRunner{}), executor.WithControllers(balancer.New(balancer.Location{}, 1), counter))
	defer control.Close()
	err := forwarder.New(control, leavingCaller{}, timer.New()).Serve(t.Context(), &traffic.Exchange{
		Pool: "pool", Deadline: time.Now().Add(time.Second), Route: &routing.Route{Kind: routing.Idempotent{}}, Responder: discardingResponder{},
	}, nil)
	g.Expect(failure.Is(err, failure.NoUpstream)).To(BeTrue())
	g.Expect(counter.requested.Load()).To(BeEquivalentTo(1))
	g.Eventually(counter.ended.Load, "1s", "5ms").Should(BeEquivalentTo(1))
}
