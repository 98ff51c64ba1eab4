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

// answerTokens is the number of tokens in each answer.
const answerTokens = 6

// connectionScript describes what an engine does on one connection of a request.
type connectionScript struct {
	events int
	// end says how the connection ends: whole; cut (connection dropped); crossed
	// (an event of the other request); uncounted (end marker without usage); short
	// (end marker too early); anew (answer restarted instead of resumed).
	end string
}

// faultyEngine serves the connections of each request by its scripts, in order.
type faultyEngine struct {
	mu      sync.Mutex
	scripts map[string][]connectionScript
}

func (e *faultyEngine) next(id string) connectionScript {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.scripts[id]) == 0 {
		return connectionScript{events: answerTokens, end: "whole"}
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
		position, c.events = 0, answerTokens
	}
	for ; position < answerTokens && c.events > 0; position++ {
		sendEvent(w, body.ID, tokenText(body.ID, position), nil)
		c.events--
	}
	switch c.end {
	case "cut":
		panic(http.ErrAbortHandler)
	case "crossed":
		sendEvent(w, otherRequest(body.ID), tokenText(otherRequest(body.ID), position), nil)
		panic(http.ErrAbortHandler)
	case "uncounted":
	default:
		count := answerTokens
		sendEvent(w, body.ID, "", &count)
	}
	_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
}

func sendEvent(w http.ResponseWriter, id, text string, count *int) {
	event := map[string]any{"id": id, "choices": []map[string]any{{"index": 0, "text": text}}}
	if count != nil {
		event["usage"] = map[string]any{"prompt_tokens": 1, "completion_tokens": *count}
	}
	data, _ := json.Marshal(event)
	_, _ = fmt.Fprintf(w, "data: %s\n\n", data)
	w.(http.Flusher).Flush()
}

func tokenText(id string, position int) string { return fmt.Sprintf("%s.%d ", id, position) }

func otherRequest(id string) string { return map[string]string{"a": "b", "b": "a"}[id] }

// Guards against an answer that is truncated, mixed with another request's or
// has a wrong token count, and is still reported as complete (property 5).
var _ = It("returns only complete answers of the request over faulty streams", func() {
	for name, value := range map[string]string{"rapid.checks": "800", "rapid.nofailfile": "true"} {
		Expect(flag.Set(name, value)).To(Succeed())
	}
	ends := []string{"whole", "cut", "cut", "crossed", "uncounted", "short", "anew"}
	engine := &faultyEngine{}
	server := httptest.NewServer(engine)
	defer server.Close()
	server.Config.ErrorLog = nil
	caller := enginecaller.New(timer.New(), enginecaller.WithFirstEventTimeout(5*time.Second))
	rapid.Check(GinkgoT(), func(t *rapid.T) {
		script := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) connectionScript {
			c := connectionScript{events: rapid.IntRange(0, answerTokens).Draw(t, "events"), end: rapid.SampledFrom(ends).Draw(t, "end")}
			if c.end == "whole" {
				c.events = answerTokens
			}
			return c
		}), 0, 5)
		engine.mu.Lock()
		engine.scripts = map[string][]connectionScript{"a": script.Draw(t, "a"), "b": script.Draw(t, "b")}
		engine.mu.Unlock()
		var wait sync.WaitGroup
		violationsByRequest := make([]string, 2)
		for i, id := range []string{"a", "b"} {
			wait.Go(func() { violationsByRequest[i] = checkCall(caller, server.Listener.Addr().String(), id) })
		}
		wait.Wait()
		if violations := strings.Join(violationsByRequest, ""); violations != "" {
			t.Fatal(violations)
		}
	})
})

// checkCall runs one request and describes the first violation that its caller
// observes. It returns an empty string if there is none.
func checkCall(caller *enginecaller.Caller, address, id string) string {
	var got []string
	result, err := caller.Call(context.Background(), enginecaller.Request{Address: address, ID: enginecaller.RequestID(id), MaxTokens: answerTokens},
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
	for i := range answerTokens {
		want = append(want, tokenText(id, i))
	}
	if err == nil && (!slices.Equal(got, want) || result.Answer.Body != strings.Join(want, "") || result.Chunks != answerTokens) {
		return fmt.Sprintf("property 5: the answer of %s was reported as complete with body %q and chunks %q", id, result.Answer.Body, got)
	}
	for i, text := range got {
		if !strings.HasPrefix(text, id+".") {
			return fmt.Sprintf("property 5: chunk %d of %s is %q", i, id, text)
		}
	}
	return ""
}
