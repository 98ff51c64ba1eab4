package engine

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"

	"github.com/google/uuid"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/standin/batcher"
	"github.com/sassafrasspur/sassafrasspur/internal/standin/injector"
	"github.com/sassafrasspur/sassafrasspur/internal/standin/responder"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

// defaultMaxTokens is the default of max_tokens in OpenAI's API.
const defaultMaxTokens = 16

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Model         string            `json:"model"`
		Prompt        string            `json:"prompt"`
		MaxTokens     *unit.Tokens      `json:"max_tokens"`
		Stream        bool              `json:"stream"`
		RequestID     batcher.RequestID `json:"request_id"`
		Priority      int               `json:"priority"`
		CacheKey      ident.ProgramID   `json:"cache_key"`
		ResumeFrom    *unit.Tokens      `json:"resume_from"`
		StreamOptions struct {
			IncludeUsage bool `json:"include_usage"`
		} `json:"stream_options"`
	}
	if !responder.DecodeBody(w, r, &body) {
		return
	}
	if !body.Stream {
		responder.Error(w, http.StatusBadRequest, "only streaming is supported; set stream to true")
		return
	}
	submit := batcher.Submit{
		ID: body.RequestID, Program: body.CacheKey, Digest: digestOf(body.Prompt),
		MaxTokens: defaultMaxTokens, Priority: body.Priority,
		Progress: make(chan batcher.Progress, 1),
	}
	if submit.ID == "" {
		submit.ID = batcher.RequestID(uuid.NewString())
	}
	if submit.Program == "" {
		submit.Program = ident.ProgramID(submit.ID)
	}
	if body.MaxTokens != nil {
		submit.MaxTokens = *body.MaxTokens
	}
	if body.ResumeFrom != nil {
		submit.Resume, submit.ResumeFrom = true, *body.ResumeFrom
	}
	if submit.MaxTokens < 1 || submit.ResumeFrom < 0 {
		responder.Error(w, http.StatusBadRequest, "max_tokens must be at least 1 and resume_from at least 0")
		return
	}
	for word := range strings.FieldsSeq(body.Prompt) {
		submit.Prompt = append(submit.Prompt, batcher.TokenOf(word))
	}
	e.submit(w, r, submit)
}

func (e *Engine) submit(w http.ResponseWriter, r *http.Request, submit batcher.Submit) {
	key := string(submit.Program) + "/" + string(submit.ID)
	decision := e.injector.RecordArrival(key)
	switch reply := e.runner.Ask(submit).(type) {
	case batcher.Accepted:
		defer e.runner.Ask(batcher.Detach{ID: submit.ID, Stream: reply.Stream})
		if reply.Started {
			e.injector.RecordRun(key)
		}
		e.streamAnswer(w, r, decision, stream{submit: submit, total: reply.Total})
	case batcher.Leaving:
		responder.RejectLeaving(w)
	case batcher.QueueFull:
		responder.RejectFull(w)
	case batcher.RequestUnknown:
		responder.Error(w, http.StatusNotFound, "the request is unknown and can't be resumed; send it without resume_from")
	case batcher.RequestMismatch:
		responder.Error(w, http.StatusConflict, "the request to resume has a different prompt or fewer tokens")
	default:
		panic(http.ErrAbortHandler)
	}
}

// streamAnswer streams an answer, subject to the faults of decision.
func (e *Engine) streamAnswer(w http.ResponseWriter, r *http.Request, decision injector.Decision, s stream) {
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	if decision.Hang {
		select {
		case <-ctx.Done():
		case <-e.closing:
		}
		panic(http.ErrAbortHandler)
	}
	if e.injector.Delay(ctx, decision.Delay) != nil {
		return
	}
	s.w, s.decision = w, decision
	s.id, s.digest = s.submit.ID, s.submit.Digest
	if decision.Crossed {
		s.id, s.digest = "crossed-"+s.id, ^s.digest
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-cache")
	w.WriteHeader(http.StatusOK)
	s.flush()
	s.sent = s.submit.ResumeFrom
	for {
		select {
		case p := <-s.submit.Progress:
			if e.injector.WaitWhileSilent(ctx) != nil || !s.writeProgress(p) {
				return
			}
		case <-ctx.Done():
			return
		case <-e.closing:
			panic(http.ErrAbortHandler)
		}
	}
}

// stream writes the events of one answer.
type stream struct {
	w        http.ResponseWriter
	decision injector.Decision
	submit   batcher.Submit
	id       batcher.RequestID
	digest   batcher.Digest
	total    unit.Tokens
	// sent is the number of tokens that the client has received.
	sent          unit.Tokens
	eventsWritten unit.Tokens
}

// writeProgress sends the new tokens and reports whether more will follow. A
// stream that ends early is closed without the final event.
func (s *stream) writeProgress(p batcher.Progress) bool {
	resumedAtEnd := s.sent == s.total
	for ; s.sent < p.Produced; s.sent++ {
		last := s.sent == s.total-1
		if last && s.decision.Drop {
			s.flush()
			panic(http.ErrAbortHandler)
		}
		s.writeEvent(p, []choice{{Text: batcher.Word(s.digest, s.sent) + " "}}, last)
		if s.eventsWritten++; s.decision.BreakAfter > 0 && s.eventsWritten >= s.decision.BreakAfter {
			s.flush()
			panic(http.ErrAbortHandler)
		}
	}
	switch {
	case p.Cancelled:
		s.flush()
		panic(http.ErrAbortHandler)
	case p.Finished:
		if resumedAtEnd {
			s.writeEvent(p, []choice{}, true)
		}
		_, _ = s.w.Write([]byte("data: [DONE]\n\n"))
	}
	s.flush()
	return !p.Finished
}

type choice struct {
	Index        int     `json:"index"`
	Text         string  `json:"text"`
	FinishReason *string `json:"finish_reason"`
}

// writeEvent writes one event; the last event carries the usage.
func (s *stream) writeEvent(p batcher.Progress, choices []choice, last bool) {
	body := struct {
		ID      batcher.RequestID `json:"id"`
		Object  string            `json:"object"`
		Choices []choice          `json:"choices"`
		Usage   map[string]any    `json:"usage,omitempty"`
	}{ID: s.id, Object: "text_completion", Choices: choices}
	if last {
		reason := "length"
		if s.total < s.submit.MaxTokens {
			reason = "stop"
		}
		for i := range choices {
			choices[i].FinishReason = &reason
		}
		body.Usage = map[string]any{
			"prompt_tokens":         len(s.submit.Prompt),
			"completion_tokens":     s.total,
			"total_tokens":          unit.Tokens(len(s.submit.Prompt)) + s.total,
			"prompt_tokens_details": map[string]any{"cached_tokens": p.Cached},
		}
	}
	raw, _ := json.Marshal(body)
	_, _ = s.w.Write([]byte("data: "))
	_, _ = s.w.Write(append(raw, "\n\n"...))
}

func (s *stream) flush() {
	_ = http.NewResponseController(s.w).Flush()
}

func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	e.runner.Ask(batcher.Cancel{ID: batcher.RequestID(r.PathValue("request_id"))})
	responder.JSON(w, http.StatusOK, map[string]any{})
}
