package servicecaller

import (
	"encoding/json"
	"io"

	"github.com/juju/errors"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/record"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

// Reply is the answer of a service and the call that it belongs to.
type Reply struct {
	Program ident.ProgramID
	Call    ident.CallID
	Attempt ident.Attempt
	Answer  record.Answer
}

// ReadReply decodes an answer of at most limit bytes. If the result is a JSON
// string, the answer's body is the decoded string; otherwise it is the JSON text.
func ReadReply(source io.Reader, limit unit.Bytes) (Reply, error) {
	data, err := io.ReadAll(io.LimitReader(source, int64(limit)+1))
	if err != nil {
		return Reply{}, errors.Trace(err)
	}
	if len(data) > int(limit) {
		return Reply{}, errors.Annotatef(TooLong, "more than %d bytes", limit)
	}
	var body struct {
		Program ident.ProgramID `json:"program"`
		Call    ident.CallID    `json:"call_id"`
		Attempt ident.Attempt   `json:"attempt"`
		Result  json.RawMessage `json:"result"`
		Error   json.RawMessage `json:"error"`
	}
	if err := json.Unmarshal(data, &body); err != nil {
		return Reply{}, errors.Annotate(Malformed, err.Error())
	}
	if (body.Result == nil) == (body.Error == nil) {
		return Reply{}, errors.Annotate(Malformed, "want exactly one of result and error")
	}
	value, failed := body.Result, false
	if value == nil {
		value, failed = body.Error, true
	}
	var text string
	if json.Unmarshal(value, &text) != nil {
		text = string(value)
	}
	return Reply{
		Program: body.Program,
		Call:    body.Call,
		Attempt: body.Attempt,
		Answer:  record.Answer{Body: text, Failed: failed, Usage: record.Usage{Calls: 1}},
	}, nil
}
