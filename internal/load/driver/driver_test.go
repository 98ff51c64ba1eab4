package driver_test

import (
	"context"
	"flag"
	"fmt"
	"net/http/httptest"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/addresser"
	"github.com/sassafrasspur/sassafrasspur/internal/apiserver"
	"github.com/sassafrasspur/sassafrasspur/internal/chain"
	"github.com/sassafrasspur/sassafrasspur/internal/client"
	"github.com/sassafrasspur/sassafrasspur/internal/failure"
	"github.com/sassafrasspur/sassafrasspur/internal/load/driver"
	"github.com/sassafrasspur/sassafrasspur/internal/load/workload"
	"github.com/sassafrasspur/sassafrasspur/internal/record"
	"github.com/sassafrasspur/sassafrasspur/internal/request"
	"github.com/sassafrasspur/sassafrasspur/internal/snapshot"
	"github.com/sassafrasspur/sassafrasspur/internal/timer"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

var update = flag.Bool("update", false, "rewrite the golden files")

func TestDriver(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Driver")
}

// server is a fake entry VM. The prompt of a turn is the history plus the body.
// The history is reported as cached, except at position 3, where nothing is.
type server struct {
	mu             sync.Mutex
	requestLines   []string
	historyLengths map[ident.ProgramID]unit.Tokens
	refusedOnce    map[ident.Operation]bool
}

func (s *server) serve(_ context.Context, x *chain.Exchange) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch r := x.Request.(type) {
	case request.Open:
		s.requestLines = append(s.requestLines, fmt.Sprintf("open %s %s", r.Program, r.Class))
	case request.OpenChild:
		s.requestLines = append(s.requestLines, fmt.Sprintf("child %s", r.Child))
	case request.End:
		s.requestLines = append(s.requestLines, fmt.Sprintf("end %s", r.Program))
	case request.Call:
		s.requestLines = append(s.requestLines, fmt.Sprintf("call %s %s %d %s %s first=%t", r.Program, r.Call, r.Position, r.Pool, r.Operation, r.FirstSubmission))
		if r.Operation != "" {
			return s.serveOperation(r, x.Sink)
		}
		cached := s.historyLengths[r.Program]
		if r.Position == 3 {
			cached = 0
		}
		prompt := s.historyLengths[r.Program] + unit.Tokens(len(strings.Fields(r.Body)))
		s.historyLengths[r.Program] = prompt + r.MaxTokens
		return x.Sink.End(chain.End{Call: r.Call, Attempt: 1, Answer: record.Answer{
			Usage: record.Usage{Calls: 1, PromptTokens: prompt, CachedTokens: cached, OutputTokens: r.MaxTokens},
		}})
	}
	return nil
}

// serveOperation refuses the first request of each operation with a retry delay;
// "broken" always fails permanently.
func (s *server) serveOperation(r request.Call, sink chain.Sink) error {
	switch {
	case r.Operation == "broken":
		return failure.New(failure.OutcomeUnknown, "the outcome is unknown; ask an operator")
	case !s.refusedOnce[r.Operation]:
		s.refusedOnce[r.Operation] = true
		return failure.Refusal(failure.Overloaded, time.Millisecond, "the queue is full; repeat the call")
	}
	return sink.End(chain.End{Call: r.Call, Attempt: 1, Answer: record.Answer{Usage: record.Usage{Calls: 1}}})
}

const pause = 400 * time.Millisecond

func turn(prompt, answer unit.Tokens) workload.Turn {
	return workload.Turn{Pool: workload.Engines, PromptTokens: prompt, OutputTokens: answer, BodySeed: 1}
}

var _ = Describe("a run", func() {
	// Guards against calls out of order, retries marked as first submissions,
	// refusals that fail a program, programs that are never ended, and recomputed
	// tokens counted for the first turn or across agents.
	It("sends the requests and counts the tokens of the golden file", func() {
		s := &server{historyLengths: map[ident.ProgramID]unit.Tokens{}, refusedOnce: map[ident.Operation]bool{}}
		timers := timer.New()
		identify := func(_ context.Context, x *chain.Exchange) error {
			x.Account = chain.Account{ID: "tess", Team: "desk", Role: chain.Caller}
			return nil
		}
		view := &snapshot.Snapshot{}
		entry := httptest.NewServer(apiserver.New(snapshot.Member{}, s.serve, identify, func() *snapshot.Snapshot { return view }, nil, timers, addresser.New()).Handler())
		DeferCleanup(entry.Close)
		callers := map[ident.Region][]driver.Caller{"noord": {client.New([]string{entry.Listener.Addr().String()}, "t", timers)}}
		operation := func(name ident.Operation) workload.Step {
			return workload.Operation{Pool: workload.Services, Operation: name}
		}
		list := []workload.Program{
			{ID: "long", Region: "noord", Class: "standard", Steps: []workload.Step{
				turn(10, 2), workload.Pause{Duration: pause}, turn(5, 3), turn(5, 1), operation("file"),
				workload.SubAgent{Steps: []workload.Step{turn(7, 1), turn(1, 1)}},
			}},
			{ID: "failing", Region: "noord", Class: "standard", Arrival: time.Millisecond, Steps: []workload.Step{operation("broken"), turn(1, 1)}},
		}
		outcomes := driver.New(callers).Run(context.Background(), list)
		slices.SortFunc(outcomes, func(a, b driver.Outcome) int { return strings.Compare(string(a.Program), string(b.Program)) })

		var got strings.Builder
		slices.SortStableFunc(s.requestLines, func(a, b string) int { return strings.Compare(rootProgram(a), rootProgram(b)) })
		fmt.Fprintln(&got, strings.Join(s.requestLines, "\n"))
		for _, o := range outcomes {
			fmt.Fprintf(&got, "%s: refused %d, retries %d, cacheable %d, recomputed %d, error %v\n",
				o.Program, o.Refused, o.Retries, o.Cacheable, o.Recomputed, o.Err)
		}
		path := "testdata/run.txt"
		if *update {
			Expect(os.WriteFile(path, []byte(got.String()), 0o600)).To(Succeed())
		}
		want, err := os.ReadFile(path)
		Expect(err).NotTo(HaveOccurred())
		Expect(got.String()).To(Equal(string(want)))

		// Guards against tool pauses counted as latency.
		Expect(outcomes[1].Done).To(BeNumerically(">=", pause))
		Expect(outcomes[1].Latency).To(BeNumerically("<", outcomes[1].Done-pause+time.Millisecond))
	})
})

// rootProgram returns the root of the program named in a request line.
func rootProgram(line string) string {
	return string(ident.ProgramID(strings.Fields(line)[1]).Root())
}
