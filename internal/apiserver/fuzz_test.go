package apiserver_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"os"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sassafrasspur/sassafrasspur/internal/addresser"
	"github.com/sassafrasspur/sassafrasspur/internal/apiserver"
	"github.com/sassafrasspur/sassafrasspur/internal/chain"
	"github.com/sassafrasspur/sassafrasspur/internal/failure"
	"github.com/sassafrasspur/sassafrasspur/internal/snapshot"
	"github.com/sassafrasspur/sassafrasspur/internal/timer"
)

// Guards against callers that stall or disconnect in the middle of a body: the
// request must end within the body timeout, and other requests must not be
// affected.
func TestStalledBody(t *testing.T) {
	g := NewWithT(t)
	served := make(chan struct{})
	wait := func(ctx context.Context, _ *chain.Exchange) error {
		close(served)
		<-ctx.Done()
		return ctx.Err()
	}
	handler := apiserver.New(snapshot.Member{}, wait, identify, func() *snapshot.Snapshot { return newSnapshot(false) }, fakePlans{},
		timer.New(), addresser.New(), apiserver.WithBodyTimeout(100*time.Millisecond)).Handler()
	server := httptest.NewServer(handler)
	defer server.Close()
	dial := func(body string, length int) net.Conn {
		c, err := net.Dial("tcp", server.Listener.Addr().String())
		g.Expect(err).NotTo(HaveOccurred())
		_, err = fmt.Fprintf(c, "POST /v1/programs/trip-1/calls HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer t\r\nContent-Length: %d\r\n\r\n%s", length, body)
		g.Expect(err).NotTo(HaveOccurred())
		return c
	}
	gone := dial(`{"call_id"`, 100)
	g.Expect(gone.Close()).To(Succeed())
	silent := dial(`{"call_id"`, 100)
	defer func() { _ = silent.Close() }()
	completeBody := `{"call_id":"a","position":1,"pool":"chat","body":"hi"}`
	long := dial(completeBody, len(completeBody))
	defer func() { _ = long.Close() }()
	<-served
	g.Expect(silent.SetReadDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
	answer, err := io.ReadAll(silent)
	g.Expect(err).NotTo(HaveOccurred(), "the stalled connection was not closed")
	g.Expect(string(answer)).To(And(HavePrefix("HTTP/1.1 400"), ContainSubstring(`"kind":"invalid_request"`)))
	// After a complete body the timeout no longer applies to the call.
	g.Expect(long.SetReadDeadline(time.Now().Add(300 * time.Millisecond))).To(Succeed())
	_, err = long.Read(make([]byte, 1))
	g.Expect(err).To(MatchError(os.ErrDeadlineExceeded))
}

// Guards against panics, internal errors and error responses without a kind or a
// remedy, for any body and id.
func FuzzRequests(f *testing.F) {
	for path := range uint8(6) {
		f.Add(path, "trip-1", []byte(`{"program":"trip-1","class":"chat","budget":{"calls":1,"tokens":1,"seconds":1}}`))
		f.Add(path, "../x", []byte(`{"call_id":"a","position":1,"pool":"p","body":"b","max_tokens":-1}`))
		f.Add(path, "", []byte(`{"child":"trip-1.1"}[`))
		f.Add(path, "%", []byte(`{"intent":"[[intent]]"`))
	}
	refuse := func(context.Context, *chain.Exchange) error {
		return failure.Refusal(failure.NoUpstream, 0, "the chain is not under test; ignore this")
	}
	handler := apiserver.New(snapshot.Member{}, refuse, identify, func() *snapshot.Snapshot { return newSnapshot(false) }, fakePlans{},
		timer.New(timer.WithManual(timer.NewManual(start))), addresser.New(), apiserver.WithMaxBody(512)).Handler()
	f.Fuzz(func(t *testing.T, path uint8, id string, body []byte) {
		id = url.PathEscape(id)
		paths := []string{"/v1/programs", "/v1/programs/" + id + "/calls", "/v1/programs/" + id + "/children",
			"/v1/programs/" + id + "/end", "/v1/plans", "/v1/plans/" + id + "/confirm"}
		r := httptest.NewRequest(http.MethodPost, paths[int(path)%len(paths)], bytes.NewReader(body))
		r.Header.Set("Authorization", "Bearer op")
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, r)
		if w.Code < 300 && strings.HasPrefix(r.URL.Path, "/v1/plans") {
			return
		}
		var answer struct {
			Kind    string `json:"kind"`
			Message string `json:"message"`
			NotRun  bool   `json:"not_run"`
		}
		if err := json.Unmarshal(w.Body.Bytes(), &answer); err != nil {
			t.Fatalf("%d %v: %s", w.Code, err, w.Body)
		}
		if answer.Kind == "" || !strings.Contains(answer.Message, ";") || !answer.NotRun || w.Code == http.StatusInternalServerError {
			t.Fatalf("%d %s", w.Code, w.Body)
		}
	})
}
