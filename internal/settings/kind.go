package settings

import (
	"net/netip"
	"time"

	"github.com/sassafrasspur/sassafrasspur/ident"
)

// Kind says which values a key takes and where they go. The interface is
// sealed: the variants are Name, Address, Duration, Integer, Choice and
// Credential.
type Kind interface{ sealed() }

type (
	// Name is a short text of letters, digits, dots, underscores and hyphens.
	Name struct {
		Set func(Scope, string)
	}
	// Address is an IP number and a port. An address whose default is an empty
	// text may be left out.
	Address struct {
		Set func(Scope, netip.AddrPort)
	}
	// Duration is a text with a unit. A Step above 0 requires multiples of it.
	Duration struct {
		Min, Max, Step time.Duration
		Set            func(Scope, time.Duration)
	}
	// Integer is a whole number.
	Integer struct {
		Min, Max int64
		Set      func(Scope, int64)
	}
	// Choice is one of some texts.
	Choice struct {
		Values []string
		Set    func(Scope, string)
	}
	// Credential is a secret text of printable ASCII characters without spaces.
	Credential struct {
		MinLength, MaxLength int
		Set                  func(Scope, Secret)
	}
)

func (Name) sealed()       {}
func (Address) sealed()    {}
func (Duration) sealed()   {}
func (Integer) sealed()    {}
func (Choice) sealed()     {}
func (Credential) sealed() {}

// Scope is where the value of a key is stored.
type Scope struct {
	*Settings
	// Account is the element of the accounts; nil for the other keys.
	Account *Account
	// FailureDomain is the key of the regions; empty for the other keys.
	FailureDomain ident.Domain
}

// Key is one row of the table.
type Key struct {
	// Table is the name of the TOML table; empty at the top level.
	Table string
	Name  string
	Unit  string
	// Default is the value of a missing key, as a text or an int64. A key
	// without a default is required.
	Default any
	Purpose string
	Kind    Kind
}

// MaxNameLength bounds a Name in bytes. Names are parts of table row keys.
const MaxNameLength = 64

// RegionsTable has a key for each failure domain, whose value is the region.
const RegionsTable = "regions"

// AccountsTable is the array of tables that has one element for each account.
const AccountsTable = "accounts"

// Required reports whether a file must have the key.
func (k Key) Required() bool { return k.Default == nil }

// Path returns the key with its table.
func (k Key) Path() string {
	if k.Table == "" {
		return k.Name
	}
	return k.Table + "." + k.Name
}
