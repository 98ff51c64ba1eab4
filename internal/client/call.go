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

// Names of events.
const (
	Chunk = "chunk"
	Void  = "void"
	End   = "end"
	Error = "error"
)

// largestEvent bounds one event. A replayed answer is one chunk; 390,000 tokens
// of history take a few megabytes.
const largestEvent = 64 << 20

// Call runs a call and passes its events to receive, up to the end marker. When
// the stream breaks, the call is sent again with the same call id, and receive
// gets a void event if it has received chunks. Only the first try is marked as
// the first submission, and only if the payload is. An error event is returned as an
// error and not passed on.
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

// callOnce sends a call to one address. The generated client is used for the
// request and for errors, but not for the stream: its reader reuses the buffer
// of an event that it has not decoded yet, and drops members whose names have
// an underscore.
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
	go func() { c.watch(progress, stopped, cancel) }()
	response, err := c.doer.Do(request)
	if err != nil {
		return cause(ctx, err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		_, err := programclient.DecodeCallResponse(goahttp.ResponseDecoder, false)(response) //nolint:bodyclose // closed by the deferred call
		return err
	}
	for raw, err := range sse.Read(response.Body, &sse.ReadConfig{MaxEventSize: largestEvent}) {
		if err != nil {
			return cause(ctx, err)
		}
		select {
		case progress <- struct{}{}:
		default:
		}
		done, err := s.take(raw.Data)
		if done || err != nil {
			return err
		}
	}
	return cause(ctx, io.ErrUnexpectedEOF)
}

// watch cancels a call that shows no progress for too long.
func (c *Client) watch(progress, stopped <-chan struct{}, cancel context.CancelCauseFunc) {
	for {
		subscription := c.timers.After(c.silence)
		select {
		case <-progress:
			subscription.Cancel()
		case <-stopped:
			subscription.Cancel()
			return
		case <-subscription.C:
			cancel(errors.Errorf("no progress for %s", c.silence.Round(time.Millisecond)))
			return
		}
	}
}

func cause(ctx context.Context, err error) error {
	if c := context.Cause(ctx); c != nil {
		return c
	}
	return err
}

// stream checks the order of the events of one call over all tries.
type stream struct {
	call    string
	receive func(*programs.Event) error
	// chunks counts the valid chunks of the current try.
	chunks int
}

// restart makes chunks of an earlier try void.
func (s *stream) restart() error {
	if s.chunks == 0 {
		return nil
	}
	s.chunks = 0
	return s.pass(&programs.Event{Event: Void, CallID: &s.call})
}

// pass hands an event on. A receiver that fails ends the call for good.
func (s *stream) pass(event *programs.Event) error {
	if err := s.receive(event); err != nil {
		return failure.New(failure.Internal, "the answer can't be written: %v; check the output and send the call again with the same call id", err)
	}
	return nil
}

// take handles the data of one event and reports whether it was the last.
func (s *stream) take(data string) (bool, error) {
	body := &programclient.CallResponseBody{}
	if err := json.Unmarshal([]byte(data), body); err != nil {
		return false, errors.Annotate(err, "an event can't be decoded")
	}
	if err := programclient.ValidateCallResponseBody(body); err != nil {
		return false, errors.Annotate(err, "an event is not valid")
	}
	event := programclient.NewCallEventOK(body)
	if event.CallID == nil || *event.CallID != s.call {
		return false, errors.Errorf("an event belongs to another call than %s", s.call)
	}
	switch event.Event {
	case Chunk:
		if event.Index == nil || *event.Index != s.chunks || event.Text == nil {
			return false, errors.Errorf("chunk %d is missing", s.chunks)
		}
		s.chunks++
		return false, s.pass(event)
	case Void:
		s.chunks = 0
		return false, s.pass(event)
	case End:
		if event.Chunks == nil || *event.Chunks != s.chunks {
			return false, errors.Errorf("the end marker does not fit the %d chunks that came", s.chunks)
		}
		return true, s.pass(event)
	default:
		return false, failed(event)
	}
}

// failed returns the error of an error event.
func failed(event *programs.Event) error {
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
