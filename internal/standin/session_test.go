package standin_test

import (
	"context"
	"flag"
	"fmt"
	"io"
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

	"github.com/sassafrasspur/sassafrasspur/internal/standin/engine"
	"github.com/sassafrasspur/sassafrasspur/internal/standin/rowserver"
	"github.com/sassafrasspur/sassafrasspur/internal/standin/rowstore"
	"github.com/sassafrasspur/sassafrasspur/internal/standin/service"
	"github.com/sassafrasspur/sassafrasspur/internal/timer"
)

var update = flag.Bool("update", false, "update the golden files")

func TestStandins(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "stand-ins")
}

// epoch is the start time of the manual clock.
var epoch = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// session runs the script of a golden file against one stand-in. The lines of
// a script are:
//
//	METHOD PATH [BODY]             sends a request and records its response
//	start NAME METHOD PATH [BODY]  sends a request in the background
//	wait NAME                      records the response to a background request
//	leave NAME                     disconnects the client of a background request
//	await PATH TEXT                polls PATH until the response contains TEXT
//	timers N                       waits until the clock has N pending timers
//	advance DURATION               advances the clock
type session struct {
	clock          *timer.Manual
	base           map[string]string
	startedAnswers map[string]chan string
	clientCancels  map[string]func()
	out            strings.Builder
}

// client uses a new connection for each request. On a reused connection that a
// fault closes, net/http could send the request a second time.
var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 20 * time.Second}

func (s *session) request(ctx context.Context, line string) string {
	method, rest, _ := strings.Cut(line, " ")
	path, body, _ := strings.Cut(rest, " ")
	base := s.base["main"]
	target, rest, table := strings.Cut(path, ":")
	if table {
		base, path = s.base["table"], "/"
	}
	r, err := http.NewRequestWithContext(ctx, method, base+path, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	if table {
		r.Header.Set("X-Amz-Target", target+"."+rest)
	}
	response, err := client.Do(r)
	if err != nil {
		return "no answer\n"
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	var out strings.Builder
	fmt.Fprintf(&out, "%d\n", response.StatusCode)
	for _, name := range []string{"X-Upstream-Leaving", "X-Cached-Tokens"} {
		if value := response.Header.Get(name); value != "" {
			fmt.Fprintf(&out, "%s: %s\n", name, value)
		}
	}
	if response.Header.Get("Content-Type") == "application/octet-stream" && response.Header.Get("X-Cached-Tokens") != "" {
		answer = []byte(strconv.Quote(string(answer)))
	}
	if text := strings.TrimSpace(string(answer)); text != "" {
		out.WriteString(strings.ReplaceAll(text, "\n\n", "\n") + "\n")
	}
	if err != nil {
		out.WriteString("connection broken\n")
	}
	return out.String()
}

func (s *session) execute(ctx SpecContext, line string) {
	fmt.Fprintf(&s.out, "> %s\n", line)
	word, rest, _ := strings.Cut(line, " ")
	switch word {
	case "start":
		name, request, _ := strings.Cut(rest, " ")
		answer := make(chan string, 1)
		c, cancel := context.WithCancel(ctx)
		s.startedAnswers[name], s.clientCancels[name] = answer, cancel
		go func() {
			defer GinkgoRecover()
			answer <- s.request(c, request)
		}()
	case "wait":
		var answer string
		Eventually(ctx, s.startedAnswers[rest]).WithTimeout(10*time.Second).Should(Receive(&answer), line)
		s.out.WriteString(answer)
	case "leave":
		s.clientCancels[rest]()
		Eventually(ctx, s.startedAnswers[rest]).WithTimeout(10*time.Second).Should(Receive(), line)
	case "await":
		path, text, _ := strings.Cut(rest, " ")
		Eventually(ctx, func() string {
			return s.request(ctx, "GET "+path)
		}).WithTimeout(10*time.Second).Should(ContainSubstring(text), line)
	case "timers":
		Eventually(ctx, func() string {
			return strconv.Itoa(s.clock.Waiting())
		}).WithTimeout(10*time.Second).Should(Equal(rest), line)
	case "advance":
		d, err := time.ParseDuration(rest)
		Expect(err).NotTo(HaveOccurred(), line)
		s.clock.Advance(d)
	default:
		s.out.WriteString(s.request(ctx, line))
	}
}

// newSession starts the stand-in that is named by the part of a golden file's
// name before the first hyphen.
func newSession(name string) *session {
	s := &session{
		clock: timer.NewManual(epoch), base: map[string]string{},
		startedAnswers: map[string]chan string{}, clientCancels: map[string]func(){},
	}
	timers := timer.New(timer.WithManual(s.clock))
	serve := func(key string, h http.Handler) {
		server := httptest.NewServer(h)
		DeferCleanup(server.Close)
		s.base[key] = server.URL
	}
	kind, _, _ := strings.Cut(name, "-")
	switch kind {
	case "engine":
		e := engine.New(
			engine.WithTimers(timers), engine.WithSlots(2), engine.WithQueue(2),
			engine.WithPrefill(1000), engine.WithDecode(10*time.Millisecond, 0),
			engine.WithCacheLimit(20), engine.WithEventLag(time.Second), engine.WithGapEvery(3),
			engine.WithLinger(100*time.Millisecond), engine.WithRetention(time.Second),
			engine.WithFencing(true),
		)
		serve("main", e.Handler())
		DeferCleanup(e.Close)
	case "service":
		u := service.New(
			service.WithTimers(timers), service.WithSlots(1), service.WithQueue(1),
			service.WithDuration(50*time.Millisecond), service.WithLoadLag(time.Second),
		)
		serve("main", u.Handler())
		DeferCleanup(u.Close)
	case "store":
		store := rowstore.New(rowstore.WithTimers(timers))
		serve("main", rowserver.NewControl(store).Handler(rowserver.New(store)))
	}
	return s
}

// The sessions guard against unintended changes of the wire behaviour on which
// the clients of the stand-ins and the other tests rely.
var _ = Describe("a session", func() {
	files, _ := filepath.Glob("testdata/*.txtar")
	for _, file := range files {
		name := strings.TrimSuffix(filepath.Base(file), ".txtar")
		It("matches the golden file of "+name, func(ctx SpecContext) {
			archive, err := txtar.ParseFile(file)
			Expect(err).NotTo(HaveOccurred())
			s := newSession(name)
			for line := range strings.Lines(string(archive.Files[0].Data)) {
				if line = strings.TrimSpace(line); line != "" && !strings.HasPrefix(line, "#") {
					s.execute(ctx, line)
				}
			}
			if *update {
				golden := txtar.File{Name: "golden", Data: []byte(s.out.String())}
				archive.Files = []txtar.File{archive.Files[0], golden}
				Expect(os.WriteFile(file, txtar.Format(archive), 0o644)).To(Succeed())
				return
			}
			Expect(archive.Files).To(HaveLen(2), "the golden section is missing; run with -update")
			Expect(s.out.String()).To(Equal(string(archive.Files[1].Data)))
		}, SpecTimeout(30*time.Second))
	}
})
