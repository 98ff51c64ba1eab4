package forwarder_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sassafrasspur/sassafrasspur/internal/failure"
	"github.com/sassafrasspur/sassafrasspur/internal/filter/forwarder"
	"github.com/sassafrasspur/sassafrasspur/internal/routing"
	"github.com/sassafrasspur/sassafrasspur/internal/timer"
	"github.com/sassafrasspur/sassafrasspur/internal/traffic"
	"github.com/sassafrasspur/sassafrasspur/internal/upstream"
)

// failingCaller fails its first call, which was sent or not, and answers all others.
type failingCaller struct {
	sent  bool
	calls int
}

func (c *failingCaller) Call(context.Context, upstream.Call) upstream.Answer {
	if c.calls++; c.calls == 1 {
		return upstream.Failed{Err: errors.New("broken"), Sent: c.sent}
	}
	return upstream.Complete{Status: http.StatusOK}
}

func (*failingCaller) IsDown(context.Context, upstream.Upstream) bool { return false }

// TestCheckPrecedesEachSend guards against a second attempt of a request whose key was
// removed meanwhile, and against the promise that it did not run after a first one.
func TestCheckPrecedesEachSend(t *testing.T) {
	g := NewWithT(t)
	for _, c := range []struct {
		sent          bool
		refuseAt      int
		calls, checks int
		want          string
	}{
		{false, 1, 0, 1, "unauthorized not_run=true"},
		{false, 2, 1, 2, "unauthorized not_run=true"},
		{true, 2, 1, 2, "upstream_failed not_run=false"},
		{true, 9, 2, 2, "answered"},
	} {
		control := newExecutor()
		caller, checks := &failingCaller{sent: c.sent}, 0
		check := func(context.Context, *traffic.Exchange) error {
			if checks++; checks == c.refuseAt {
				return failure.Refusal(failure.Unauthorized, 0, "removed")
			}
			return nil
		}
		err := forwarder.New(control, caller, timer.New(), forwarder.WithCheck(check)).Serve(context.Background(), &traffic.Exchange{
			Request: traffic.Request{ID: "request"}, Pool: "pool", Deadline: time.Now().Add(time.Minute),
			Route: &routing.Route{Kind: routing.Idempotent{}, Attempts: 3}, Responder: discardingResponder{},
		}, nil)
		got := "answered"
		if known := failure.From(err); known != nil {
			got = fmt.Sprintf("%s not_run=%t", known.Kind, known.NotRun)
		}
		g.Expect(got).To(Equal(c.want), "%+v", c)
		g.Expect([]int{caller.calls, checks}).To(Equal([]int{c.calls, c.checks}), "%+v", c)
		control.Close()
	}
}
