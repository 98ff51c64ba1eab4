package snapshot

import (
	"time"

	"github.com/sassafrasspur/sassafrasspur/internal/routing"
	"github.com/sassafrasspur/sassafrasspur/internal/upstream"
)

// Entry is the part of the view about entry VMs, upstreams and the routes that the
// users' operator writes to the platform's store.
type Entry struct {
	// Routes is nil until the first version was read.
	Routes     *routing.Table
	RoutesAsOf time.Time
	// Members are the entry VMs that serve callers, this one included.
	Members []Member
	// Present are the entry VMs whose process runs, those that leave or do not
	// serve yet included.
	Present     []Member
	MembersAsOf time.Time
	// MemberList is nil until the rows of entry VMs were read.
	MemberList *MemberList
	// Enrolled is true once the row of this process was written.
	Enrolled bool
	// LeavingAnnounced is true once that row says that the VM is leaving.
	LeavingAnnounced bool
	// Upstreams is the number of upstreams that may get new work.
	Upstreams int
	// UpstreamList is nil until the list was read, and while entries are kept that
	// the newest list does not have.
	UpstreamList  *upstream.List
	UpstreamsAsOf time.Time
	// Leaving is set from the request to shut down, at LeavingSince.
	Leaving      bool
	LeavingSince time.Time
}
