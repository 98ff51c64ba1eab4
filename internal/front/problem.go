package front

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"
	goahttp "goa.design/goa/v3/http"
	goa "goa.design/goa/v3/pkg"

	"github.com/sassafrasspur/sassafrasspur/gen/problem"
	"github.com/sassafrasspur/sassafrasspur/internal/failure"
)

// startupRetry is the delay after which a starting node is asked again. The
// configuration is read every second.
const startupRetry = time.Second

// Groups of errors in the design.
const (
	invalid      = "invalid"
	unauthorized = "unauthorized"
	forbidden    = "forbidden"
	notFound     = "not_found"
	conflict     = "conflict"
	limited      = "limited"
	unavailable  = "unavailable"
	internal     = "internal"
)

// groups maps kinds to the errors of the design. A kind that a blind repeat
// can't help is a conflict, since HTTP clients repeat after 429 and 503.
var groups = map[failure.Kind]string{
	failure.Unauthorized:        unauthorized,
	failure.Forbidden:           forbidden,
	failure.InvalidRequest:      invalid,
	failure.NotFound:            notFound,
	failure.PositionGap:         conflict,
	failure.CallMismatch:        conflict,
	failure.ProgramEnded:        conflict,
	failure.BudgetExhausted:     conflict,
	failure.Overloaded:          limited,
	failure.NoUpstream:          unavailable,
	failure.PlatformUnavailable: unavailable,
	failure.ConfigurationStale:  unavailable,
	failure.NotDurable:          unavailable,
	failure.OutcomeUnknown:      conflict,
	failure.TimedOut:            unavailable,
	failure.TooLarge:            invalid,
	failure.UpstreamFailed:      unavailable,
	failure.PlanStale:           conflict,
	failure.ShuttingDown:        unavailable,
	failure.Internal:            internal,
}

var statusCodes = map[string]int{
	invalid:      http.StatusBadRequest,
	unauthorized: http.StatusUnauthorized,
	forbidden:    http.StatusForbidden,
	notFound:     http.StatusNotFound,
	conflict:     http.StatusConflict,
	limited:      http.StatusTooManyRequests,
	unavailable:  http.StatusServiceUnavailable,
	internal:     http.StatusInternalServerError,
}

// asProblem turns an error into the error type of the design.
func asProblem(err error) *problem.Problem {
	if p, ok := errors.AsType[*problem.Problem](err); ok {
		return p
	}
	known := failure.From(err)
	group, ok := groups[known.Kind]
	if !ok {
		group = internal
	}
	p := &problem.Problem{
		Status:       group,
		Kind:         string(known.Kind),
		Message:      known.Message,
		NotRun:       known.NotRun,
		RetryAfterMs: milliseconds(known.RetryAfter),
	}
	if known.RetryAfter > 0 {
		// The header has whole seconds; rounding down would ask too early.
		seconds := int64((known.RetryAfter + time.Second - 1) / time.Second)
		p.RetryAfter = &seconds
	}
	return p
}

// milliseconds rounds up, so that a short delay does not become 0, which means
// that a repeat does not help.
func milliseconds(d time.Duration) int64 {
	return int64((d + time.Millisecond - 1) / time.Millisecond)
}

// answer is the encoding of a problem.
type answer struct {
	Status       string `json:"status"`
	Kind         string `json:"kind"`
	Message      string `json:"message"`
	NotRun       bool   `json:"not_run"`
	RetryAfterMs int64  `json:"retry_after_ms"`
}

// StatusCode returns the HTTP status.
func (a *answer) StatusCode() int { return statusCodes[a.Status] }

// format encodes errors of the services and of the generated decoders alike.
func format(_ context.Context, err error) goahttp.Statuser { //nolint:misspell // the name is goa's
	var p *problem.Problem
	var decoding *goa.ServiceError
	switch {
	case errors.As(err, &p):
	case errors.As(err, &decoding):
		p = asProblem(failure.Refusal(failure.InvalidRequest, 0, "%s; correct the request and send it again", decoding.Error()))
	default:
		p = asProblem(err)
	}
	return &answer{Status: p.Status, Kind: p.Kind, Message: p.Message, NotRun: p.NotRun, RetryAfterMs: p.RetryAfterMs}
}

// decoder reads one JSON value. Unknown members are refused: a misspelled limit
// would otherwise be ignored without notice.
func (f *Front) decoder(r *http.Request) goahttp.Decoder {
	return goahttp.EncodingFunc(func(v any) error {
		decoder := json.NewDecoder(r.Body)
		decoder.DisallowUnknownFields()
		err := decoder.Decode(v)
		if err == nil {
			if _, tail := decoder.Token(); !errors.Is(tail, io.EOF) {
				err = tail
				if err == nil {
					err = errors.New("the body has more than one JSON value")
				}
			}
		}
		var tooLarge *http.MaxBytesError
		switch {
		case err == nil || err == io.EOF: //nolint:errorlint // the generated code compares with io.EOF for an empty body
			return err
		case errors.As(err, &tooLarge):
			return goa.PermanentError("too_large", "the body is larger than %d bytes", tooLarge.Limit)
		default:
			return goa.PermanentError("decode_payload", "the body is not valid: %v", err)
		}
	})
}

// encoder writes JSON whatever the request accepts, since the interface has no
// other encoding.
func encoder(_ context.Context, w http.ResponseWriter) goahttp.Encoder {
	goahttp.SetContentType(w, "application/json")
	encoder := json.NewEncoder(w)
	encoder.SetEscapeHTML(false)
	return encoder
}
