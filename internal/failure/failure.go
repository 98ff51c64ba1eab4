package failure

import (
	"fmt"
	"time"

	"github.com/juju/errors"
)

// Kind classifies an error. Its text is part of the API.
type Kind = errors.ConstError

// The kinds of errors.
const (
	Unauthorized        = Kind("unauthorized")
	Forbidden           = Kind("forbidden")
	InvalidRequest      = Kind("invalid_request")
	NotFound            = Kind("not_found")
	PositionGap         = Kind("position_gap")
	CallMismatch        = Kind("call_mismatch")
	ProgramEnded        = Kind("program_ended")
	BudgetExhausted     = Kind("budget_exhausted")
	Overloaded          = Kind("overloaded")
	NoUpstream          = Kind("no_upstream")
	PlatformUnavailable = Kind("platform_unavailable")
	ConfigurationStale  = Kind("configuration_stale")
	NotDurable          = Kind("not_durable")
	OutcomeUnknown      = Kind("outcome_unknown")
	UpstreamFailed      = Kind("upstream_failed")
	TimedOut            = Kind("timed_out")
	TooLarge            = Kind("too_large")
	PlanStale           = Kind("plan_stale")
	ShuttingDown        = Kind("shutting_down")
	Quarantined         = Kind("quarantined")
	// NotResumable is a request that asks for the rest of an answer and must be sent again
	// from its start.
	NotResumable = Kind("not_resumable")
	// QuotaExceeded is a request beyond the quota of its client account.
	QuotaExceeded = Kind("quota_exceeded")
	// QuotaUnavailable is a request whose quota can't be checked.
	QuotaUnavailable = Kind("quota_unavailable")
	Internal         = Kind("internal")
)

// Error is an error of a known kind.
type Error struct {
	Kind Kind
	// NotRun is true only if the call has not run and no process can run it.
	NotRun bool
	// RetryAfter is the delay before the request should be repeated; 0 if repeating
	// it does not help without another remedy.
	RetryAfter time.Duration
	// Message describes the error and names the remedy.
	Message string
}

// New returns an error of a kind. The message should name the remedy.
func New(kind Kind, format string, args ...any) *Error {
	return &Error{Kind: kind, Message: fmt.Sprintf(format, args...)}
}

// Refusal returns an error that promises that the call did not run.
func Refusal(kind Kind, retryAfter time.Duration, format string, args ...any) *Error {
	return &Error{Kind: kind, NotRun: true, RetryAfter: retryAfter, Message: fmt.Sprintf(format, args...)}
}

// Error returns the kind and the message.
func (e *Error) Error() string { return string(e.Kind) + ": " + e.Message }

// Is reports whether target is the kind of e, for errors.Is.
func (e *Error) Is(target error) bool { return target == e.Kind }

// Is reports whether an error is of a kind.
func Is(err error, kind Kind) bool { return err != nil && From(err).Kind == kind }

// From returns the Error that err wraps, or a new one of kind Internal with the message
// of err. It returns nil for a nil err.
func From(err error) *Error {
	if err == nil {
		return nil
	}
	var known *Error
	if errors.As(err, &known) {
		return known
	}
	return New(Internal, "%v; report this with the log line of the same call", err)
}
