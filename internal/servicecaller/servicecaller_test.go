package servicecaller_test

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/tools/txtar"

	"github.com/sassafrasspur/sassafrasspur/internal/servicecaller"
	"github.com/sassafrasspur/sassafrasspur/internal/timer"
)

var update = flag.Bool("update", false, "rewrite golden files")

const validAnswer = `{"program":"p1","call_id":"c1","attempt":1,"result":"ok"}`

var request = servicecaller.Request{Program: "p1", Call: "c1", Attempt: 1, Operation: "pay/fee", Body: `{"sum":1}`}

func TestServiceCaller(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "servicecaller")
}

func checkGolden(path string, render func(archive *txtar.Archive) string) {
	archive, err := txtar.ParseFile(path)
	Expect(err).NotTo(HaveOccurred())
	last := &archive.Files[len(archive.Files)-1]
	got := render(archive)
	if *update {
		last.Data = []byte(got)
		Expect(os.WriteFile(path, txtar.Format(archive), 0o644)).To(Succeed())
	}
	Expect(got).To(Equal(string(last.Data)))
}

// countArrivals makes two calls and counts the requests that arrive for the
// second, which the server handles with a fault. The first is answered, so that a
// client that uses keep-alives has an idle connection.
func countArrivals(fault string, call func(address string) string) string {
	var count atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		n := count.Add(1)
		switch {
		case n == 1:
			_, _ = io.WriteString(w, validAnswer)
		case fault == "drop":
			panic(http.ErrAbortHandler)
		case fault == "drop after part of the answer":
			w.Header().Set("Content-Length", "100")
			_, _ = io.WriteString(w, validAnswer)
			panic(http.ErrAbortHandler)
		case fault == "redirect 307" && n == 2:
			http.Redirect(w, r, "/moved", http.StatusTemporaryRedirect)
		case fault == "time-out":
			<-r.Context().Done()
		default:
			_, _ = io.WriteString(w, validAnswer)
		}
	}))
	defer server.Close()
	address := server.Listener.Addr().String()
	_ = call(address)
	outcome := call(address)
	// 50 ms is long enough for a resent request to arrive over loopback.
	time.Sleep(50 * time.Millisecond)
	return fmt.Sprintf("arrivals=%d %s", count.Load()-1, outcome)
}

var _ = Describe("Caller", func() {
	// Guards against net/http sending a call twice, for example a payment.
	It("sends a call at most once", func(ctx context.Context) {
		checkGolden("testdata/arrivals.txtar", func(*txtar.Archive) string {
			var lines strings.Builder
			for _, fault := range []string{"none", "drop", "drop after part of the answer", "redirect 307", "time-out"} {
				caller := servicecaller.New(timer.New(), servicecaller.WithTimeout(200*time.Millisecond))
				_, _ = fmt.Fprintf(&lines, "%s: caller: %s\n", fault, countArrivals(fault, func(address string) string {
					request := request
					request.Address = address
					_, err := caller.Call(ctx, request)
					return fmt.Sprintf("%T", err)
				}))
				if fault != "drop" && fault != "redirect 307" {
					continue
				}
				defaultClient := &http.Client{Transport: &http.Transport{}}
				_, _ = fmt.Fprintf(&lines, "%s: plain http.Client: %s\n", fault, countArrivals(fault, func(address string) string {
					httpRequest, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address, strings.NewReader("{}"))
					Expect(err).NotTo(HaveOccurred())
					httpRequest.Header.Set("Idempotency-Key", "c1")
					response, err := defaultClient.Do(httpRequest)
					if err != nil {
						return "error"
					}
					_, _ = io.Copy(io.Discard, response.Body)
					_ = response.Body.Close()
					return response.Status
				}))
			}
			return lines.String()
		})
	})

	// Guards against accepting an answer of another call, and against reporting a
	// call as not run that may have run.
	It("classifies answers", func(ctx context.Context) {
		checkGolden("testdata/answers.txtar", func(archive *txtar.Archive) string {
			var lines strings.Builder
			for _, file := range archive.Files[:len(archive.Files)-1] {
				server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					code := 0
					head, body, _ := strings.Cut(string(file.Data), "\n")
					_, _ = fmt.Sscan(head, &code)
					if strings.Contains(head, "leaving") {
						w.Header().Set("X-Upstream-Leaving", "true")
					}
					w.WriteHeader(code)
					_, _ = io.WriteString(w, body)
				}))
				caller := servicecaller.New(timer.New(), servicecaller.WithMaxAnswerBytes(200))
				request := request
				request.Address = server.Listener.Addr().String()
				result, err := caller.Call(ctx, request)
				_, _ = fmt.Fprintf(&lines, "%s: %+v %T %v crossed=%d\n", file.Name, result.Answer, err, err, caller.Crossed())
				server.Close()
			}
			return lines.String()
		})
	})

	// Guards against a failed dial being reported as an unknown outcome.
	It("reports a failed dial as not run", func(ctx context.Context) {
		server := httptest.NewServer(http.NotFoundHandler())
		server.Close()
		request := request
		request.Address = server.Listener.Addr().String()
		_, err := servicecaller.New(timer.New()).Call(ctx, request)
		Expect(err).To(BeAssignableToTypeOf(servicecaller.NotRun{}))
	})
})

// FuzzReadReply guards against a panic on malformed answers, and against a reply
// that is returned together with an error.
func FuzzReadReply(f *testing.F) {
	f.Add(validAnswer)
	f.Add(`{"program":"p1","error":{"code":4}}`)
	f.Fuzz(func(t *testing.T, data string) {
		reply, err := servicecaller.ReadReply(strings.NewReader(data), 1000)
		if err != nil && reply != (servicecaller.Reply{}) {
			t.Fatalf("reply returned together with the error %v", err)
		}
	})
}
