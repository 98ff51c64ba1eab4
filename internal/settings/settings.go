// Package settings has the settings of one daemon.
//
// Settings are read once at the start and never change; what operators change
// while the system runs is in package configuration. Keys is the one table of
// all keys with unit, default and bounds; docs/settings.md is made from it.
package settings

import (
	"net/netip"
	"time"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/chain"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

// Settings are the checked settings of a daemon.
type Settings struct {
	VM            ident.VMID
	Region        ident.Region
	Domain        ident.Domain
	CallerAddress netip.AddrPort
	PeerAddress   netip.AddrPort
	// PeerKey authenticates entry VMs to each other.
	PeerKey  string
	LogLevel string
	// AddressRetention is how long callers may keep the addresses they got.
	AddressRetention time.Duration
	Platform         Platform
	Cluster          Cluster
	Freshness        Freshness
	Limits           Limits
	// Placement names the policy of the router.
	Placement string
	Accounts  []Account
}

// Platform locates the services of the platform.
type Platform struct {
	TableURL  string
	ObjectURL string
	ListURL   string
	Timeout   time.Duration
	AccessKey string
	SecretKey string
}

// Cluster has what all entry VMs of a deployment must agree on.
type Cluster struct {
	Shards       int
	Lease        time.Duration
	Renewal      time.Duration
	Margin       time.Duration
	BatchSpacing time.Duration
}

// Freshness limits the age of what a node knows.
type Freshness struct {
	Configuration time.Duration
	Upstreams     time.Duration
}

// Limits bound requests.
type Limits struct {
	Body         unit.Bytes
	Call         time.Duration
	FirstByte    time.Duration
	BetweenBytes time.Duration
}

// Account is a caller or operator with its token.
type Account struct {
	Token   string
	Account chain.Account
}
