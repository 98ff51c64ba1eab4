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

// Settings are the validated settings of one entry VM's daemon.
type Settings struct {
	VM     ident.VMID
	Region ident.Region
	Domain ident.Domain
	// CallerAddress is the address of the product's own interface. It is invalid
	// if the VM does not serve that interface. Port 0 selects a free port.
	CallerAddress netip.AddrPort
	// PeerAddress is the address for other entry VMs. It is invalid if unset.
	PeerAddress netip.AddrPort
	// MetricsAddress is the address of metrics, which need no credential. It is
	// invalid if unset.
	MetricsAddress netip.AddrPort
	LogLevel       zerolog.Level
	// Memory and Descriptors are those of the VM; 0 stands for the smallest VMs.
	Memory      unit.Bytes
	Descriptors int
	Ingress     Ingress
	Callers     Callers
	// Regions maps failure domains to their regions.
	Regions   map[ident.Domain]ident.Region
	Platform  Platform
	Freshness Freshness
	Addresses Addresses
	Accounts  []Account
	Limits    Limits
	Placement Placement
}

// Ingress configures the users' interface.
type Ingress struct {
	// Requests is invalid if the VM does not serve the interface.
	Requests  netip.AddrPort
	Readiness netip.AddrPort
	Directory netip.AddrPort
	// Grace is the time from SIGTERM until the process is killed.
	Grace time.Duration
	// DrainLimit is the time within which an upstream that leaves must no longer
	// receive new work.
	DrainLimit time.Duration
	// RoutesLimit is the time within which a new version of the routes must take
	// effect.
	RoutesLimit time.Duration
	// RevocationLimit is the time after which a key that was removed must no longer be
	// used by any VM, 0 if keys are used however old the routes are.
	RevocationLimit time.Duration
	// QuotaWindow, QuotaOverage and QuotaSlack bound the requests of a client account
	// beyond its quota: in each window on all VMs together, at most (rate × window +
	// burst) × (1 + overage) + slack requests may run.
	QuotaWindow  time.Duration
	QuotaOverage unit.Ratio
	QuotaSlack   int
}

// Platform configures access to the users' platform.
type Platform struct {
	StoreAddress netip.AddrPort
}

// Freshness limits the age of the state on which decisions about new work are
// based.
type Freshness struct {
	Configuration time.Duration
	Upstreams     time.Duration
	Interval      time.Duration
}

// Addresses configures the lists of addresses that callers are given.
type Addresses struct {
	// Retention is a multiple of one second.
	Retention time.Duration
	Count     int
}

// Account is a caller or an operator with its token.
type Account struct {
	chain.Account
	Token Secret
}

// Limits bounds the size of requests and the time that they may take.
type Limits struct {
	BodyBytes    unit.Bytes
	CallTime     time.Duration
	FirstByte    time.Duration
	BetweenBytes time.Duration
	QueueWait    time.Duration
	Drain        time.Duration
}

// Placement configures the choice of upstreams.
type Placement struct {
	Policy router.Policy
	Seed   uint64
}
