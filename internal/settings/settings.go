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
	// CallerAddress is where the product's own interface is served; it is not
	// valid if the VM does not serve it. Port 0 lets the system choose a free one.
	CallerAddress netip.AddrPort
	// PeerAddress is where other entry VMs connect, if it is valid.
	PeerAddress netip.AddrPort
	// MetricsAddress is where metrics are served to anyone, if it is valid.
	MetricsAddress netip.AddrPort
	LogLevel       zerolog.Level
	Ingress        Ingress
	// Regions has the region of each failure domain.
	Regions   map[ident.Domain]ident.Region
	Platform  Platform
	Freshness Freshness
	Addresses Addresses
	Accounts  []Account
	Limits    Limits
	Placement Placement
}

// Ingress says where the users' interface is served.
type Ingress struct {
	// Requests is not valid if the VM does not serve the interface.
	Requests  netip.AddrPort
	Readiness netip.AddrPort
	Directory netip.AddrPort
	// Grace is the time from the request to stop until the process is killed.
	Grace time.Duration
	// DrainLimit is the time after which an upstream that leaves gets no new work.
	DrainLimit time.Duration
	// RoutesLimit is the time after which a version of the routes is in force.
	RoutesLimit time.Duration
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
