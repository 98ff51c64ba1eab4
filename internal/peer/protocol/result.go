package protocol

import (
	"encoding/json"
	"time"

	"github.com/juju/errors"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/chain"
	"github.com/sassafrasspur/sassafrasspur/internal/failure"
	"github.com/sassafrasspur/sassafrasspur/internal/outcome"
	"github.com/sassafrasspur/sassafrasspur/internal/program"
	"github.com/sassafrasspur/sassafrasspur/internal/record"
)

// codeFailure is the JSON-RPC code of errors of package failure. It is in the
// range that JSON-RPC leaves to applications.
const codeFailure = -32000

// Result is the response to a request of a caller: the end marker of a call,
// or the reply to another request.
type Result struct {
	End   *endBody   `json:"end,omitempty"`
	Reply *replyBody `json:"reply,omitempty"`
}

type endBody struct {
	Call    ident.CallID  `json:"call"`
	Attempt ident.Attempt `json:"attempt"`
	Chunks  int           `json:"chunks"`
	Answer  record.Answer `json:"answer"`
}

type replyBody struct {
	Type    string          `json:"type"`
	Program ident.ProgramID `json:"program,omitempty"`
	View    *viewBody       `json:"view,omitempty"`
}

// viewBody differs from program.View in its tags only.
type viewBody struct {
	program.State `json:"state"`
	Root          program.State `json:"root"`
	Running       bool          `json:"running"`
}

// EndResult returns the response that is the end marker of a call.
func EndResult(end chain.End) Result {
	body := endBody(end)
	return Result{End: &body}
}

// EndMarker returns the end marker; false if the result has none.
func (r Result) EndMarker() (chain.End, bool) {
	if r.End == nil {
		return chain.End{}, false
	}
	return chain.End(*r.End), true
}

// ReplyResult returns the response to a request that is not a call.
func ReplyResult(o outcome.Outcome) (Result, error) {
	switch o := o.(type) {
	case outcome.Opened:
		return Result{Reply: &replyBody{Type: "opened", Program: o.Program}}, nil
	case outcome.Ended:
		return Result{Reply: &replyBody{Type: "ended", Program: o.Program}}, nil
	case outcome.Shown:
		view := viewBody(o.View)
		return Result{Reply: &replyBody{Type: "shown", View: &view}}, nil
	case outcome.Durable:
		return Result{Reply: &replyBody{Type: "durable"}}, nil
	default:
		return Result{}, errors.NotValidf("reply of type %T", o)
	}
}

// Outcome returns the reply to a request that is not a call.
func (r Result) Outcome() (outcome.Outcome, error) {
	if r.Reply == nil {
		return nil, errors.NotValidf("response without a reply")
	}
	switch r.Reply.Type {
	case "opened":
		return outcome.Opened{Program: r.Reply.Program}, nil
	case "ended":
		return outcome.Ended{Program: r.Reply.Program}, nil
	case "shown":
		if r.Reply.View == nil {
			return nil, errors.NotValidf("reply without a view")
		}
		return outcome.Shown{View: program.View(*r.Reply.View)}, nil
	case "durable":
		return outcome.Durable{}, nil
	default:
		return nil, errors.NotValidf("reply type %q", r.Reply.Type)
	}
}

// failureBody differs from failure.Error in its tags only.
type failureBody struct {
	Kind       failure.Kind  `json:"kind"`
	NotRun     bool          `json:"not_run"`
	RetryAfter time.Duration `json:"retry_after_ns"`
	Message    string        `json:"message"`
}

// EncodeError returns the error response for err.
func EncodeError(err error) *jsonrpc2.Error {
	known := failure.From(err)
	response := &jsonrpc2.Error{Code: codeFailure, Message: known.Error()}
	response.SetError(failureBody(*known))
	return response
}

// DecodeError returns the error of package failure that a response carries;
// false if it carries none.
func DecodeError(err error) (*failure.Error, bool) {
	var response *jsonrpc2.Error
	if !errors.As(err, &response) || response.Code != codeFailure {
		return nil, false
	}
	var body failureBody
	if err := Unmarshal(response.Data, &body); err != nil || body.Kind == "" {
		return nil, false
	}
	known := failure.Error(body)
	return &known, true
}

// Unmarshal decodes a body, which must be present. Unknown keys are ignored, so
// that entry VMs of two releases can talk to each other during a rollout.
func Unmarshal(raw *json.RawMessage, v any) error {
	if raw == nil {
		return errors.NotValidf("message without a body")
	}
	return errors.Trace(json.Unmarshal(*raw, v))
}
