package upstreamprober

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/tools/txtar"

	"github.com/sassafrasspur/sassafrasspur/internal/effect"
	"github.com/sassafrasspur/sassafrasspur/internal/timer"
)

var update = flag.Bool("update", false, "rewrite golden files")

func TestUpstreamProber(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "upstreamprober")
}

// probe runs the operation that the first word of a case's name selects.
func probe(ctx context.Context, p *Prober, name, address string) string {
	switch operation, _, _ := strings.Cut(name, " "); operation {
	case "load":
		report := p.ReadLoad(ctx, effect.ReadLoad{Upstream: "u1", Address: address})
		report.StartedAt = time.Time{}
		return fmt.Sprintf("%+v", report)
	case "cache":
		return fmt.Sprintf("%+v", p.ReadCache(ctx, effect.ReadCache{Upstream: "u1", Address: address}))
	case "release":
		return fmt.Sprintf("%+v", p.Release(ctx, effect.Release{Program: "p1", Upstream: "u1", Address: address, Epoch: 3}))
	default:
		answer, found, err := p.LookUp(ctx, effect.LookUp{Program: "p1", Call: "c&1", Attempt: 2, Address: address})
		return fmt.Sprintf("{Program:p1 Call:c&1 Found:%t Answer:%+v Err:%v}", found, answer, err)
	}
}

var _ = Describe("Prober", func() {
	// Guards against a malformed body that is reported as an idle upstream, an
	// empty cache or the result of another call, and against an answer that never
	// ends.
	It("reports what upstreams answer", func(ctx context.Context) {
		const path = "testdata/answers.txtar"
		archive, err := txtar.ParseFile(path)
		Expect(err).NotTo(HaveOccurred())
		last := &archive.Files[len(archive.Files)-1]
		var lines strings.Builder
		for _, file := range archive.Files[:len(archive.Files)-1] {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				sent, _ := io.ReadAll(r.Body)
				_, _ = fmt.Fprintf(&lines, "%s: %s %s %s\n", file.Name, r.Method, r.URL, sent)
				code := 0
				head, body, _ := strings.Cut(string(file.Data), "\n")
				_, _ = fmt.Sscan(head, &code)
				if strings.Contains(head, "silent") {
					<-r.Context().Done()
					return
				}
				w.WriteHeader(code)
				_, _ = io.WriteString(w, body)
			}))
			p := New(timer.New(), WithTimeout(300*time.Millisecond), WithMaxBytes(300))
			report := probe(ctx, p, file.Name, server.Listener.Addr().String())
			server.Close()
			_, _ = fmt.Fprintf(&lines, "  %s\n", strings.ReplaceAll(report, server.Listener.Addr().String(), "ADDRESS"))
		}
		if *update {
			last.Data = []byte(lines.String())
			Expect(os.WriteFile(path, txtar.Format(archive), 0o644)).To(Succeed())
		}
		Expect(lines.String()).To(Equal(string(last.Data)))
	})
})

// FuzzDecode guards against panics and against accepted negative values.
func FuzzDecode(f *testing.F) {
	f.Add(`{"running":1,"waiting":2,"waiting_tokens":3,"leaving":false}`)
	f.Add(`{"sequence":1,"programs":[{"program":"p1","tokens":5}]}`)
	f.Fuzz(func(t *testing.T, data string) {
		a := answer{status: http.StatusOK, body: []byte(data)}
		if load, err := decodeLoad(a); err == nil && (load.Running < 0 || load.WaitingTokens < 0) {
			t.Fatalf("negative load from %q", data)
		}
		cache, err := decodeCache(a)
		if (err == nil) != cache.Complete {
			t.Fatalf("complete=%v with the error %v", cache.Complete, err)
		}
		_, _ = decodeResult(a, effect.LookUp{Program: "p1", Call: "c1", Attempt: 1})
	})
}
