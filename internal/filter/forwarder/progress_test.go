package forwarder_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/balancer"
	"github.com/sassafrasspur/sassafrasspur/internal/effect"
	"github.com/sassafrasspur/sassafrasspur/internal/executor"
	"github.com/sassafrasspur/sassafrasspur/internal/filter/forwarder"
	"github.com/sassafrasspur/sassafrasspur/internal/goldentest"
	"github.com/sassafrasspur/sassafrasspur/internal/message"
	"github.com/sassafrasspur/sassafrasspur/internal/routing"
	"github.com/sassafrasspur/sassafrasspur/internal/snapshot"
	"github.com/sassafrasspur/sassafrasspur/internal/timer"
	"github.com/sassafrasspur/sassafrasspur/internal/traffic"
	"github.com/sassafrasspur/sassafrasspur/internal/upstream"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

// progressRecorder records the reported progress.
type progressRecorder struct{ reports chan string }

func (r progressRecorder) Handle(_ time.Time, m message.Message) []effect.Effect {
	switch m := m.(type) {
	case message.CallProgressed:
		r.reports <- fmt.Sprintf("first=%s events=%d took=%s", m.Progress.FirstEvent, m.Progress.Events, m.Progress.Took)
	case message.CallEnded:
		r.reports <- fmt.Sprintf("end: first=%s events=%d took=%s answer=%s", m.Progress.FirstEvent, m.Progress.Events, m.Progress.Took, m.Answer)
		close(r.reports)
	}
	return nil
}

func (progressRecorder) Describe(*snapshot.Snapshot) {}

// pacedStream sends an event after each pause. The caller takes a fixed time to read one.
type pacedStream struct {
	clock  *timer.Manual
	pauses []string
	sent   int
	broken bool
	reads  time.Duration
	limit  unit.Rate
}

func (s *pacedStream) Call(context.Context, upstream.Call) upstream.Answer {
	return upstream.Streaming{Status: http.StatusOK, Events: s, Notice: upstream.Notice{Limit: s.limit}}
}

func (s *pacedStream) IsDown(context.Context, upstream.Upstream) bool { return false }

func (s *pacedStream) Next() (upstream.Event, error) {
	if s.sent == len(s.pauses) {
		if s.broken {
			return upstream.Event{}, errBroken
		}
		return upstream.Event{}, io.EOF
	}
	s.clock.Advance(goldentest.Fields{"pause": s.pauses[s.sent]}.Duration("pause"))
	s.sent++
	return upstream.Event{ID: ident.EventID(s.sent)}, nil
}

func (s *pacedStream) Close() {}

func (s *pacedStream) Complete(upstream.Complete) error { return nil }
func (s *pacedStream) Begin(int, http.Header) error     { return nil }
func (s *pacedStream) End() error                       { return nil }
func (s *pacedStream) Abort()                           {}

func (s *pacedStream) Event(upstream.Event) error {
	s.clock.Advance(s.reads)
	return nil
}

func reportedProgress(line string) string {
	f := goldentest.Parse(line)
	clock := timer.NewManual(time.Unix(0, 0))
	timers := timer.New(timer.WithManual(clock))
	recorder := progressRecorder{make(chan string, 100)}
	control := executor.New(executor.WithTimers(timers), executor.WithEffectRunner(noopEffectRunner{}),
		executor.WithControllers(balancer.New(balancer.Location{}, 1), recorder))
	defer control.Close()
	control.Post(message.UpstreamsRead{Upstreams: []upstream.Upstream{{ID: "u", Pool: "pool"}}, AsOf: timers.Now()})
	control.Post(message.MembersListed{Serving: slices.Repeat([]snapshot.Member{{PeerAddress: "peer"}}, 6)})
	s := &pacedStream{clock: clock, pauses: strings.Split(f["pauses"], ","), broken: f.Has("broken"), reads: f.Duration("reads"), limit: unit.Rate(f.Float("limit"))}
	if f.Has("silent") {
		s.pauses = nil
	}
	x := &traffic.Exchange{
		Request: traffic.Request{ID: "request", Program: &traffic.Program{ID: "program"}}, Pool: "pool", Deadline: timers.Now().Add(time.Minute),
		Route: &routing.Route{Kind: routing.Stream{}, Attempts: 1, Sticky: true}, Responder: s,
		Placement: traffic.RememberedEngine{Process: upstream.Process{ID: "u"}},
	}
	if !f.Has("service") {
		x.Request.Prompt = &traffic.Prompt{Input: 1000}
	}
	// The error, if any, is that of the broken stream.
	_ = forwarder.New(control, s, timers).Serve(context.Background(), x, nil)
	var reports []string
	for report := range recorder.reports {
		reports = append(reports, report)
	}
	return strings.Join(append(reports, fmt.Sprintf("basis=%s served=%s", x.Trace.Basis, x.Trace.Served.ID)), "; ")
}

// TestProgress guards against an engine whose speed is learned only when its calls end,
// against a message to the control goroutine for each event, and against an engine that
// looks slow because a caller reads slowly. It also guards against an engine that is not
// remembered although it computed a prompt, or remembered although it did not or has a
// request limit, and against a remembered engine that the balancer does not learn of.
func TestProgress(t *testing.T) {
	NewWithT(t).Expect(goldentest.Check("testdata/progress/*.txtar", reportedProgress)).To(Succeed())
}
