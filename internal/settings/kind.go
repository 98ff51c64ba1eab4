package settings

import (
	"net/netip"
	"time"

	"github.com/sassafrasspur/sassafrasspur/ident"
)

// Kind is the type of a key's value, with the function that stores it. The
// interface is sealed: the variants are Name, Address, Duration, Integer,
// Fraction, Choice and Credential.
type Kind interface{ sealed() }

type (
	// Name is a short text of letters, digits, dots, underscores and hyphens.
	Name struct {
		Set func(Target, string)
	}
	// Address is an IP address and a port. An address whose default is an empty
	// string is optional.
	Address struct {
		Set func(Target, netip.AddrPort)
	}
	// Duration is a number with a unit, such as "250ms". A Step above 0 requires
	// multiples of it.
	Duration struct {
		Min, Max, Step time.Duration
		Set            func(Target, time.Duration)
	}
	// Integer is a whole number.
	Integer struct {
		Min, Max int64
		Set      func(Target, int64)
	}
	// Fraction is a number, with or without a decimal point.
	Fraction struct {
		Min, Max float64
		Set      func(Target, float64)
	}
	// Choice is one of several fixed strings.
	Choice struct {
		Values []string
		Set    func(Target, string)
	}
	// Credential is a secret of printable ASCII characters without spaces.
	Credential struct {
		MinLength, MaxLength int
		Set                  func(Target, Secret)
	}
)

func (Name) sealed()       {}
func (Address) sealed()    {}
func (Duration) sealed()   {}
func (Integer) sealed()    {}
func (Fraction) sealed()   {}
func (Choice) sealed()     {}
func (Credential) sealed() {}

// Target is the destination of a key's value.
type Target struct {
	*Settings
	// Account is the account being read; nil for keys of other tables.
	Account *Account
	// FailureDomain is the key in the table of regions; empty for keys of other
	// tables.
	FailureDomain ident.Domain
}

// Key is one row of the table.
type Key struct {
	// Table is the name of the TOML table; empty at the top level.
	Table string
	Name  string
	Unit  string
	// Default is the value of a missing key, a string, an int64 or a
	// float64. A key without
	// a default is required.
	Default any
	Purpose string
	Kind    Kind
}

// MaxNameLength bounds a Name in bytes. Names are parts of row keys in the store.
const MaxNameLength = 64

// RegionsTable is the table that maps failure domains to regions.
const RegionsTable = "regions"

// AccountsTable is the array of tables with one element for each account.
const AccountsTable = "accounts"

// Required reports whether the key must be present.
func (k Key) Required() bool { return k.Default == nil }

// Path returns the name of the key, preceded by its table and a dot unless it is
// at the top level.
func (k Key) Path() string {
	if k.Table == "" {
		return k.Name
	}
	return k.Table + "." + k.Name
}
