// Package identifier has the filter that finds out who makes a request.
package identifier

import (
	"context"
	"crypto/sha256"

	"github.com/sassafrasspur/sassafrasspur/internal/chain"
	"github.com/sassafrasspur/sassafrasspur/internal/failure"
	"github.com/sassafrasspur/sassafrasspur/internal/request"
)

// Identifier maps credentials to accounts. It keeps hashes only, so that a
// look-up takes no longer for a credential that is almost right.
type Identifier struct {
	accounts map[[sha256.Size]byte]chain.Account
}

// New returns the filter for accounts by their credentials.
func New(accounts map[string]chain.Account) *Identifier {
	i := &Identifier{accounts: map[[sha256.Size]byte]chain.Account{}}
	for credential, account := range accounts {
		i.accounts[sha256.Sum256([]byte(credential))] = account
	}
	return i
}

// Identify returns the account of a credential.
func (i *Identifier) Identify(credential string) (chain.Account, error) {
	account, ok := i.accounts[sha256.Sum256([]byte(credential))]
	if !ok {
		return chain.Account{}, failure.New(failure.Unauthorized, "the credential is not known; send a token of the settings as a bearer token")
	}
	return account, nil
}

// Serve sets the exchange's account.
func (i *Identifier) Serve(ctx context.Context, x *chain.Exchange, next chain.Handler) error {
	account, err := i.Identify(x.Credential)
	if err != nil {
		return err
	}
	x.Account = account
	if _, ok := x.Request.(request.Resolve); ok && x.Account.Role != chain.Operator {
		return failure.New(failure.Forbidden, "only an operator may settle an outcome; use an operator's token")
	}
	return next(ctx, x)
}
