package front

import (
	"context"

	"github.com/sassafrasspur/sassafrasspur/gen/programs"
	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/chain"
	"github.com/sassafrasspur/sassafrasspur/internal/failure"
)

// Names of events.
const (
	eventChunk = "chunk"
	eventVoid  = "void"
	eventEnd   = "end"
	eventError = "error"
)

// sink sends the answer to one call as server-sent events. It checks the order
// of the parts, so that a fault in the chain can't produce an end marker behind
// a text with a gap.
type sink struct {
	ctx    context.Context
	call   ident.CallID
	stream programs.CallServerStream
	// chunks is the number of valid chunks that were sent.
	chunks int
	sent   bool
	ended  bool
}

// Chunk sends a part of the answer.
func (s *sink) Chunk(index int, text string) error {
	if s.ended || index != s.chunks {
		return s.fault("chunk %d came in place of %d", index, s.chunks)
	}
	id := string(s.call)
	if err := s.send(&programs.Event{Event: eventChunk, Index: &index, Text: &text, CallID: &id}); err != nil {
		return err
	}
	s.chunks++
	return nil
}

// Void says that all chunks so far are void.
func (s *sink) Void() error {
	if s.ended {
		return s.fault("the answer was voided after its end")
	}
	id := string(s.call)
	s.chunks = 0
	return s.send(&programs.Event{Event: eventVoid, CallID: &id})
}

// End sends the end marker. The text of a replayed answer goes before it.
func (s *sink) End(end chain.End) error {
	if s.ended {
		return s.fault("the answer ended twice")
	}
	if end.Call != s.call {
		return s.fault("the answer of call %s came in place of %s", end.Call, s.call)
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
		return s.fault("the answer has %d chunks and %d were sent", end.Chunks, s.chunks)
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

// finish reports the failure of a call: as the status of the response if
// nothing was sent, otherwise as the last event.
func (s *sink) finish(err error) error {
	if s.ended {
		return nil
	}
	if err == nil {
		err = s.fault("the answer has no end marker")
	}
	p := asProblem(err)
	if !s.sent {
		return p
	}
	id := string(s.call)
	// The connection may be gone. The caller then sees a stream without an end
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

// send writes an event. The generated stream does not report failed writes;
// the context ends when the caller's connection is gone.
func (s *sink) send(event *programs.Event) error {
	if err := s.ctx.Err(); err != nil {
		return err
	}
	s.sent = true
	return s.stream.SendWithContext(s.ctx, event)
}

func (s *sink) fault(format string, args ...any) error {
	return failure.New(failure.Internal, "call %s: "+format+"; repeat it with the same call id", append([]any{s.call}, args...)...)
}
