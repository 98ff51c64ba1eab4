// Package memoryclaimer has the filter that claims the memory of a composed turn.
package memoryclaimer

import (
	"context"

	"github.com/sassafrasspur/sassafrasspur/internal/memorylimiter"
	"github.com/sassafrasspur/sassafrasspur/internal/traffic"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

// copies is the number of copies of a composed turn: the turn itself and what is sent to
// the upstream.
const copies = 2

// Memoryclaimer claims memory.
type Memoryclaimer struct{}

// New returns the filter.
func New() *Memoryclaimer { return &Memoryclaimer{} }

// Serve claims the memory of a turn whose body was composed from its history, which is
// known only now. The body that the caller sent was claimed as it arrived, and once more
// for what is sent to the upstream; a retained turn needs the second part to be stored.
func (m *Memoryclaimer) Serve(ctx context.Context, x *traffic.Exchange, next traffic.Handler) error {
	claim := memorylimiter.FromContext(ctx)
	if claim == nil || !isComposed(x) {
		return next(ctx, x)
	}
	composed := unit.Bytes(copies * len(x.Body))
	if err := claim.Grow(composed); err != nil {
		return err
	}
	return next(ctx, x)
}

// isComposed reports whether the body to send is another one than the caller's.
func isComposed(x *traffic.Exchange) bool {
	return len(x.Body) > 0 && (len(x.Request.Body) == 0 || &x.Body[0] != &x.Request.Body[0])
}
