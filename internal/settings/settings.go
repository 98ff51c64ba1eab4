package settings

import (
	"net/netip"
	"time"

	"github.com/rs/zerolog"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/chain"
	"github.com/sassafrasspur/sassafrasspur/internal/router"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

// Settings are the checked settings of one entry VM's daemon.
type Settings struct {
	VM     ident.VMID
	Region ident.Region
	Domain ident.Domain
	// CallerAddress may have port 0, by which the system chooses a free port.
	CallerAddress netip.AddrPort
	LogLevel      zerolog.Level
	Platform      Platform
	Freshness     Freshness
	Addresses     Addresses
	Accounts      []Account
	Limits        Limits
	Placement     Placement
}

// Platform says how the platform is reached.
type Platform struct {
	StoreAddress netip.AddrPort
}

// Freshness limits the age of what new work is decided by.
type Freshness struct {
	Configuration time.Duration
	Upstreams     time.Duration
	Interval      time.Duration
}

// Addresses says which addresses callers are given.
type Addresses struct {
	// Retention has whole seconds.
	Retention time.Duration
	Count     int
}

// Account is a caller or an operator with its token.
type Account struct {
	chain.Account
	Token Secret
}

// Limits bounds requests and the waits for them.
type Limits struct {
	BodyBytes    unit.Bytes
	CallTime     time.Duration
	FirstByte    time.Duration
	BetweenBytes time.Duration
	QueueWait    time.Duration
	Drain        time.Duration
}

// Placement says how upstreams are chosen.
type Placement struct {
	Policy router.Policy
	Seed   uint64
}
