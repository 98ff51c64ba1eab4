package servicecaller

import (
	"fmt"

	"github.com/juju/errors"

	"github.com/sassafrasspur/sassafrasspur/internal/failure"
)

// Failure is an error of Call. The interface is sealed: the variants are
// NotRun and Unknown.
type Failure interface {
	error
	sealed()
}

// NotRun says that the service certainly did not run the call.
type NotRun struct {
	// Leaving is true if the service refused because it is leaving.
	Leaving bool
	Cause   error
}

// Unknown says that the call may have run, may be running or may run later.
type Unknown struct{ Cause error }

// Error returns a message that names the remedy.
func (f NotRun) Error() string {
	return fmt.Sprintf("service did not run the call: %v; use another upstream", f.Cause)
}

// Error returns a message that names the remedy.
func (f Unknown) Error() string {
	return fmt.Sprintf("outcome of the call is unknown: %v; look up the result before any repeat", f.Cause)
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
	// Crossed says that an answer belongs to another call or attempt.
	Crossed = errors.ConstError("crossed answer")
	// Malformed says that an answer is not of the protocol.
	Malformed = errors.ConstError("malformed answer")
	// TooLong says that an answer exceeds the limit on its size.
	TooLong = errors.ConstError("answer too long")
	// Leaving says that the service is leaving.
	Leaving = errors.ConstError("service is leaving")
	// Full says that the service accepts no more calls now.
	Full = errors.ConstError("service is full")
)
