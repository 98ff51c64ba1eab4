package enginecaller

import (
	"fmt"
	"time"

	"github.com/juju/errors"

	"github.com/sassafrasspur/sassafrasspur/internal/failure"
)

// Failure is an error that Call returns. The interface is sealed: the variants
// are NotRun, Rejected, Broken, TimedOut and Aborted.
type Failure interface {
	error
	sealed()
}

// NotRun reports that the engine did not run the request.
type NotRun struct {
	// Leaving is true if the engine refused because it is shutting down.
	Leaving bool
	Cause   error
}

// Rejected reports that the engine considers the request invalid. Other engines
// would reject it as well.
type Rejected struct {
	Status int
	// Text is the body of the engine's response. It may quote the prompt, so it is
	// not part of the error message.
	Text string
}

// Broken reports that the stream ended before it was complete and could not be
// resumed.
type Broken struct {
	// Delivered is the number of chunks that the callback received.
	Delivered int
	Cause     error
}

// TimedOut reports that the engine sent no event within a timeout. The request
// may still be running: cancel it before running it elsewhere.
type TimedOut struct {
	// Delivered is the number of chunks that the callback received.
	Delivered int
	Limit     time.Duration
}

// Aborted reports that the context was cancelled or that a callback failed.
type Aborted struct {
	// Delivered is the number of chunks that the callback received.
	Delivered int
	Cause     error
}

// Error returns a message that includes the remedy.
func (f NotRun) Error() string {
	return fmt.Sprintf("engine did not run the request: %v; use another upstream", f.Cause)
}

// Error returns a message that includes the remedy.
func (f Rejected) Error() string {
	return fmt.Sprintf("engine rejects the request with status %d; correct the request", f.Status)
}

// Error returns a message that includes the remedy.
func (f Broken) Error() string {
	return fmt.Sprintf("stream broke after %d chunks: %v; void the chunks and use another upstream", f.Delivered, f.Cause)
}

// Error returns a message that includes the remedy.
func (f TimedOut) Error() string {
	return fmt.Sprintf("engine sent no event for %v after %d chunks; cancel the request and use another upstream", f.Limit, f.Delivered)
}

// Error returns a message that includes the cause.
func (f Aborted) Error() string {
	return fmt.Sprintf("call aborted after %d chunks: %v", f.Delivered, f.Cause)
}

// Unwrap returns the cause.
func (f NotRun) Unwrap() error { return f.Cause }

// Unwrap returns the cause.
func (f Broken) Unwrap() error { return f.Cause }

// Unwrap returns the cause.
func (f Aborted) Unwrap() error { return f.Cause }

// Is reports whether target is failure.UpstreamFailed.
func (Broken) Is(target error) bool { return target == failure.UpstreamFailed }

// Is reports whether target is failure.UpstreamFailed.
func (TimedOut) Is(target error) bool { return target == failure.UpstreamFailed }

func (NotRun) sealed()   {}
func (Rejected) sealed() {}
func (Broken) sealed()   {}
func (TimedOut) sealed() {}
func (Aborted) sealed()  {}

// Causes of failures.
const (
	// Crossed reports an event of another request.
	Crossed = errors.ConstError("crossed answer")
	// Malformed reports an event that does not follow the protocol.
	Malformed = errors.ConstError("malformed event")
	// Incomplete reports a stream that ended without usage or end marker.
	Incomplete = errors.ConstError("incomplete stream")
	// TokenCountMismatch reports a usage that differs from the number of tokens
	// received, so that the position to resume from is unknown.
	TokenCountMismatch = errors.ConstError("tokens missing or repeated")
	// Excessive reports an answer that is longer than was asked for.
	Excessive = errors.ConstError("answer too long")
	// Leaving reports that the engine is shutting down.
	Leaving = errors.ConstError("engine is leaving")
	// Full reports that the engine's queue is full.
	Full = errors.ConstError("engine queue is full")
)
