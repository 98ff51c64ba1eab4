package main

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"
	"golang.org/x/tools/txtar"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/addresser"
	"github.com/sassafrasspur/sassafrasspur/internal/apiserver"
	"github.com/sassafrasspur/sassafrasspur/internal/chain"
	"github.com/sassafrasspur/sassafrasspur/internal/configuration"
	"github.com/sassafrasspur/sassafrasspur/internal/confirmer"
	"github.com/sassafrasspur/sassafrasspur/internal/failure"
	"github.com/sassafrasspur/sassafrasspur/internal/outcome"
	"github.com/sassafrasspur/sassafrasspur/internal/program"
	"github.com/sassafrasspur/sassafrasspur/internal/record"
	"github.com/sassafrasspur/sassafrasspur/internal/request"
	"github.com/sassafrasspur/sassafrasspur/internal/snapshot"
	"github.com/sassafrasspur/sassafrasspur/internal/standin/rowstore"
	"github.com/sassafrasspur/sassafrasspur/internal/timer"
	"github.com/sassafrasspur/sassafrasspur/internal/viewer"
)

var update = flag.Bool("update", false, "rewrite the golden files")

func TestCommandLine(t *testing.T) {
	for _, variable := range []string{"SERVER", "ASK", "TOKEN"} {
		t.Setenv("SASSAFRASSPUR_"+variable, "")
		_ = os.Unsetenv("SASSAFRASSPUR_" + variable)
	}
	RegisterFailHandler(Fail)
	RunSpecs(t, "Command line")
}

var start = time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)

// serveCall stands for the filter chain. Its answer depends on the call id.
func serveCall(_ context.Context, x *chain.Exchange) error {
	switch r := x.Request.(type) {
	case request.Call:
		switch r.Call {
		case "gap":
			return failure.Refusal(failure.PositionGap, 0, "position %d came in place of 2; send position 2", r.Position)
		case "late":
			_ = x.Sink.Chunk(0, "hel")
			return &failure.Error{Kind: failure.NotDurable, RetryAfter: time.Second, Message: "the answer is not durable; repeat the call"}
		}
		_ = x.Sink.Chunk(0, "hello ")
		_ = x.Sink.Chunk(1, r.Body)
		return x.Sink.End(chain.End{Call: r.Call, Attempt: 1, Chunks: 2, Answer: record.Answer{Failed: r.Call == "bad"}})
	case request.Show:
		x.Reply = outcome.Shown{View: program.View{State: program.State{
			ID: r.Program, Team: "desk", Class: "fast", Ended: true, Reason: "ended by the caller",
			Turns: []program.Turn{{Call: "a", Position: 1, Pool: "chat", Attempt: 1, Answer: record.Answer{Failed: true}}},
			Calls: map[ident.CallID]program.Call{"b": {Position: 2, Status: program.Unknown, Attempt: 1, Upstream: "u1"}},
		}, Root: program.State{Budget: record.Budget{Calls: 9, Expires: start}}}}
	}
	return nil
}

// servers starts the servers that the golden files refer to and returns a replacer
// of their names with their addresses. $A works and $C refuses connections. After
// one chunk, $B breaks the stream, $D hangs, $E sends a wrong count, $F omits a
// chunk and $G sends a chunk of another call.
func servers() *strings.Replacer {
	timers := timer.New(timer.WithManual(timer.NewManual(start)))
	view := &snapshot.Snapshot{}
	identify := func(_ context.Context, x *chain.Exchange) error {
		x.Account = chain.Account{ID: "olive", Role: chain.Operator}
		if x.Credential != "op" {
			x.Account.Role = chain.Caller
		}
		return nil
	}
	plans := confirmer.New(rowstore.New(), timers, confirmer.WithIDs(func() string { return "plan-1" }))
	self := &snapshot.Member{VM: "vm1", Region: "noord", Domain: "n1"}
	apiHandler := apiserver.New(*self, serveCall, identify, func() *snapshot.Snapshot { return view }, plans, timers, addresser.New()).Handler()
	views := viewer.New(*self, func() *snapshot.Snapshot { return view }, timers).Handler(zerolog.Nop())
	working := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v1/view" {
			views.ServeHTTP(w, r)
			return
		}
		apiHandler.ServeHTTP(w, r)
	}))
	DeferCleanup(working.Close)
	// faulty answers calls with the given events and then drops the connection.
	faulty := func(events ...string) *httptest.Server {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if !strings.HasSuffix(r.URL.Path, "/calls") {
				apiHandler.ServeHTTP(w, r)
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			w.Header().Set("Content-Type", "text/event-stream")
			for _, event := range events {
				if event == "hang" {
					_ = http.NewResponseController(w).Flush()
					<-r.Context().Done()
					return
				}
				_, _ = fmt.Fprintf(w, "data: %s\n\n", event)
				_ = http.NewResponseController(w).Flush()
			}
			panic(http.ErrAbortHandler)
		}))
		DeferCleanup(server.Close)
		return server
	}
	chunk := `{"event":"chunk","index":0,"text":"lost","call_id":"a"}`
	breakingStream := faulty(chunk)
	hangingStream := faulty(chunk, "hang")
	wrongCount := faulty(chunk, `{"event":"end","call_id":"a","attempt":1,"chunks":2}`)
	missingChunk := faulty(chunk, `{"event":"chunk","index":2,"text":"x","call_id":"a"}`)
	foreignChunk := faulty(chunk, `{"event":"chunk","index":1,"text":"x","call_id":"b"}`)
	refusing := httptest.NewServer(nil)
	refusing.Close()
	host := func(s *httptest.Server) string { return s.Listener.Addr().String() }
	self.Address = host(working)
	*view = snapshot.Snapshot{
		ConfigurationAsOf: start,
		Entry: snapshot.Entry{
			Enrolled: true, MembersAsOf: start, Members: []snapshot.Member{*self}, Present: []snapshot.Member{*self},
		},
		Configuration: &configuration.Configuration{Version: 3, Upstreams: []configuration.Upstream{{ID: "u1", Pool: "chat", Team: "desk", Address: "10.0.0.1:80", Drain: true}}},
	}
	return strings.NewReplacer("$A", host(working), "$B", host(breakingStream), "$C", host(refusing),
		"$D", host(hangingStream), "$E", host(wrongCount), "$F", host(missingChunk), "$G", host(foreignChunk))
}

// Guards against errors without a remedy, against wrong exit codes, and against
// printing incomplete answers.
var _ = Describe("a session", func() {
	files, _ := filepath.Glob("testdata/*.txtar")
	for _, file := range files {
		It("of "+filepath.Base(file), func() {
			archive, err := txtar.ParseFile(file)
			Expect(err).NotTo(HaveOccurred())
			toAddresses := servers()
			toPlaceholders := strings.NewReplacer(toAddresses.Replace("$A"), "$A", toAddresses.Replace("$B"), "$B", toAddresses.Replace("$C"), "$C")
			for i := 0; i+1 < len(archive.Files); i += 2 {
				line, input, _ := strings.Cut(string(archive.Files[i].Data), "\n")
				var out, errOut bytes.Buffer
				code := run(context.Background(), strings.Fields(toAddresses.Replace(line)), strings.NewReader(input), &out, &errOut)
				got := toPlaceholders.Replace(fmt.Sprintf("%s%sexit %d\n", out.String(), errOut.String(), code))
				if *update {
					archive.Files[i+1].Data = []byte(got)
				}
				Expect(got).To(Equal(string(archive.Files[i+1].Data)), archive.Files[i].Name)
			}
			if *update {
				Expect(os.WriteFile(file, txtar.Format(archive), 0o600)).To(Succeed())
			}
		})
	}
})
