package snapshot

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/rows"
)

// Member is an entry VM.
type Member struct {
	VM      ident.VMID      `json:"vm"`
	Process ident.ProcessID `json:"process"`
	// Address is where callers of the product's own interface connect, empty if
	// the VM does not serve it.
	Address string `json:"address"`
	// RequestAddress is where callers of the users' interface connect, empty if
	// the VM does not serve it.
	RequestAddress string `json:"request_address"`
	// PeerAddress is where other entry VMs connect, empty if they can't.
	PeerAddress string       `json:"peer_address"`
	Domain      ident.Domain `json:"domain"`
	Region      ident.Region `json:"region"`
	// Leaving is true from the request to shut the VM down.
	Leaving bool `json:"leaving"`
	// Ready is true once the VM knows what it needs to serve callers.
	Ready bool `json:"ready"`
}

// Serves reports whether callers may be sent to the VM.
func (m Member) Serves() bool { return m.Ready && !m.Leaving }

// MemberDigest names the contents of a list of members. VMs that list the same
// members have the same digest.
type MemberDigest uint64

// MemberList is the entry VMs whose process runs, as of one read of their rows.
// It is never changed.
type MemberList struct {
	// Present is sorted by the names of the VMs.
	Present []Member
	Digest  MemberDigest
	// Clock is the store's time of the read, and AsOf the time at which it was
	// sent.
	Clock rows.Clock
	AsOf  time.Time
}

// MemberChange is how a list of members differs from a known one.
type MemberChange struct {
	Digest MemberDigest `json:"digest"`
	// Present has all members if the digest is not that of the known list.
	Present []Member   `json:"present,omitempty"`
	Clock   rows.Clock `json:"clock"`
	// Age is the time since the read was sent.
	Age time.Duration `json:"age"`
}

// NewMemberList returns a list of members.
func NewMemberList(present []Member, clock rows.Clock, asOf time.Time) *MemberList {
	l := &MemberList{Present: slices.Clone(present), Clock: clock, AsOf: asOf}
	slices.SortFunc(l.Present, func(a, b Member) int { return strings.Compare(string(a.VM), string(b.VM)) })
	hash := xxhash.New()
	for _, m := range l.Present {
		// A hash takes all that is written to it.
		_, _ = fmt.Fprintf(hash, "%+v\n", m)
	}
	l.Digest = MemberDigest(hash.Sum64())
	return l
}

// At returns the list as of a later read that found the same members.
func (l *MemberList) At(clock rows.Clock, asOf time.Time) *MemberList {
	return &MemberList{Present: l.Present, Digest: l.Digest, Clock: clock, AsOf: asOf}
}

// Serving returns the members to which callers may be sent.
func (l *MemberList) Serving() []Member {
	var serving []Member
	for _, m := range l.Present {
		if m.Serves() {
			serving = append(serving, m)
		}
	}
	return serving
}

// After returns how the list differs from one with a digest.
func (l *MemberList) After(known MemberDigest, now time.Time) MemberChange {
	c := MemberChange{Digest: l.Digest, Clock: l.Clock, Age: now.Sub(l.AsOf)}
	if known != l.Digest {
		c.Present = l.Present
	}
	return c
}
