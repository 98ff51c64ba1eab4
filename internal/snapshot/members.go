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
	// Address is where callers of the program API connect, empty if the VM does not
	// serve it.
	Address string `json:"address"`
	// RequestAddress is where callers of the ingress API connect, empty if the VM
	// does not serve it.
	RequestAddress string `json:"request_address"`
	// PeerAddress is where other entry VMs connect, empty if the VM has no such
	// address.
	PeerAddress string       `json:"peer_address"`
	Domain      ident.Domain `json:"domain"`
	Region      ident.Region `json:"region"`
	// Leaving is true from the shutdown request of the VM.
	Leaving bool `json:"leaving"`
	// Ready is true once the VM has read the data that it needs to serve callers.
	Ready bool `json:"ready"`
}

// Serves reports whether the VM accepts callers.
func (m Member) Serves() bool { return m.Ready && !m.Leaving }

// MemberDigest is a hash of a list of members. VMs with equal lists have equal digests.
type MemberDigest uint64

// MemberList is an immutable list of the entry VMs whose process runs, as of one read
// of their rows.
type MemberList struct {
	// Present is sorted by VM id.
	Present []Member
	// Recent has the VMs whose row was written recently, sorted, without their state and
	// process: those whose process runs, and those that stopped and may start again.
	Recent []Member
	Digest MemberDigest
	// Clock is the store's time of the read, and AsOf the time at which the read was
	// sent.
	Clock rows.Clock
	AsOf  time.Time
}

// MemberChange is the difference between a list of members and a known one.
type MemberChange struct {
	Digest MemberDigest `json:"digest"`
	// Present has all members, or none if the digest equals that of the known list.
	Present []Member `json:"present,omitempty"`
	// Recent has all recent members, or none if the digest equals that of the known list.
	Recent []Member   `json:"recent,omitempty"`
	Clock  rows.Clock `json:"clock"`
	// Age is the time since the read was sent.
	Age time.Duration `json:"age"`
}

// NewMemberList returns a sorted list of members with its digest.
func NewMemberList(present []Member, clock rows.Clock, asOf time.Time) *MemberList {
	l := &MemberList{Present: slices.Clone(present), Clock: clock, AsOf: asOf}
	slices.SortFunc(l.Present, func(a, b Member) int { return strings.Compare(string(a.VM), string(b.VM)) })
	hash := xxhash.New()
	for _, m := range l.Present {
		// Writing to a hash never fails.
		_, _ = fmt.Fprintf(hash, "%+v\n", m)
	}
	l.Digest = MemberDigest(hash.Sum64())
	return l
}

// WithRecent returns the list with recent members, of which the digest then depends.
func (l *MemberList) WithRecent(recent []Member) *MemberList {
	hash := xxhash.New()
	// Writing to a hash never fails.
	_, _ = fmt.Fprintf(hash, "%d\n", l.Digest)
	next := &MemberList{Present: l.Present, Clock: l.Clock, AsOf: l.AsOf}
	for _, m := range recent {
		next.Recent = append(next.Recent, Member{VM: m.VM, RequestAddress: m.RequestAddress, PeerAddress: m.PeerAddress, Domain: m.Domain, Region: m.Region})
	}
	slices.SortFunc(next.Recent, func(a, b Member) int { return strings.Compare(string(a.VM), string(b.VM)) })
	for _, m := range next.Recent {
		_, _ = fmt.Fprintf(hash, "%+v\n", m)
	}
	next.Digest = MemberDigest(hash.Sum64())
	return next
}

// At returns the list with the times of a later read that returned the same members.
func (l *MemberList) At(clock rows.Clock, asOf time.Time) *MemberList {
	return &MemberList{Present: l.Present, Recent: l.Recent, Digest: l.Digest, Clock: clock, AsOf: asOf}
}

// Serving returns the members that accept callers.
func (l *MemberList) Serving() []Member {
	var serving []Member
	for _, m := range l.Present {
		if m.Serves() {
			serving = append(serving, m)
		}
	}
	return serving
}

// ChangeSince returns the difference between the list and the one with a known digest.
func (l *MemberList) ChangeSince(known MemberDigest, now time.Time) MemberChange {
	c := MemberChange{Digest: l.Digest, Clock: l.Clock, Age: now.Sub(l.AsOf)}
	if known != l.Digest {
		c.Present, c.Recent = l.Present, l.Recent
	}
	return c
}
