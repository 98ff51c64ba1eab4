package apiserver

import (
	"context"

	"github.com/sassafrasspur/sassafrasspur/gen/programs"
	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/chain"
	"github.com/sassafrasspur/sassafrasspur/internal/failure"
)

// Event names of the stream.
const (
	eventChunk = "chunk"
	eventVoid  = "void"
	eventEnd   = "end"
	eventError = "error"
)

// sink writes the answer to one call as server-sent events. It checks the
// sequence of chunks, so that a bug in the chain cannot produce an end marker
// after an incomplete answer.
type sink struct {
	ctx    context.Context
	call   ident.CallID
	stream programs.CallServerStream
	// chunks is the number of chunks sent since the start or the last void event.
	chunks int
	sent   bool
	ended  bool
}

// Chunk sends one chunk of the answer.
func (s *sink) Chunk(index int, text string) error {
	if s.ended || index != s.chunks {
		return s.protocolError("unexpected chunk %d instead of %d", index, s.chunks)
	}
	id := string(s.call)
	if err := s.send(&programs.Event{Event: eventChunk, Index: &index, Text: &text, CallID: &id}); err != nil {
		return err
	}
	s.chunks++
	return nil
}

// Void invalidates all chunks sent so far.
func (s *sink) Void() error {
	if s.ended {
		return s.protocolError("void event after the end marker")
	}
	id := string(s.call)
	s.chunks = 0
	return s.send(&programs.Event{Event: eventVoid, CallID: &id})
}

// End sends the end marker. A replayed answer has no chunks; its text is sent
// first, as a single chunk.
func (s *sink) End(end chain.End) error {
	if s.ended {
		return s.protocolError("duplicate end marker")
	}
	if end.Call != s.call {
		return s.protocolError("unexpected answer of call %s instead of %s", end.Call, s.call)
	}
	if end.Chunks == 0 {
		if s.chunks > 0 {
			if err := s.Void(); err != nil {
				return err
			}
		}
		if end.Answer.Body != "" {
			if err := s.Chunk(0, end.Answer.Body); err != nil {
				return err
			}
		}
	} else if end.Chunks != s.chunks {
		return s.protocolError("the answer has %d chunks, but %d were sent", end.Chunks, s.chunks)
	}
	id, attempt := string(s.call), int(end.Attempt)
	err := s.send(&programs.Event{
		Event:   eventEnd,
		CallID:  &id,
		Attempt: &attempt,
		Chunks:  &s.chunks,
		Failed:  &end.Answer.Failed,
		Usage:   encodeUsage(end.Answer.Usage),
	})
	s.ended = err == nil
	return err
}

// finish reports the failure of a call: as an HTTP error if no event was sent,
// otherwise as an error event. It does nothing after the end marker.
func (s *sink) finish(err error) error {
	if s.ended {
		return nil
	}
	if err == nil {
		err = s.protocolError("the answer has no end marker")
	}
	p := toProblem(err)
	if !s.sent {
		return p
	}
	id := string(s.call)
	// If the connection is closed, the caller sees a stream without an end marker
	// and repeats the call.
	_ = s.send(&programs.Event{
		Event:        eventError,
		CallID:       &id,
		Kind:         &p.Kind,
		Message:      &p.Message,
		NotRun:       &p.NotRun,
		RetryAfterMs: &p.RetryAfterMs,
	})
	return nil
}

// send writes an event. The generated stream does not report failed writes, but
// the context ends when the caller closes the connection.
func (s *sink) send(event *programs.Event) error {
	if err := s.ctx.Err(); err != nil {
		return err
	}
	s.sent = true
	return s.stream.SendWithContext(s.ctx, event)
}

func (s *sink) protocolError(format string, args ...any) error {
	return failure.New(failure.Internal, "call %s: "+format+"; repeat it with the same call id", append([]any{s.call}, args...)...)
}
