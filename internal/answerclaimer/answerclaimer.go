// Package answerclaimer claims the memory of answers that a VM holds while it forwards
// them, together with that of their requests.
//
// The memory for what an ordinary answer needs is reserved before the request runs, so
// that a VM without room can still refuse it. An answer that turns out to be larger waits
// for room, which slows down its upstream and leaves other requests alone.
package answerclaimer

import (
	"context"
	"io"

	"github.com/sassafrasspur/sassafrasspur/internal/failure"
	"github.com/sassafrasspur/sassafrasspur/internal/memorylimiter"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

// stepBytes is the size in which the claim of an answer grows.
const stepBytes unit.Bytes = 1 << 10

// Answerclaimer claims the memory of one answer. It is not safe for concurrent use.
type Answerclaimer struct {
	// claim is nil if the memory of the request is not bounded.
	claim   *memorylimiter.Claim
	copies  unit.Bytes
	free    unit.Bytes
	claimed unit.Bytes
}

// Option configures an Answerclaimer.
type Option func(*Answerclaimer)

// WithCopies sets the number of copies that the VM makes of the answer; the default is 1.
func WithCopies(copies int) Option {
	return func(a *Answerclaimer) { a.copies = unit.Bytes(copies) }
}

// WithFree sets the size up to which an answer claims nothing; a longer one claims all of
// its memory. By default all answers do.
func WithFree(size unit.Bytes) Option {
	return func(a *Answerclaimer) { a.free = size }
}

// New returns an Answerclaimer that adds to the claim of the context's request.
func New(ctx context.Context, options ...Option) *Answerclaimer {
	a := &Answerclaimer{claim: memorylimiter.FromContext(ctx), copies: 1}
	for _, option := range options {
		option(a)
	}
	return a
}

// Reserve claims the memory of an answer of a size before its request runs. The error is
// a refusal.
func (a *Answerclaimer) Reserve(size unit.Bytes) error {
	missing := a.missing(size)
	if missing == 0 {
		return nil
	}
	if err := a.claim.Grow(missing); err != nil {
		return err
	}
	a.claimed += missing
	return nil
}

// Hold claims the memory of an answer that has grown to a size, as soon as there is room.
// It reports whether it claimed more. The error is no refusal, since the request may have
// run; it comes at the end of the context.
func (a *Answerclaimer) Hold(ctx context.Context, size unit.Bytes) (grown bool, err error) {
	missing := a.missing(size)
	if missing == 0 {
		return false, nil
	}
	if err := a.claim.Await(ctx, missing); err != nil {
		return false, failure.New(failure.UpstreamFailed, "the VM has no memory for the rest of an answer of more than %d bytes; the request may have run", size)
	}
	a.claimed += missing
	return true, nil
}

// Return returns the memory.
func (a *Answerclaimer) Return() {
	if a.claimed > 0 {
		a.claim.Shrink(a.claimed)
		a.claimed = 0
	}
}

// Reader returns a reader that claims the memory of what is read from a source.
func (a *Answerclaimer) Reader(ctx context.Context, source io.Reader) io.Reader {
	var size unit.Bytes
	return readerFunc(func(p []byte) (int, error) {
		n, err := source.Read(p)
		size += unit.Bytes(n)
		if _, holdErr := a.Hold(ctx, size); holdErr != nil {
			return 0, holdErr
		}
		return n, err
	})
}

type readerFunc func(p []byte) (int, error)

// Read calls the function.
func (f readerFunc) Read(p []byte) (int, error) { return f(p) }

// missing returns the memory that has to be claimed for an answer of a size.
func (a *Answerclaimer) missing(size unit.Bytes) unit.Bytes {
	if a.claim == nil || size <= a.free {
		return 0
	}
	steps := (size + stepBytes - 1) / stepBytes
	return max(0, a.copies*steps*stepBytes-a.claimed)
}
