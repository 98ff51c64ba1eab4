// Package clientaccount defines the client accounts of a configuration and finds the
// account of a key.
//
// Keys are held only as digests. A directory is immutable, so that traffic goroutines
// share it without locks.
package clientaccount

import (
	"crypto/sha256"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

// Account is a client account.
type Account struct {
	ID ident.AccountID
	// Priority is the rank among accounts; 0 is the highest. It replaces the priority
	// of the route.
	Priority int
	Quota    Quota
}

// Quota limits the requests of an account on all VMs together.
type Quota struct {
	// Rate is the sustained rate, 0 for no limit.
	Rate unit.Rate
	// Burst is the number of requests that may exceed the rate at once.
	Burst int
}

// Limited reports whether the quota limits requests.
func (q Quota) Limited() bool { return q.Rate > 0 }

// Key is the key of a caller. It prints as a placeholder.
type Key string

// String returns a placeholder, so that a key appears in no log or error.
func (Key) String() string { return "[redacted]" }

// GoString returns a placeholder, for the verb %#v.
func (k Key) GoString() string { return k.String() }

// MarshalText returns a placeholder, for encoders.
func (k Key) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// digest identifies a key. A cryptographic hash keeps the keys secret if the memory of
// a VM is dumped, and callers can't construct a collision.
type digest [sha256.Size]byte

// Directory finds the account of a key.
type Directory struct {
	accounts map[digest]*Account
}

// Entry is an account with its keys.
type Entry struct {
	Account Account
	Keys    []Key
}

// NewDirectory returns a directory of accounts. If two accounts have the same key, the
// first one holds it.
func NewDirectory(entries []Entry) *Directory {
	d := &Directory{accounts: map[digest]*Account{}}
	for _, entry := range entries {
		account := entry.Account
		for _, key := range entry.Keys {
			hash := digest(sha256.Sum256([]byte(key)))
			if _, taken := d.accounts[hash]; !taken {
				d.accounts[hash] = &account
			}
		}
	}
	return d
}

// Find returns the account that holds a key, and false if there is none.
func (d *Directory) Find(key Key) (*Account, bool) {
	if key == "" {
		return nil, false
	}
	account, ok := d.accounts[digest(sha256.Sum256([]byte(key)))]
	return account, ok
}
