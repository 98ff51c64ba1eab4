package enginecaller_test

import (
	"context"
	"encoding/json"
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

	"github.com/sassafrasspur/sassafrasspur/internal/enginecaller"
	"github.com/sassafrasspur/sassafrasspur/internal/timer"
)

var update = flag.Bool("update", false, "rewrite golden files")

func TestEngineCaller(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "enginecaller")
}

// scriptedEngine executes one script for each connection. The directives are
// drop, leaving, silent and status; any other line is the data of an event.
type scriptedEngine struct {
	clock   *timer.Manual
	scripts []string
	tracef  func(format string, args ...any)
}

func (e *scriptedEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.HasSuffix(r.URL.Path, "/cancel") {
		e.tracef("cancel %s", r.URL.Path)
		return
	}
	var body struct {
		ResumeFrom int `json:"resume_from"`
	}
	// The server detects a closed connection only after the body has been read.
	data, _ := io.ReadAll(r.Body)
	_ = json.Unmarshal(data, &body)
	e.tracef("request resume_from=%d", body.ResumeFrom)
	if len(e.scripts) == 0 {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	script := e.scripts[0]
	e.scripts = e.scripts[1:]
	for line := range strings.Lines(script) {
		directive, rest, _ := strings.Cut(strings.TrimSpace(line), " ")
		switch directive {
		case "drop":
			panic(http.ErrAbortHandler)
		case "leaving":
			w.Header().Set("X-Upstream-Leaving", "true")
		case "status":
			code, _ := strconv.Atoi(rest)
			w.WriteHeader(code)
		case "silent":
			for r.Context().Err() == nil {
				e.clock.Advance(time.Second)
				time.Sleep(5 * time.Millisecond)
			}
		default:
			_, _ = fmt.Fprintf(w, "data: %s\n\n", strings.TrimSpace(line))
			w.(http.Flusher).Flush()
		}
	}
}

var request = enginecaller.Request{ID: "r1", Model: "m", Prompt: "a b", MaxTokens: 9, CacheKey: "p1"}

var _ = Describe("Caller", func() {
	paths, _ := filepath.Glob("testdata/*.txtar")
	for _, path := range paths {
		// Guards against answers that are truncated, duplicated, taken from another
		// request, or reported as not run after a part of them ran.
		It("handles "+filepath.Base(path), func(ctx context.Context) {
			archive, err := txtar.ParseFile(path)
			Expect(err).NotTo(HaveOccurred())
			var trace strings.Builder
			e := &scriptedEngine{clock: timer.NewManual(time.Unix(0, 0)), tracef: func(format string, args ...any) {
				_, _ = fmt.Fprintf(&trace, format+"\n", args...)
			}}
			golden := &archive.Files[len(archive.Files)-1]
			for _, file := range archive.Files[:len(archive.Files)-1] {
				e.scripts = append(e.scripts, string(file.Data))
			}
			server := httptest.NewServer(e)
			defer server.Close()
			caller := enginecaller.New(timer.New(timer.WithManual(e.clock)), enginecaller.WithMaxResumes(2))
			request := request
			request.Address = server.Listener.Addr().String()
			result, err := caller.Call(ctx, request, func(index int, text string) error {
				e.tracef("chunk %d %q", index, text)
				if text == "refused-by-sink " {
					return context.Canceled
				}
				return nil
			}, func() error { e.tracef("void"); return nil })
			if err != nil {
				e.tracef("%T %v", err, err)
			} else {
				e.tracef("answer %q chunks=%d usage=%+v", result.Answer.Body, result.Chunks, result.Answer.Usage)
			}
			e.tracef("crossed=%d", caller.Crossed())
			if *update {
				golden.Data = []byte(trace.String())
				Expect(os.WriteFile(path, txtar.Format(archive), 0o644)).To(Succeed())
			}
			Expect(trace.String()).To(Equal(string(golden.Data)))
		})
	}

	// Guards against a request that never reached an engine being reported as one
	// that may have run.
	It("reports a failed dial as refused", func(ctx context.Context) {
		server := httptest.NewServer(http.NotFoundHandler())
		server.Close()
		request := request
		request.Address = server.Listener.Addr().String()
		_, err := enginecaller.New(timer.New()).Call(ctx, request, nil, nil)
		Expect(err).To(BeAssignableToTypeOf(enginecaller.NotRun{}))
	})

	// Guards against a cancelled context being reported as an engine failure, and
	// against request ids that change the path of a cancel request.
	It("cancels", func(ctx context.Context) {
		var cancelPath string
		arrived := make(chan struct{})
		server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			if strings.HasSuffix(r.URL.Path, "/cancel") {
				cancelPath = r.URL.EscapedPath()
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			close(arrived)
			<-r.Context().Done()
		}))
		defer server.Close()
		caller := enginecaller.New(timer.New())
		request := request
		request.Address = server.Listener.Addr().String()
		ctx, cancel := context.WithCancel(ctx)
		go func() { <-arrived; cancel() }()
		_, err := caller.Call(ctx, request, nil, nil)
		Expect(err).To(BeAssignableToTypeOf(enginecaller.Aborted{}))
		Expect(caller.Cancel(context.Background(), request.Address, "p/1")).To(Succeed())
		Expect(cancelPath).To(Equal("/v1/completions/p%2F1/cancel"))
	})
})
