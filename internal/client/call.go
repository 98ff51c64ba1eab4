package client

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"
	"github.com/tmaxmax/go-sse"
	goahttp "goa.design/goa/v3/http"

	programclient "github.com/sassafrasspur/sassafrasspur/gen/http/programs/client"
	"github.com/sassafrasspur/sassafrasspur/gen/programs"
	"github.com/sassafrasspur/sassafrasspur/internal/failure"
)

// Event names of the stream.
const (
	Chunk = "chunk"
	Void  = "void"
	End   = "end"
	Error = "error"
)

// maxEventBytes bounds one event. A replayed answer is a single chunk, and 390,000
// tokens of history take a few megabytes.
const maxEventBytes = 64 << 20

// Call runs a call and passes its events to receive, up to the end marker. If the
// stream breaks, the call is sent again with the same call id, after a void event
// if receive has received chunks. Only the first attempt is marked as the first
// submission, and only if the payload is. An error event is returned as an error
// and not passed to receive.
func (c *Client) Call(ctx context.Context, p programs.CallPayload, receive func(*programs.Event) error) error {
	p.Token = c.token
	s := &stream{call: p.CallID, receive: receive}
	return c.retry(ctx, func(host string) error {
		if err := s.restart(); err != nil {
			return err
		}
		err := c.callOnce(ctx, host, &p, s)
		p.FirstSubmission = false
		return err
	})
}

// callOnce sends a call to one address. The generated client encodes the request
// and decodes errors, but does not read the stream: its reader reuses the buffer
// of an event before the event is decoded, and drops members whose names have an
// underscore.
func (c *Client) callOnce(ctx context.Context, host string, p *programs.CallPayload, s *stream) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	generated := c.programs(host)
	request, err := generated.BuildCallRequest(ctx, p)
	if err != nil {
		return err
	}
	if err := programclient.EncodeCallRequest(goahttp.RequestEncoder)(request, p); err != nil {
		return err
	}
	request.Header.Set("Accept", "text/event-stream")
	progress := make(chan struct{}, 1)
	stopped := make(chan struct{})
	defer close(stopped)
	go func() { c.cancelWhenStalled(progress, stopped, cancel) }()
	response, err := c.httpClient.Do(request)
	if err != nil {
		return causeOf(ctx, err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		_, err := programclient.DecodeCallResponse(goahttp.ResponseDecoder, false)(response) //nolint:bodyclose // closed by the deferred call
		return err
	}
	for raw, err := range sse.Read(response.Body, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil {
			return causeOf(ctx, err)
		}
		select {
		case progress <- struct{}{}:
		default:
		}
		done, err := s.handleEvent(raw.Data)
		if done || err != nil {
			return err
		}
	}
	return causeOf(ctx, io.ErrUnexpectedEOF)
}

// cancelWhenStalled cancels a call that makes no progress within the idle timeout.
func (c *Client) cancelWhenStalled(progress, stopped <-chan struct{}, cancel context.CancelCauseFunc) {
	for {
		subscription := c.timers.After(c.idleTimeout)
		select {
		case <-progress:
			subscription.Cancel()
		case <-stopped:
			subscription.Cancel()
			return
		case <-subscription.C:
			cancel(errors.Errorf("no progress for %s", c.idleTimeout.Round(time.Millisecond)))
			return
		}
	}
}

// causeOf returns the cause of the context's cancellation, or err if the context
// is not cancelled.
func causeOf(ctx context.Context, err error) error {
	if c := context.Cause(ctx); c != nil {
		return c
	}
	return err
}

// stream checks the event sequence of one call over all attempts.
type stream struct {
	call    string
	receive func(*programs.Event) error
	// chunks is the number of valid chunks in the current attempt.
	chunks int
}

// restart invalidates the chunks of an earlier attempt.
func (s *stream) restart() error {
	if s.chunks == 0 {
		return nil
	}
	s.chunks = 0
	return s.passEvent(&programs.Event{Event: Void, CallID: &s.call})
}

// passEvent passes an event to the receiver. If the receiver fails, the call is not
// attempted again.
func (s *stream) passEvent(event *programs.Event) error {
	if err := s.receive(event); err != nil {
		return failure.New(failure.Internal, "write answer: %v; check the output and send the call again with the same call id", err)
	}
	return nil
}

// handleEvent decodes, checks and delivers one event. It reports whether the event
// was the last.
func (s *stream) handleEvent(data string) (bool, error) {
	body := &programclient.CallResponseBody{}
	if err := json.Unmarshal([]byte(data), body); err != nil {
		return false, errors.Annotate(err, "decode event")
	}
	if err := programclient.ValidateCallResponseBody(body); err != nil {
		return false, errors.Annotate(err, "invalid event")
	}
	event := programclient.NewCallEventOK(body)
	if event.CallID == nil || *event.CallID != s.call {
		return false, errors.Errorf("event does not belong to call %s", s.call)
	}
	switch event.Event {
	case Chunk:
		if event.Index == nil || *event.Index != s.chunks || event.Text == nil {
			return false, errors.Errorf("chunk %d is missing", s.chunks)
		}
		s.chunks++
		return false, s.passEvent(event)
	case Void:
		s.chunks = 0
		return false, s.passEvent(event)
	case End:
		if event.Chunks == nil || *event.Chunks != s.chunks {
			return false, errors.Errorf("the end marker does not match the %d chunks received", s.chunks)
		}
		return true, s.passEvent(event)
	default:
		return false, errorOf(event)
	}
}

// errorOf returns the error of an error event.
func errorOf(event *programs.Event) error {
	e := &failure.Error{Kind: failure.Internal, Message: "the call failed; send it again with the same call id"}
	if event.Kind != nil {
		e.Kind = failure.Kind(*event.Kind)
	}
	if event.Message != nil {
		e.Message = *event.Message
	}
	e.NotRun = event.NotRun != nil && *event.NotRun
	if event.RetryAfterMs != nil {
		e.RetryAfter = time.Duration(*event.RetryAfterMs) * time.Millisecond
	}
	return e
}
