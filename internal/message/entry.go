package message

import (
	"time"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/routing"
	"github.com/sassafrasspur/sassafrasspur/internal/rows"
	"github.com/sassafrasspur/sassafrasspur/internal/snapshot"
	"github.com/sassafrasspur/sassafrasspur/internal/traffic"
	"github.com/sassafrasspur/sassafrasspur/internal/upstream"
)

// RowsRead reports effect.ReadRows.
type RowsRead struct {
	Range rows.Range
	Page  rows.Page
	// Err is nil if the page is as of a moment after SentAt.
	Err    error
	SentAt time.Time
}

// RowsChanged reports effect.WatchRows.
type RowsChanged struct {
	Table  rows.Table
	Page   rows.Page
	Err    error
	SentAt time.Time
}

// RowsWritten reports effect.WriteRows.
type RowsWritten struct {
	Transaction rows.Transaction
	Outcome     rows.Outcome
	Err         error
}

// RoutesChanged says that a new version of the routes is in force.
type RoutesChanged struct {
	Table *routing.Table
	AsOf  time.Time
}

// UpstreamsRead has all upstreams as of a moment.
type UpstreamsRead struct {
	Upstreams []upstream.Upstream
	AsOf      time.Time
}

// MembersListed has the entry VMs as of a moment.
type MembersListed struct {
	// Serving are those that serve callers, sorted.
	Serving []snapshot.Member
	// VMs are all whose process runs, sorted; this one is among them.
	VMs  []ident.VMID
	AsOf time.Time
}

// UpstreamsCopied reports effect.AskUpstreams.
type UpstreamsCopied struct {
	Change upstream.Change
	Err    error
	SentAt time.Time
}

// MembersCopied reports effect.AskMembers.
type MembersCopied struct {
	Change snapshot.MemberChange
	Err    error
	SentAt time.Time
}

// ChooseUpstream asks for an upstream for a call.
type ChooseUpstream struct {
	Ticket ident.Ticket
	Pool   ident.PoolID
	Route  *routing.Route
	// Affinity names what upstreams keep in memory; calls with the same one
	// should meet. It is empty if there is nothing.
	Affinity string
	Prompt   *traffic.Prompt
	// Tried lists the upstreams that were tried for the same request.
	Tried []ident.UpstreamID
}

// UpstreamResult says how a call to an upstream went. The interface is sealed:
// the variants are the types of this package.
type UpstreamResult interface{ upstreamResult() }

// UpstreamAnswered says that the upstream worked on the call and completed it.
type UpstreamAnswered struct {
	// First is the time to the first byte of the answer.
	First time.Duration
}

// UpstreamRefused says that the upstream did not run the call.
type UpstreamRefused struct{ Misdirected bool }

// UpstreamFailed says that there was no complete answer.
type UpstreamFailed struct{ Connected bool }

// UpstreamErred says that the upstream answered with an error of its own.
type UpstreamErred struct{}

// UpstreamAbandoned says that the call was given up because its time was over,
// or its caller left or could not be written to.
type UpstreamAbandoned struct {
	// Silent is the time without a byte of the upstream at the end.
	Silent time.Duration
}

func (UpstreamAnswered) upstreamResult()  {}
func (UpstreamRefused) upstreamResult()   {}
func (UpstreamFailed) upstreamResult()    {}
func (UpstreamErred) upstreamResult()     {}
func (UpstreamAbandoned) upstreamResult() {}

// CallEnded says that a call no longer uses its upstream.
type CallEnded struct {
	Upstream ident.UpstreamID
	Route    ident.RouteID
	Result   UpstreamResult
}

func (RowsRead) sealed()        {}
func (RowsChanged) sealed()     {}
func (RowsWritten) sealed()     {}
func (RoutesChanged) sealed()   {}
func (UpstreamsRead) sealed()   {}
func (UpstreamsCopied) sealed() {}
func (MembersListed) sealed()   {}
func (MembersCopied) sealed()   {}
func (ChooseUpstream) sealed()  {}
func (CallEnded) sealed()       {}
