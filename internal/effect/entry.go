package effect

import (
	"time"

	"github.com/sassafrasspur/sassafrasspur/internal/rows"
	"github.com/sassafrasspur/sassafrasspur/internal/snapshot"
	"github.com/sassafrasspur/sassafrasspur/internal/upstream"
)

// ReadRows reads a range of rows from the platform's store. Reported by
// message.RowsRead.
type ReadRows struct{ Range rows.Range }

// WatchRows waits up to Wait for changes to a table after a version. Reported by
// message.RowsChanged.
type WatchRows struct {
	Table rows.Table
	After rows.Version
	Wait  time.Duration
}

// WriteRows commits a transaction. Reported by message.RowsWritten.
type WriteRows struct{ Transaction rows.Transaction }

// FetchUpstreams requests from an entry VM how its list of upstreams differs from a known
// one. Reported by message.UpstreamsFetched.
type FetchUpstreams struct {
	// Address is the peer address of the VM.
	Address string
	Known   upstream.Digest
}

// FetchMembers requests from an entry VM how its list of entry VMs differs from a known
// one. Reported by message.MembersFetched.
type FetchMembers struct {
	// Address is the peer address of the VM.
	Address string
	Known   snapshot.MemberDigest
}

func (FetchMembers) sealed()   {}
func (FetchUpstreams) sealed() {}
func (ReadRows) sealed()       {}
func (WatchRows) sealed()      {}
func (WriteRows) sealed()      {}
