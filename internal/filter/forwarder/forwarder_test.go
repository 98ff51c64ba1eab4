package forwarder_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"
	. "github.com/onsi/gomega"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/balancer"
	"github.com/sassafrasspur/sassafrasspur/internal/effect"
	"github.com/sassafrasspur/sassafrasspur/internal/executor"
	"github.com/sassafrasspur/sassafrasspur/internal/failure"
	"github.com/sassafrasspur/sassafrasspur/internal/filter/forwarder"
	"github.com/sassafrasspur/sassafrasspur/internal/goldentest"
	"github.com/sassafrasspur/sassafrasspur/internal/message"
	"github.com/sassafrasspur/sassafrasspur/internal/routing"
	"github.com/sassafrasspur/sassafrasspur/internal/timer"
	"github.com/sassafrasspur/sassafrasspur/internal/traffic"
	"github.com/sassafrasspur/sassafrasspur/internal/upstream"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

var errBroken = errors.New("the connection broke")

// scriptedCaller returns its answers to calls in order.
type scriptedCaller struct {
	answers []string
	log     strings.Builder
}

// Call returns the next answer: whole, error, notrun, unsent, lost, or
// stream:FIRST-LAST, followed by "!" if the connection breaks after the last event.
func (s *scriptedCaller) Call(_ context.Context, c upstream.Call) upstream.Answer {
	answer := s.answers[0]
	s.answers = s.answers[1:]
	fmt.Fprintf(&s.log, "sent(after=%d) ", c.LastEventID)
	if c.IdleTimeout > 0 {
		fmt.Fprintf(&s.log, "silence<=%s ", c.IdleTimeout)
	}
	kind, value, _ := strings.Cut(answer, ":")
	switch kind {
	case "notrun":
		return upstream.NotRun{Reason: "503"}
	case "unsent":
		return upstream.Failed{Err: errBroken}
	case "lost":
		return upstream.Failed{Err: errBroken, Sent: true}
	case "stream":
		e := &scriptedEvents{breaks: strings.HasSuffix(value, "!")}
		if _, err := fmt.Sscanf(strings.TrimSuffix(value, "!"), "%d-%d", &e.next, &e.last); err != nil {
			panic(err)
		}
		return upstream.Streaming{Status: http.StatusOK, Events: e}
	}
	status := http.StatusOK
	if kind == "error" {
		status = http.StatusInternalServerError
	}
	return upstream.Complete{Status: status}
}

func (s *scriptedCaller) IsDown(context.Context, upstream.Upstream) bool { return false }

type scriptedEvents struct {
	next, last int
	breaks     bool
}

func (e *scriptedEvents) Next() (upstream.Event, error) {
	if e.next <= e.last {
		e.next++
		return upstream.Event{ID: ident.EventID(e.next - 1)}, nil
	}
	if e.breaks {
		return upstream.Event{}, errBroken
	}
	return upstream.Event{}, io.EOF
}

func (e *scriptedEvents) Close() {}

// recordingResponder logs what the caller receives.
type recordingResponder struct{ log *strings.Builder }

func (r recordingResponder) Complete(a upstream.Complete) error {
	fmt.Fprintf(r.log, "whole(%d) ", a.Status)
	return nil
}

func (r recordingResponder) Begin(status int, _ http.Header) error {
	fmt.Fprintf(r.log, "begin(%d) ", status)
	return nil
}

func (r recordingResponder) Event(e upstream.Event) error {
	fmt.Fprintf(r.log, "%d ", e.ID)
	return nil
}

func (r recordingResponder) End() error {
	r.log.WriteString("end ")
	return nil
}

func (r recordingResponder) Abort() {}

// newExecutor returns an executor whose balancer knows four upstreams.
func newExecutor() *executor.Executor {
	e := executor.New(executor.WithEffectRunner(noopEffectRunner{}), executor.WithControllers(balancer.New(balancer.Location{}, 1)))
	var list []upstream.Upstream
	for i := range 4 {
		list = append(list, upstream.Upstream{ID: ident.UpstreamID(fmt.Sprint("u", i)), Pool: "pool", Address: fmt.Sprint(i)})
	}
	e.Post(message.UpstreamsRead{Upstreams: list, AsOf: time.Now()})
	return e
}

type noopEffectRunner struct{}

func (noopEffectRunner) Perform(effect.Effect, func(message.Message)) {}

func kind(name string) routing.Kind {
	switch name {
	case "idempotent":
		return routing.Idempotent{}
	case "stream":
		return routing.Stream{}
	case "resumable":
		return routing.Stream{Resumable: true}
	}
	return routing.NonIdempotent{}
}

// decide forwards the request of an input line to scripted upstreams and returns
// what was sent to the upstreams and to the caller.
func decide(line string) string {
	f := goldentest.Parse(line)
	control := newExecutor()
	defer control.Close()
	left := time.Minute
	if f.Has("left") {
		left = f.Duration("left")
	}
	s := &scriptedCaller{answers: strings.Split(f["answers"], ",")}
	x := &traffic.Exchange{
		Request: traffic.Request{ID: "request"}, Pool: "pool", Deadline: time.Now().Add(left),
		Route: &routing.Route{Kind: kind(f["kind"]), Attempts: f.Int("attempts")}, Responder: recordingResponder{&s.log},
	}
	if f.Has("output") {
		x.Request.Prompt = &traffic.Prompt{Output: unit.Tokens(f.Int("output"))}
		x.Table = routing.New(1, nil, []routing.Pool{{ID: "pool", Engine: &routing.Engine{EventTokens: unit.Tokens(f.Int("event_tokens"))}}}, routing.Limits{})
	}
	if f.Has("permits") {
		permits := f.Int("permits")
		x.Permit = func(context.Context) error {
			s.log.WriteString("permit ")
			if permits--; permits < 0 {
				return failure.Refusal(failure.QuotaExceeded, time.Second, "the quota is used up")
			}
			return nil
		}
	}
	err := forwarder.New(control, s, timer.New()).Serve(context.Background(), x, nil)
	if known := failure.From(err); known != nil {
		fmt.Fprintf(&s.log, "%s not_run=%t", known.Kind, known.NotRun)
	}
	return strings.TrimSpace(s.log.String())
}

// TestForwarder guards against a non-idempotent request that runs twice, a promise
// that a request did not run although it was sent, and a stream with missing or
// duplicate events. It also guards against repeatable requests that wait for a
// hanging upstream until the caller gives up, or that end with the error of one
// upstream although another could serve them, against runs that no quota permits, and
// against callers that get more tokens than they asked for.
func TestForwarder(t *testing.T) {
	NewWithT(t).Expect(goldentest.Check("testdata/*.txtar", decide)).To(Succeed())
}
