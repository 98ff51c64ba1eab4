package enginecaller

import (
	"fmt"
	"time"

	"github.com/juju/errors"

	"github.com/sassafrasspur/sassafrasspur/internal/failure"
)

// Failure is an error of Call. The interface is sealed: the variants are
// Refused, Rejected, Broken, TimedOut and Abandoned.
type Failure interface {
	error
	sealed()
}

// Refused says that the request did not run.
type Refused struct {
	// Leaving is true if the engine refused because it is leaving.
	Leaving bool
	Cause   error
}

// Rejected says that the engine found the request invalid; another engine
// rejects it, too.
type Rejected struct {
	Status int
	// Text is what the engine says. It may quote the prompt and is therefore not
	// part of the error's message.
	Text string
}

// Broken says that the stream ended before it was whole and that resuming
// failed.
type Broken struct {
	// Delivered is the number of chunks that the callback received.
	Delivered int
	Cause     error
}

// TimedOut says that the engine was silent for longer than a limit. The
// request may still run: cancel it before running it elsewhere.
type TimedOut struct {
	// Delivered is the number of chunks that the callback received.
	Delivered int
	Limit     time.Duration
}

// Abandoned says that the context ended or that a callback failed.
type Abandoned struct {
	// Delivered is the number of chunks that the callback received.
	Delivered int
	Cause     error
}

// Error returns a message that names the remedy.
func (f Refused) Error() string {
	return fmt.Sprintf("engine did not run the request: %v; use another upstream", f.Cause)
}

// Error returns a message that names the remedy.
func (f Rejected) Error() string {
	return fmt.Sprintf("engine rejects the request with status %d; correct the request", f.Status)
}

// Error returns a message that names the remedy.
func (f Broken) Error() string {
	return fmt.Sprintf("stream broke after %d chunks: %v; void the chunks and use another upstream", f.Delivered, f.Cause)
}

// Error returns a message that names the remedy.
func (f TimedOut) Error() string {
	return fmt.Sprintf("engine silent for %v after %d chunks; cancel the request and use another upstream", f.Limit, f.Delivered)
}

// Error returns a message that names the cause.
func (f Abandoned) Error() string {
	return fmt.Sprintf("call abandoned after %d chunks: %v", f.Delivered, f.Cause)
}

// Unwrap returns the cause.
func (f Refused) Unwrap() error { return f.Cause }

// Unwrap returns the cause.
func (f Broken) Unwrap() error { return f.Cause }

// Unwrap returns the cause.
func (f Abandoned) Unwrap() error { return f.Cause }

// Is reports whether target is failure.UpstreamFailed.
func (Broken) Is(target error) bool { return target == failure.UpstreamFailed }

// Is reports whether target is failure.UpstreamFailed.
func (TimedOut) Is(target error) bool { return target == failure.UpstreamFailed }

func (Refused) sealed()   {}
func (Rejected) sealed()  {}
func (Broken) sealed()    {}
func (TimedOut) sealed()  {}
func (Abandoned) sealed() {}

// Causes of failures.
const (
	// Crossed says that an event belongs to another request.
	Crossed = errors.ConstError("crossed answer")
	// Malformed says that an event is not of the protocol.
	Malformed = errors.ConstError("malformed event")
	// Incomplete says that a stream ended without usage or end marker.
	Incomplete = errors.ConstError("incomplete stream")
	// Miscounted says that the usage counts other tokens than were received, so
	// that the position of a resume is not known.
	Miscounted = errors.ConstError("tokens missing or repeated")
	// Leaving says that the engine is leaving.
	Leaving = errors.ConstError("engine is leaving")
	// Full says that the engine's queue is full.
	Full = errors.ConstError("queue of the engine is full")
)
