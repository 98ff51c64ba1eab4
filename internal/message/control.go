package message

import (
	"time"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/configuration"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

// ReleaseRequested requests the release of a program's engine memory.
type ReleaseRequested struct {
	Program  ident.ProgramID
	Upstream ident.UpstreamID
	Epoch    ident.Epoch
}

// ConfigurationRead reports the configuration that a read started at StartedAt returned.
type ConfigurationRead struct {
	StartedAt     time.Time
	Configuration *configuration.Configuration
}

// UpstreamReported reports the load of an upstream.
type UpstreamReported struct {
	Upstream  ident.UpstreamID
	StartedAt time.Time
	Running   int
	Waiting   int
	// WaitingTokens is the size of the upstream's queue in tokens.
	WaitingTokens unit.Tokens
	Leaving       bool
	Err           error
}

// CacheRead reports the programs that an engine holds in memory.
type CacheRead struct {
	Upstream     ident.UpstreamID
	Complete     bool
	CachedTokens map[ident.ProgramID]unit.Tokens
	Err          error
}

// ReleaseDone reports the result of effect.Release.
type ReleaseDone struct {
	Program  ident.ProgramID
	Upstream ident.UpstreamID
	Err      error
}

// OrderID identifies an order to the engine at an address.
type OrderID struct {
	Order   configuration.Order
	Address string
}

// OrderDone reports the result of effect.Order.
type OrderDone struct {
	OrderID
	Err error
}

// LookUpDone reports the result of effect.LookUp. Recorded is true if the upstream ran the
// call and its answer was recorded. A call that was not found may still run.
type LookUpDone struct {
	Program  ident.ProgramID
	Call     ident.CallID
	Recorded bool
}

func (ReleaseRequested) sealed()  {}
func (ConfigurationRead) sealed() {}
func (UpstreamReported) sealed()  {}
func (CacheRead) sealed()         {}
func (ReleaseDone) sealed()       {}
func (LookUpDone) sealed()        {}
func (OrderDone) sealed()         {}
