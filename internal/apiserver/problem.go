package apiserver

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

// startupRetryDelay is the retry delay that a starting VM returns. The
// configuration is read every second.
const startupRetryDelay = time.Second

// Error names of the API design, the values of a problem's status.
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

// statusByKind maps failure kinds to the error names of the API design. A failure
// that an unchanged retry cannot resolve is a conflict, because HTTP clients
// retry after 429 and 503.
var statusByKind = map[failure.Kind]string{
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

var httpStatus = map[string]int{
	invalid:      http.StatusBadRequest,
	unauthorized: http.StatusUnauthorized,
	forbidden:    http.StatusForbidden,
	notFound:     http.StatusNotFound,
	conflict:     http.StatusConflict,
	limited:      http.StatusTooManyRequests,
	unavailable:  http.StatusServiceUnavailable,
	internal:     http.StatusInternalServerError,
}

// toProblem converts an error to the error type of the API design.
func toProblem(err error) *problem.Problem {
	if p, ok := errors.AsType[*problem.Problem](err); ok {
		return p
	}
	known := failure.From(err)
	problemStatus, ok := statusByKind[known.Kind]
	if !ok {
		problemStatus = internal
	}
	p := &problem.Problem{
		Status:       problemStatus,
		Kind:         string(known.Kind),
		Message:      known.Message,
		NotRun:       known.NotRun,
		RetryAfterMs: ceilMilliseconds(known.RetryAfter),
	}
	if known.RetryAfter > 0 {
		// The header has whole seconds. Rounding down would allow a retry too
		// early.
		seconds := int64((known.RetryAfter + time.Second - 1) / time.Second)
		p.RetryAfter = &seconds
	}
	return p
}

// ceilMilliseconds returns a duration in milliseconds, rounded up: 0 would mean
// that a retry does not help.
func ceilMilliseconds(d time.Duration) int64 {
	return int64((d + time.Millisecond - 1) / time.Millisecond)
}

// errorResponse is the JSON form of a problem.
type errorResponse struct {
	Status       string `json:"status"`
	Kind         string `json:"kind"`
	Message      string `json:"message"`
	NotRun       bool   `json:"not_run"`
	RetryAfterMs int64  `json:"retry_after_ms"`
}

// StatusCode returns the HTTP status code that goa writes for the problem.
func (resp *errorResponse) StatusCode() int { return httpStatus[resp.Status] }

// formatError returns the response for an error of a service or of the generated
// decoders.
func formatError(_ context.Context, err error) goahttp.Statuser { //nolint:misspell // the name is goa's
	var p *problem.Problem
	var decoding *goa.ServiceError
	switch {
	case errors.As(err, &p):
	case errors.As(err, &decoding) && decoding.Name == string(failure.Overloaded):
		p = toProblem(failure.Refusal(failure.Overloaded, startupRetryDelay, "%s", decoding.Message))
	case errors.As(err, &decoding):
		p = toProblem(failure.Refusal(failure.InvalidRequest, 0, "%s; correct the request and send it again", decoding.Error()))
	default:
		p = toProblem(err)
	}
	return &errorResponse{Status: p.Status, Kind: p.Kind, Message: p.Message, NotRun: p.NotRun, RetryAfterMs: p.RetryAfterMs}
}

// decoder decodes a body of exactly one JSON value. Unknown members are errors,
// because a misspelled limit would otherwise be ignored.
func (a *Apiserver) decoder(r *http.Request) goahttp.Decoder {
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
		var refused *failure.Error
		switch {
		case err == nil || err == io.EOF: //nolint:errorlint // the generated code compares with io.EOF for an empty body
			return err
		case errors.As(err, &tooLarge):
			return goa.PermanentError("too_large", "the body is larger than %d bytes", tooLarge.Limit)
		case errors.As(err, &refused):
			// The generated code keeps only errors of goa.
			return goa.TemporaryError(string(failure.Overloaded), "%s", refused.Message)
		default:
			return goa.PermanentError("decode_payload", "the body is not valid: %v", err)
		}
	})
}

// encoder always encodes JSON, whatever the request accepts, because the API has
// no other encoding.
func encoder(_ context.Context, w http.ResponseWriter) goahttp.Encoder {
	goahttp.SetContentType(w, "application/json")
	encoder := json.NewEncoder(w)
	encoder.SetEscapeHTML(false)
	return encoder
}
