package apiserver_test

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/tools/txtar"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/addresser"
	"github.com/sassafrasspur/sassafrasspur/internal/apiserver"
	"github.com/sassafrasspur/sassafrasspur/internal/chain"
	"github.com/sassafrasspur/sassafrasspur/internal/configuration"
	"github.com/sassafrasspur/sassafrasspur/internal/failure"
	"github.com/sassafrasspur/sassafrasspur/internal/outcome"
	"github.com/sassafrasspur/sassafrasspur/internal/planner"
	"github.com/sassafrasspur/sassafrasspur/internal/program"
	"github.com/sassafrasspur/sassafrasspur/internal/record"
	"github.com/sassafrasspur/sassafrasspur/internal/request"
	"github.com/sassafrasspur/sassafrasspur/internal/snapshot"
	"github.com/sassafrasspur/sassafrasspur/internal/timer"
)

var update = flag.Bool("update", false, "rewrite the golden files")

func TestApiserver(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Front")
}

var start = time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)

// scriptedChain is a filter chain that executes the commands of a golden file and
// records what it receives.
type scriptedChain struct {
	lines      []string
	transcript strings.Builder
}

func (s *scriptedChain) serve(_ context.Context, x *chain.Exchange) error {
	fmt.Fprintf(&s.transcript, "chain: %s %T%+v\n", x.Credential, x.Request, x.Request)
	for _, line := range s.lines {
		verb, rest, _ := strings.Cut(line, " ")
		if err := step(x, verb, rest); err != nil {
			fmt.Fprintf(&s.transcript, "chain: %s: %v\n", verb, err)
			return err
		}
	}
	return nil
}

func step(x *chain.Exchange, verb, rest string) error {
	words := strings.Fields(rest)
	number := func(i int) int {
		n, err := strconv.Atoi(words[i])
		Expect(err).NotTo(HaveOccurred())
		return n
	}
	switch verb {
	case "chunk":
		return x.Sink.Chunk(number(0), strings.Join(words[1:], " ")+" ")
	case "void":
		return x.Sink.Void()
	case "end":
		return x.Sink.End(chain.End{
			Call: ident.CallID(words[0]), Attempt: 1, Chunks: number(1),
			Answer: record.Answer{Body: strings.Join(words[2:], " "), Usage: record.Usage{Calls: 1, PromptTokens: 7, OutputTokens: 3}},
		})
	case "fail":
		return &failure.Error{Kind: failure.Kind(words[0]), NotRun: words[1] == "true", RetryAfter: time.Duration(number(2)) * time.Millisecond, Message: strings.Join(words[3:], " ")}
	case "settle":
		if _, ok := x.Request.(request.Resolve); ok {
			return step(x, "fail", rest)
		}
	case "break":
		return fmt.Errorf("%s", rest)
	case "show":
		x.Reply = outcome.Shown{View: program.View{
			State: program.State{
				ID: "trip-1.1", Team: "desk", Class: "fast",
				Turns: []program.Turn{{Call: "a", Position: 1, Pool: "chat", Body: "hi", Attempt: 1, Answer: record.Answer{Body: "hello"}}},
				Calls: map[ident.CallID]program.Call{"a": {Status: program.Done}, "b": {Position: 2, Status: program.Unknown, Attempt: 2, Upstream: "u1"}},
			},
			Root:     program.State{Budget: record.Budget{Calls: 9, Tokens: 900, Expires: start}, Spent: record.Amount{Calls: 1, Tokens: 10}},
			Reserved: record.Amount{Calls: 3, Tokens: 390},
		}}
	}
	return nil
}

func identify(_ context.Context, x *chain.Exchange) error {
	switch x.Credential {
	case "op":
		x.Account = chain.Account{ID: "olive", Role: chain.Operator}
	case "t":
		x.Account = chain.Account{ID: "tess", Team: "desk", Role: chain.Caller}
	default:
		return failure.Refusal(failure.Unauthorized, 0, "the credential is not known; ask an operator for one")
	}
	return nil
}

// fakePlans has the plans "good" and "stale", and "foreign" of another team.
type fakePlans struct{}

func (fakePlans) Create(_ context.Context, _ ident.TeamID, intent string) (planner.Plan, error) {
	return planner.Plan{ID: "good", Base: 4, Steps: []string{intent}, Changes: []planner.Change{{Team: "desk", Text: "more"}}}, nil
}

func (fakePlans) Show(_ context.Context, _ ident.TeamID, id ident.PlanID) (planner.Plan, bool, error) {
	switch id {
	case "good":
		return planner.Plan{ID: id, Base: 4, Orders: []planner.Order{planner.ResolveOrder{Program: "trip-1", Call: "a", Ran: true, Answer: "ok"}}}, false, nil
	case "foreign":
		return planner.Plan{}, false, failure.Refusal(failure.Forbidden, 0, "plan foreign is one of another team; use its operator")
	case "stale":
		return planner.Plan{ID: id, Base: 3}, false, nil
	}
	return planner.Plan{}, false, failure.Refusal(failure.NotFound, 0, "there is no plan %s; create one", id)
}

func (fp fakePlans) Confirm(ctx context.Context, team ident.TeamID, id ident.PlanID) (planner.Plan, error) {
	if id == "stale" {
		return planner.Plan{}, failure.Refusal(failure.PlanStale, 0, "version 4 is in force; create the plan again")
	}
	plan, _, err := fp.Show(ctx, team, id)
	return plan, err
}

func member(vm ident.VMID, domain ident.Domain, leaving bool) snapshot.Member {
	return snapshot.Member{VM: vm, Address: string(vm) + ":80", Region: "noord", Domain: domain, Leaving: leaving}
}

func newSnapshot(draining bool) *snapshot.Snapshot {
	s := &snapshot.Snapshot{
		Configuration:           &configuration.Configuration{Version: 4, Plan: "p", Upstreams: []configuration.Upstream{{ID: "u1", Pool: "chat", Team: "desk", Address: "u:1", Slots: 4}}},
		ConfigurationFreshUntil: start.Add(time.Second), ConfigurationAsOf: start.Add(-time.Second),
		UnknownCalls:     []snapshot.UnknownCall{{Team: "desk", Program: "trip", Call: "c"}, {Program: "own", Call: "d"}},
		LeavingUpstreams: []ident.UpstreamID{"u1"},
		UpstreamLoads:    []snapshot.UpstreamLoad{{Upstream: "u1", InFlight: 1, Limit: 2, Usable: true}},
		Entry: snapshot.Entry{
			Enrolled: true, Leaving: draining, MembersAsOf: start,
			Present: []snapshot.Member{member("a", "n1", draining), member("b", "n2", false), member("c", "n2", true)},
		},
	}
	for _, m := range s.Entry.Present {
		if !m.Leaving {
			s.Entry.Members = append(s.Entry.Members, m)
		}
	}
	return s
}

// serveRequest serves one request of a golden file. It returns what the chain
// received, followed by the response.
func serveRequest(name, request, lines string) string {
	s := &scriptedChain{lines: strings.Split(strings.TrimSpace(lines), "\n")}
	server := apiserver.New(member("a", "n1", false), s.serve, identify, func() *snapshot.Snapshot {
		if strings.Contains(name, "starting") {
			return nil
		}
		return newSnapshot(strings.Contains(name, "draining"))
	}, fakePlans{}, timer.New(timer.WithManual(timer.NewManual(start))), addresser.New(), apiserver.WithMaxBody(512))
	head, body, _ := strings.Cut(request, "\n\n")
	first, headers, _ := strings.Cut(head, "\n")
	method, path, _ := strings.Cut(strings.TrimSpace(first), " ")
	r := httptest.NewRequest(method, path, strings.NewReader(strings.TrimSpace(body)))
	for header := range strings.Lines(headers) {
		key, value, _ := strings.Cut(strings.TrimSpace(header), ": ")
		r.Header.Set(key, value)
	}
	w := httptest.NewRecorder()
	server.Handler().ServeHTTP(w, r)
	answer := w.Result()
	fmt.Fprintf(&s.transcript, "%d %s\n", answer.StatusCode, http.StatusText(answer.StatusCode))
	for _, key := range []string{"Content-Type", "Retry-After", "Connection"} {
		if value := answer.Header.Get(key); value != "" {
			fmt.Fprintf(&s.transcript, "%s: %s\n", key, value)
		}
	}
	return s.transcript.String() + "\n" + strings.TrimRight(w.Body.String(), "\n") + "\n"
}

// Guards against requests that are decoded wrongly, errors without a kind or a
// remedy, and incomplete answers that end with an end marker.
var _ = Describe("a session", func() {
	files, _ := filepath.Glob("testdata/*.txtar")
	for _, file := range files {
		It("of "+filepath.Base(file), func() {
			archive, err := txtar.ParseFile(file)
			Expect(err).NotTo(HaveOccurred())
			var lines string
			var out []txtar.File
			for i, f := range archive.Files {
				if strings.HasPrefix(f.Name, "answer") {
					continue
				}
				out = append(out, f)
				if strings.HasPrefix(f.Name, "chain") {
					lines = string(f.Data)
					continue
				}
				got := serveRequest(f.Name, string(f.Data), lines)
				lines = ""
				name := strings.Replace(f.Name, "request", "answer", 1)
				out = append(out, txtar.File{Name: name, Data: []byte(got)})
				if !*update {
					Expect(i+1).To(BeNumerically("<", len(archive.Files)), "no answer to "+f.Name)
					Expect(got).To(Equal(string(archive.Files[i+1].Data)), f.Name)
				}
			}
			if *update {
				archive.Files = out
				Expect(os.WriteFile(file, txtar.Format(archive), 0o600)).To(Succeed())
			}
		})
	}
})
