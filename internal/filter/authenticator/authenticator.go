// Package authenticator has the filter that authenticates the account of a request.
package authenticator

import (
	"context"
	"crypto/sha256"

	"github.com/sassafrasspur/sassafrasspur/internal/chain"
	"github.com/sassafrasspur/sassafrasspur/internal/failure"
	"github.com/sassafrasspur/sassafrasspur/internal/request"
)

// Authenticator maps credentials to accounts. Credentials are stored and looked up by
// hash, so that the time of a look-up does not depend on how similar a wrong
// credential is to a valid one.
type Authenticator struct {
	accounts map[[sha256.Size]byte]chain.Account
}

// New returns the filter. The map has the accounts by credential.
func New(accounts map[string]chain.Account) *Authenticator {
	a := &Authenticator{accounts: map[[sha256.Size]byte]chain.Account{}}
	for credential, account := range accounts {
		a.accounts[sha256.Sum256([]byte(credential))] = account
	}
	return a
}

// Authenticate returns the account of a credential, or an error if it is unknown.
func (a *Authenticator) Authenticate(credential string) (chain.Account, error) {
	account, ok := a.accounts[sha256.Sum256([]byte(credential))]
	if !ok {
		return chain.Account{}, failure.New(failure.Unauthorized, "the credential is unknown; send a token of the settings as a bearer token")
	}
	return account, nil
}

// Serve sets the account of the exchange. Only operators may resolve outcomes.
func (a *Authenticator) Serve(ctx context.Context, x *chain.Exchange, next chain.Handler) error {
	account, err := a.Authenticate(x.Credential)
	if err != nil {
		return err
	}
	x.Account = account
	if _, ok := x.Request.(request.Resolve); ok && x.Account.Role != chain.Operator {
		return failure.New(failure.Forbidden, "only an operator may resolve an outcome; use an operator's token")
	}
	return next(ctx, x)
}
