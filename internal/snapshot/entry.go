package snapshot

import (
	"time"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/routing"
	"github.com/sassafrasspur/sassafrasspur/internal/timer"
	"github.com/sassafrasspur/sassafrasspur/internal/upstream"
)

// Entry is the part of the snapshot about entry VMs, upstreams, and the routes that the
// users' operator writes to the platform's store.
type Entry struct {
	// Routes is nil until the first version has been read.
	Routes     *routing.Table
	RoutesAsOf time.Time
	// RoutesProvenAt is the latest time at which the store is proved to have held no
	// newer version of the routes, 0 if there is no proof.
	RoutesProvenAt timer.BootTime
	// RoutesUnanswered is true if the last read of the routes failed.
	RoutesUnanswered bool
	// Members has the entry VMs that serve callers, including this one.
	Members []Member
	// Present has the entry VMs whose process runs, including those that are leaving
	// or do not serve callers yet.
	Present     []Member
	MembersAsOf time.Time
	// Recent has the entry VMs whose row was written recently, without their state.
	Recent []Member
	// Restarted is true if the row of this VM had been written recently when its process
	// started.
	Restarted bool
	// MemberList is nil until the rows of entry VMs have been read.
	MemberList *MemberList
	// Enrolled is true once the row of this process has been written.
	Enrolled bool
	// RowWrittenAt is the time at which the last confirmed write of that row was sent,
	// zero before the first one.
	RowWrittenAt time.Time
	// LeavingAnnounced is true once that row marks the VM as leaving.
	LeavingAnnounced bool
	// Upstreams is the number of upstreams that may receive new work.
	Upstreams int
	// UpstreamList is nil until the list has been read, and while upstreams that are
	// missing from the newest list are retained.
	UpstreamList  *upstream.List
	UpstreamsAsOf time.Time
	// Suspects has the requests with which upstreams crashed, nil if there is none.
	Suspects map[ident.Fingerprint]Suspect
	// PoolLoads has the pools that are short of capacity or were so recently.
	PoolLoads map[ident.PoolID]PoolLoad
	// Leaving is true from the shutdown request, received at LeavingSince.
	Leaving      bool
	LeavingSince time.Time
}

// Suspect is a request with which upstreams crashed.
type Suspect struct {
	// Crashes is the number of upstreams that crashed.
	Crashes int
	// Quarantined is true if the request must not be sent to further upstreams.
	Quarantined bool
	// TrialAt is the time from which a quarantined request may be passed on once, zero
	// if it may not.
	TrialAt time.Time
}
