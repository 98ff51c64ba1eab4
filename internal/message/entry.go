package message

import (
	"time"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/routing"
	"github.com/sassafrasspur/sassafrasspur/internal/rows"
	"github.com/sassafrasspur/sassafrasspur/internal/snapshot"
	"github.com/sassafrasspur/sassafrasspur/internal/timer"
	"github.com/sassafrasspur/sassafrasspur/internal/traffic"
	"github.com/sassafrasspur/sassafrasspur/internal/upstream"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

// RowsRead reports the result of effect.ReadRows.
type RowsRead struct {
	Range rows.Range
	Page  rows.Page
	// Err is nil if the read succeeded; Page then reflects a time after SentAt.
	Err    error
	SentAt time.Time
	Timing ReadTiming
}

// RowsChanged reports the result of effect.WatchRows.
type RowsChanged struct {
	Table  rows.Table
	Page   rows.Page
	Err    error
	SentAt time.Time
	Timing ReadTiming
}

// ReadTiming has the circumstances of a read by which the age of its answer can be
// proved.
type ReadTiming struct {
	// Sent and Received are the times at which the read was sent and its answer arrived.
	Sent, Received timer.BootTime
	// Known is the highest version that this VM had seen in an answer of the store before
	// the read was sent. It is 0 as long as the store has confirmed no write of this
	// process: until then, all answers may come from an old state of the store.
	Known rows.Version
}

// RoutesDoubted requests a read of the routes, because a traffic goroutine needs routes
// that are proved to be newer.
type RoutesDoubted struct{}

// RowsWritten reports the result of effect.WriteRows.
type RowsWritten struct {
	Transaction rows.Transaction
	Outcome     rows.Outcome
	Err         error
}

// RoutesChanged reports that a new version of the routes is in force.
type RoutesChanged struct {
	Table *routing.Table
	AsOf  time.Time
}

// UpstreamsRead reports all upstreams as of a point in time.
type UpstreamsRead struct {
	Upstreams []upstream.Upstream
	AsOf      time.Time
}

// EngineLoadsRead reports the loads of engines that answered, as of a time that is not
// later than that of any of the reports.
type EngineLoadsRead struct {
	Loads map[ident.UpstreamID]upstream.Load
	AsOf  time.Time
}

// MembersListed reports the entry VMs as of a point in time.
type MembersListed struct {
	// Serving has the VMs that serve callers, sorted.
	Serving []snapshot.Member
	// VMs has all VMs whose process runs, sorted; it includes this VM.
	VMs  []ident.VMID
	AsOf time.Time
}

// UpstreamsFetched reports the result of effect.FetchUpstreams.
type UpstreamsFetched struct {
	Change upstream.Change
	Err    error
	SentAt time.Time
}

// MembersFetched reports the result of effect.FetchMembers.
type MembersFetched struct {
	Change snapshot.MemberChange
	Err    error
	SentAt time.Time
}

// UpstreamNoticed reports what an upstream stated in the head of an answer, if it differs
// from what was known when the call was sent.
type UpstreamNoticed struct {
	Upstream ident.UpstreamID
	// Incarnation is the start of the upstream that was known when the call was sent.
	Incarnation ident.Incarnation
	Notice      upstream.Notice
}

// UpstreamLimitsChanged reports the request limits of all limited upstreams.
type UpstreamLimitsChanged struct {
	Limits map[ident.UpstreamID]unit.Rate
}

// UpstreamCrashed reports that an upstream crashed while it had a call, before it answered.
// Answered with outcome.CrashCounted.
type UpstreamCrashed struct {
	Ticket   ident.Ticket
	Request  ident.RequestID
	Upstream ident.UpstreamID
	// Incarnation is the start of the upstream that was known when the call was sent.
	Incarnation ident.Incarnation
	// SentAt and CrashedAt are the times at which the call was sent and its connection
	// broke.
	SentAt, CrashedAt time.Time
	// Target and Contents are the fingerprints of the request's target, and of its
	// target and body.
	Target   ident.Fingerprint
	Contents ident.Fingerprint
}

// TrialRequested asks whether a quarantined request may be passed on once. Answered with
// outcome.TrialDecided.
type TrialRequested struct {
	Ticket      ident.Ticket
	Fingerprint ident.Fingerprint
}

// SuspectAnswered reports that an upstream answered a request with a fingerprint under
// which other upstreams had crashed.
type SuspectAnswered struct{ Fingerprint ident.Fingerprint }

// ChooseUpstream requests an upstream for a call. Answered with outcome.UpstreamChosen or
// outcome.Refused.
type ChooseUpstream struct {
	Ticket ident.Ticket
	Pool   ident.PoolID
	Route  *routing.Route
	// Priority is the rank of the call; 0 is the highest.
	Priority int
	// Affinity is the key of state that upstreams keep in memory; calls with the
	// same key should reach the same upstream. It is empty for no affinity.
	Affinity string
	Prompt   *traffic.Prompt
	// Placement is what is known of the engine of the call's program, nil for nothing.
	Placement traffic.Placement
	// Tried lists the upstreams that were tried for the same request.
	Tried []ident.UpstreamID
}

// UpstreamResult is the result of a call to an upstream. The interface is sealed: the
// variants are UpstreamAnswered, UpstreamRefused, UpstreamFailed, UpstreamServerError and
// UpstreamAbandoned.
type UpstreamResult interface{ upstreamResult() }

// UpstreamAnswered means that the upstream completed the call.
type UpstreamAnswered struct {
	// FirstByte is the time to the first byte of the answer.
	FirstByte time.Duration
}

// UpstreamRefused means that the upstream did not run the call.
type UpstreamRefused struct{ Misdirected bool }

// UpstreamFailed means that the upstream gave no complete answer.
type UpstreamFailed struct{ Connected bool }

// UpstreamServerError means that the upstream answered with a server error.
type UpstreamServerError struct{}

// UpstreamAbandoned means that the call was abandoned because its deadline passed, or
// because its caller disconnected or could not be written to.
type UpstreamAbandoned struct {
	// SilentFor is the time since the last byte from the upstream, or since the start
	// of the call.
	SilentFor time.Duration
}

func (UpstreamAnswered) upstreamResult()    {}
func (UpstreamRefused) upstreamResult()     {}
func (UpstreamFailed) upstreamResult()      {}
func (UpstreamServerError) upstreamResult() {}
func (UpstreamAbandoned) upstreamResult()   {}

// CallEnded reports that a call no longer uses its upstream.
type CallEnded struct {
	// Ticket is that of the request for the upstream.
	Ticket ident.Ticket
	// Upstream is empty if none could be chosen; Result is then UpstreamRefused.
	Upstream ident.UpstreamID
	// Incarnation is the start of the upstream that was known when the call was sent.
	Incarnation ident.Incarnation
	Route       ident.RouteID
	// Target is the fingerprint of the request's target.
	Target ident.Fingerprint
	Result UpstreamResult
	// Progress has the events of a stream that no message.CallProgressed reported.
	Progress Progress
	// Answer is the time from the first to the last event of a complete stream.
	Answer time.Duration
}

// CallProgressed reports events of a stream that is under way.
type CallProgressed struct {
	// Ticket is that of the request for the upstream.
	Ticket   ident.Ticket
	Progress Progress
}

// Progress is the progress of a stream since the previous report.
type Progress struct {
	// FirstEvent is the time to the first event, 0 if it was reported before.
	FirstEvent time.Duration
	// Events is the number of events that followed another one, and Took the time in
	// which the VM waited for them.
	Events int
	Took   time.Duration
}

func (RowsRead) sealed()              {}
func (RowsChanged) sealed()           {}
func (RoutesDoubted) sealed()         {}
func (RowsWritten) sealed()           {}
func (RoutesChanged) sealed()         {}
func (UpstreamsRead) sealed()         {}
func (EngineLoadsRead) sealed()       {}
func (UpstreamsFetched) sealed()      {}
func (MembersListed) sealed()         {}
func (MembersFetched) sealed()        {}
func (UpstreamNoticed) sealed()       {}
func (UpstreamLimitsChanged) sealed() {}
func (ChooseUpstream) sealed()        {}
func (CallEnded) sealed()             {}
func (CallProgressed) sealed()        {}
func (UpstreamCrashed) sealed()       {}
func (SuspectAnswered) sealed()       {}
func (TrialRequested) sealed()        {}
