package forwarder_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sassafrasspur/sassafrasspur/internal/balancer"
	"github.com/sassafrasspur/sassafrasspur/internal/crashcounter"
	"github.com/sassafrasspur/sassafrasspur/internal/executor"
	"github.com/sassafrasspur/sassafrasspur/internal/filter/forwarder"
	"github.com/sassafrasspur/sassafrasspur/internal/message"
	"github.com/sassafrasspur/sassafrasspur/internal/routing"
	"github.com/sassafrasspur/sassafrasspur/internal/timer"
	"github.com/sassafrasspur/sassafrasspur/internal/traffic"
	"github.com/sassafrasspur/sassafrasspur/internal/upstream"
)

// leavingCaller calls an upstream that crashes. The caller of the request leaves while
// the VM checks whether the upstream is down.
type leavingCaller struct{ leave func() }

func (leavingCaller) Call(context.Context, upstream.Call) upstream.Answer {
	return upstream.Failed{Err: errBroken, Sent: true}
}

func (l leavingCaller) IsDown(ctx context.Context, _ upstream.Upstream) bool {
	l.leave()
	return ctx.Err() == nil
}

// TestCrashAfterCallerLeft guards against a request that crashes upstreams and is not
// counted because its callers give up.
func TestCrashAfterCallerLeft(t *testing.T) {
	g := NewWithT(t)
	control := executor.New(executor.WithEffectRunner(noopEffectRunner{}),
		executor.WithControllers(crashcounter.New(1, func(err error) { panic(err) }), balancer.New(balancer.Location{}, 1)))
	defer control.Close()
	control.Post(message.UpstreamsRead{Upstreams: []upstream.Upstream{{ID: "u", Pool: "pool"}}, AsOf: time.Now()})
	ctx, leave := context.WithCancel(t.Context())
	err := forwarder.New(control, leavingCaller{leave}, timer.New()).Serve(ctx, &traffic.Exchange{
		Request: traffic.Request{ID: "request", Method: http.MethodPost}, Body: []byte("body"), Pool: "pool",
		Deadline: time.Now().Add(time.Second), Route: &routing.Route{Kind: routing.NonIdempotent{}, Attempts: 1}, Responder: discardingResponder{},
	}, nil)
	g.Expect(err).To(HaveOccurred())
	g.Eventually(func() int { return len(control.Snapshot().Entry.Suspects) }, "1s", "5ms").Should(Equal(1))
}
