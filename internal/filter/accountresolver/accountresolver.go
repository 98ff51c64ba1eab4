// Package accountresolver has the filter that finds the client account of a request by its
// key, and refuses requests that need a valid key and have none.
package accountresolver

import (
	"context"

	"github.com/sassafrasspur/sassafrasspur/internal/keychecker"
	"github.com/sassafrasspur/sassafrasspur/internal/traffic"
)

// Accountresolver sets the accounts of requests.
type Accountresolver struct {
	keys *keychecker.Keychecker
}

// New returns the filter. The routematcher must precede it.
func New(keys *keychecker.Keychecker) *Accountresolver { return &Accountresolver{keys: keys} }

// Serve sets the account of the exchange.
func (a *Accountresolver) Serve(ctx context.Context, x *traffic.Exchange, next traffic.Handler) error {
	if err := a.keys.Check(ctx, x); err != nil {
		return err
	}
	return next(ctx, x)
}
