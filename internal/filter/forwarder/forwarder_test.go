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
)

var errBroken = errors.New("the connection broke")

// script answers calls in order.
type script struct {
	answers []string
	log     strings.Builder
}

// Call takes the next answer: whole, error, notrun, unsent, lost, or
// stream:FIRST-LAST with "!" if it breaks off after the last event.
func (s *script) Call(_ context.Context, c upstream.Call) upstream.Answer {
	answer := s.answers[0]
	s.answers = s.answers[1:]
	fmt.Fprintf(&s.log, "sent(after=%d) ", c.After)
	if c.SilenceLimit > 0 {
		fmt.Fprintf(&s.log, "silence<=%s ", c.SilenceLimit)
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
		e := &events{breaks: strings.HasSuffix(value, "!")}
		if _, err := fmt.Sscanf(strings.TrimSuffix(value, "!"), "%d-%d", &e.next, &e.last); err != nil {
			panic(err)
		}
		return upstream.Streaming{Status: http.StatusOK, Events: e}
	}
	status := http.StatusOK
	if kind == "error" {
		status = http.StatusInternalServerError
	}
	return upstream.Whole{Status: status}
}

type events struct {
	next, last int
	breaks     bool
}

func (e *events) Next() (upstream.Event, error) {
	if e.next <= e.last {
		e.next++
		return upstream.Event{ID: ident.EventID(e.next - 1)}, nil
	}
	if e.breaks {
		return upstream.Event{}, errBroken
	}
	return upstream.Event{}, io.EOF
}

func (e *events) Close() {}

// caller notes what it receives.
type caller struct{ log *strings.Builder }

func (c caller) Whole(a upstream.Whole) error {
	fmt.Fprintf(c.log, "whole(%d) ", a.Status)
	return nil
}

func (c caller) Begin(status int, _ http.Header) error {
	fmt.Fprintf(c.log, "begin(%d) ", status)
	return nil
}

func (c caller) Event(e upstream.Event) error {
	fmt.Fprintf(c.log, "%d ", e.ID)
	return nil
}

func (c caller) End() error {
	c.log.WriteString("end ")
	return nil
}

func (c caller) Abort() {}

// control starts a control goroutine that knows four upstreams.
func control() *executor.Executor {
	e := executor.New(executor.WithPerformer(nothing{}), executor.WithControllers(balancer.New(balancer.Place{}, 1)))
	var list []upstream.Upstream
	for i := range 4 {
		list = append(list, upstream.Upstream{ID: ident.UpstreamID(fmt.Sprint("u", i)), Pool: "pool", Address: fmt.Sprint(i)})
	}
	e.Post(message.UpstreamsRead{Upstreams: list, AsOf: time.Now()})
	return e
}

type nothing struct{}

func (nothing) Perform(effect.Effect, func(message.Message)) {}

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

// decide sends one request of a kind to upstreams that answer in order.
func decide(line string) string {
	f := goldentest.Parse(line)
	control := control()
	defer control.Close()
	left := time.Minute
	if f.Has("left") {
		left = f.Duration("left")
	}
	s := &script{answers: strings.Split(f["answers"], ",")}
	x := &traffic.Exchange{
		Request: traffic.Request{ID: "request"}, Pool: "pool", Deadline: time.Now().Add(left),
		Route: &routing.Route{Kind: kind(f["kind"]), Attempts: f.Int("attempts")}, Responder: caller{&s.log},
	}
	err := forwarder.New(control, s, timer.New()).Serve(context.Background(), x, nil)
	if known := failure.From(err); known != nil {
		fmt.Fprintf(&s.log, "%s not_run=%t", known.Kind, known.NotRun)
	}
	return strings.TrimSpace(s.log.String())
}

// Guards against a request that runs twice though it may not, a promise that a
// request did not run after it was sent, and a stream with missing or repeated
// events. Requests that may be repeated waited for an upstream that hangs, or got
// its error, until the caller gave up.
func TestForwarder(t *testing.T) {
	NewWithT(t).Expect(goldentest.Check("testdata/*.txtar", decide)).To(Succeed())
}
