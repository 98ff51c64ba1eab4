package snapshot

import (
	"time"

	"github.com/sassafrasspur/sassafrasspur/ident"
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
	// Enrolled is true once the row of this process was written.
	Enrolled bool
	// LeavingAnnounced is true once that row says that the VM is leaving.
	LeavingAnnounced bool
	// Upstreams is the number of upstreams that may get new work.
	Upstreams int
	// UpstreamList is nil until the list was read.
	UpstreamList  *upstream.List
	UpstreamsAsOf time.Time
	// Leaving is set from the request to shut down, at LeavingSince.
	Leaving      bool
	LeavingSince time.Time
}

// Member is an entry VM.
type Member struct {
	VM      ident.VMID
	Process ident.ProcessID
	// Address is where callers of the product's own interface connect, empty if
	// the VM does not serve it.
	Address string
	// RequestAddress is where callers of the users' interface connect, empty if
	// the VM does not serve it.
	RequestAddress string
	// PeerAddress is where other entry VMs connect, empty if they can't.
	PeerAddress string
	Domain      ident.Domain
	Region      ident.Region
	// Leaving is true from the request to shut the VM down.
	Leaving bool
}
