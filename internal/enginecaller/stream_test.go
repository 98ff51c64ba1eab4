package enginecaller_test

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/sassafrasspur/sassafrasspur/internal/enginecaller"
	"github.com/sassafrasspur/sassafrasspur/internal/timer"
)

// answerLength is the number of tokens of each answer.
const answerLength = 6

// connection is what an engine does on one connection of a request.
type connection struct {
	events int
	// end is how the connection ends: whole, cut, crossed (an event of the other
	// request), uncounted (the end marker without the count), short (the end
	// marker too early) or anew (the answer from its start instead of resuming).
	end string
}

// faultyEngine answers requests by scripts, one connection after the other.
type faultyEngine struct {
	mu      sync.Mutex
	scripts map[string][]connection
}

func (e *faultyEngine) next(id string) connection {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.scripts[id]) == 0 {
		return connection{events: answerLength, end: "whole"}
	}
	c := e.scripts[id][0]
	e.scripts[id] = e.scripts[id][1:]
	return c
}

func (e *faultyEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var body struct {
		ID     string `json:"request_id"`
		Resume int    `json:"resume_from"`
	}
	_ = json.NewDecoder(r.Body).Decode(&body)
	c := e.next(body.ID)
	position := body.Resume
	if c.end == "anew" {
		position, c.events = 0, answerLength
	}
	for ; position < answerLength && c.events > 0; position++ {
		send(w, body.ID, word(body.ID, position), nil)
		c.events--
	}
	switch c.end {
	case "cut":
		panic(http.ErrAbortHandler)
	case "crossed":
		send(w, other(body.ID), word(other(body.ID), position), nil)
		panic(http.ErrAbortHandler)
	case "uncounted":
	default:
		count := answerLength
		send(w, body.ID, "", &count)
	}
	_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
}

func send(w http.ResponseWriter, id, text string, count *int) {
	event := map[string]any{"id": id, "choices": []map[string]any{{"index": 0, "text": text}}}
	if count != nil {
		event["usage"] = map[string]any{"prompt_tokens": 1, "completion_tokens": *count}
	}
	data, _ := json.Marshal(event)
	_, _ = fmt.Fprintf(w, "data: %s\n\n", data)
	w.(http.Flusher).Flush()
}

func word(id string, position int) string { return fmt.Sprintf("%s.%d ", id, position) }

func other(id string) string { return map[string]string{"a": "b", "b": "a"}[id] }

// Guards against answers that are cut, mixed with another request's, or counted
// wrongly and still reach a caller as whole (property 5).
var _ = It("gives whole answers to their own requests through cut and crossed streams", func() {
	for name, value := range map[string]string{"rapid.checks": "800", "rapid.nofailfile": "true"} {
		Expect(flag.Set(name, value)).To(Succeed())
	}
	ends := []string{"whole", "cut", "cut", "crossed", "uncounted", "short", "anew"}
	engine := &faultyEngine{}
	server := httptest.NewServer(engine)
	defer server.Close()
	server.Config.ErrorLog = nil
	caller := enginecaller.New(timer.New(), enginecaller.WithFirstByte(5*time.Second))
	rapid.Check(GinkgoT(), func(t *rapid.T) {
		script := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) connection {
			c := connection{events: rapid.IntRange(0, answerLength).Draw(t, "events"), end: rapid.SampledFrom(ends).Draw(t, "end")}
			if c.end == "whole" {
				c.events = answerLength
			}
			return c
		}), 0, 5)
		engine.mu.Lock()
		engine.scripts = map[string][]connection{"a": script.Draw(t, "a"), "b": script.Draw(t, "b")}
		engine.mu.Unlock()
		var wait sync.WaitGroup
		failures := make([]string, 2)
		for i, id := range []string{"a", "b"} {
			wait.Go(func() { failures[i] = runStream(caller, server.Listener.Addr().String(), id) })
		}
		wait.Wait()
		if wrong := strings.Join(failures, ""); wrong != "" {
			t.Fatal(wrong)
		}
	})
})

// runStream runs one request and says what a caller would find wrong.
func runStream(caller *enginecaller.Caller, address, id string) string {
	var got []string
	result, err := caller.Call(context.Background(), enginecaller.Request{Address: address, ID: enginecaller.RequestID(id), MaxTokens: answerLength},
		func(index int, text string) error {
			if index != len(got) {
				return fmt.Errorf("chunk %d after %d", index, len(got))
			}
			got = append(got, text)
			return nil
		},
		func() error {
			got = nil
			return nil
		})
	var want []string
	for i := range answerLength {
		want = append(want, word(id, i))
	}
	if err == nil && (!slices.Equal(got, want) || result.Answer.Body != strings.Join(want, "") || result.Chunks != answerLength) {
		return fmt.Sprintf("property 5: the answer of %s was told whole as %q, chunks %q", id, result.Answer.Body, got)
	}
	for i, text := range got {
		if !strings.HasPrefix(text, id+".") {
			return fmt.Sprintf("property 5: chunk %d of %s is %q", i, id, text)
		}
	}
	return ""
}
