package servicecaller

import (
	"fmt"

	"github.com/juju/errors"

	"github.com/sassafrasspur/sassafrasspur/internal/failure"
)

// Failure is an error that Call returns. The interface is sealed: the variants
// are NotRun and Unknown.
type Failure interface {
	error
	sealed()
}

// NotRun reports that the service did not run the call and won't run it.
type NotRun struct {
	// Leaving is true if the service refused because it is shutting down.
	Leaving bool
	Cause   error
}

// Unknown reports that the call may have run, may be running or may run later.
type Unknown struct{ Cause error }

// Error returns a message that includes the remedy.
func (f NotRun) Error() string {
	return fmt.Sprintf("service did not run the call: %v; use another upstream", f.Cause)
}

// Error returns a message that includes the remedy.
func (f Unknown) Error() string {
	return fmt.Sprintf("outcome of the call is unknown: %v; look up the result before repeating the call", f.Cause)
}

// Unwrap returns the cause.
func (f NotRun) Unwrap() error { return f.Cause }

// Unwrap returns the cause.
func (f Unknown) Unwrap() error { return f.Cause }

// Is reports whether target is failure.OutcomeUnknown.
func (Unknown) Is(target error) bool { return target == failure.OutcomeUnknown }

func (NotRun) sealed()  {}
func (Unknown) sealed() {}

// Causes of failures.
const (
	// Crossed reports an answer that belongs to another call or attempt.
	Crossed = errors.ConstError("crossed answer")
	// Malformed reports an answer that does not follow the protocol.
	Malformed = errors.ConstError("malformed answer")
	// TooLong reports an answer that exceeds the maximum size.
	TooLong = errors.ConstError("answer too long")
	// Leaving reports that the service is shutting down.
	Leaving = errors.ConstError("service is leaving")
	// Full reports that the service accepts no more calls for now.
	Full = errors.ConstError("service is full")
)
