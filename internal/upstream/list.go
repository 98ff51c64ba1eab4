package upstream

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sassafrasspur/sassafrasspur/ident"
)

const (
	// maxRemovals limits the number of removed upstreams that a list remembers,
	// and maxDigests the number of previous versions that it recognizes. A VM with
	// an older version gets the complete list instead of the changes.
	maxRemovals = 500
	maxDigests  = 200
)

// Digest identifies the contents of a list. VMs with the same upstreams have the
// same digest, regardless of which VM read the list from the store.
type Digest uint64

// List is an immutable version of the list of upstreams.
type List struct {
	// version counts the changes.
	version  uint64
	entries  map[ident.UpstreamID]entry
	removals []removal
	// completeSince is the oldest version since which all removals are known.
	completeSince uint64
	digest        Digest
	// previous holds the digests of previous versions, the oldest first.
	previous []digestVersion
}

// entry is an upstream and the version at which it last changed.
type entry struct {
	Upstream
	version uint64
}

// removal is an upstream and the version at which it was removed.
type removal struct {
	id      ident.UpstreamID
	version uint64
}

type digestVersion struct {
	digest  Digest
	version uint64
}

// Change describes the difference between two versions of a list.
type Change struct {
	// Digest is the digest of the list after the change.
	Digest Digest `json:"digest"`
	// Complete is true if Listed holds all upstreams, not only those that changed.
	Complete bool               `json:"whole,omitempty"`
	Listed   []Upstream         `json:"listed,omitempty"`
	Removed  []ident.UpstreamID `json:"gone,omitempty"`
	// Age is the time since the list was read from the platform's store.
	Age time.Duration `json:"age"`
}

// NewList returns an empty list.
func NewList() *List { return &List{entries: map[ident.UpstreamID]entry{}} }

// Next returns the next version of the list, with the given upstreams. It returns
// l if they are the same.
func (l *List) Next(upstreams map[ident.UpstreamID]Upstream) *List {
	next := &List{version: l.version + 1, entries: make(map[ident.UpstreamID]entry, len(upstreams)), completeSince: l.completeSince, digest: l.digest}
	changed := false
	for id, u := range upstreams {
		e, ok := l.entries[id]
		if !ok || e.Upstream != u {
			changed = true
			if ok {
				next.digest ^= e.hash()
			}
			next.digest ^= u.hash()
			e = entry{Upstream: u, version: next.version}
		}
		next.entries[id] = e
	}
	for _, r := range l.removals {
		if _, relisted := next.entries[r.id]; !relisted {
			next.removals = append(next.removals, r)
		}
	}
	for id, u := range l.entries {
		if _, ok := upstreams[id]; !ok {
			changed = true
			next.digest ^= u.hash()
			next.removals = append(next.removals, removal{id, next.version})
		}
	}
	if !changed {
		return l
	}
	if extra := len(next.removals) - maxRemovals; extra > 0 {
		next.completeSince = next.removals[extra-1].version
		next.removals = next.removals[extra:]
	}
	next.previous = append(slices.Clone(l.previous), digestVersion{l.digest, l.version})
	next.previous = next.previous[max(0, len(next.previous)-maxDigests):]
	return next
}

// hash returns the hash of one upstream. The digest of a list is the XOR of the
// hashes of its upstreams.
func (u Upstream) hash() Digest {
	return Digest(xxhash.Sum64String(fmt.Sprintf("%q %q %q %q %d %d %t", u.ID, u.Pool, u.Address, u.Domain, u.Incarnation, u.Slots, u.Leaving)))
}

// Digest returns the digest of the list's contents.
func (l *List) Digest() Digest { return l.digest }

// All returns the upstreams sorted by id.
func (l *List) All() []Upstream {
	all := make([]Upstream, 0, len(l.entries))
	for _, u := range l.entries {
		all = append(all, u.Upstream)
	}
	slices.SortFunc(all, func(a, b Upstream) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return all
}

// ChangeSince returns the change from the version with the digest known to this one.
func (l *List) ChangeSince(known Digest) Change {
	c := Change{Digest: l.digest}
	if known == l.digest {
		return c
	}
	version, ok := l.versionOf(known)
	if !ok || version < l.completeSince {
		c.Complete, c.Listed = true, l.All()
		return c
	}
	for _, u := range l.entries {
		if u.version > version {
			c.Listed = append(c.Listed, u.Upstream)
		}
	}
	for _, r := range l.removals {
		if r.version > version {
			c.Removed = append(c.Removed, r.id)
		}
	}
	return c
}

// versionOf returns the newest previous version with the given digest.
func (l *List) versionOf(d Digest) (uint64, bool) {
	for _, e := range slices.Backward(l.previous) {
		if e.digest == d {
			return e.version, true
		}
	}
	return 0, false
}

// Apply returns the upstreams after the change. It does not modify before.
func (c Change) Apply(before map[ident.UpstreamID]Upstream) map[ident.UpstreamID]Upstream {
	after := map[ident.UpstreamID]Upstream{}
	if !c.Complete {
		after = maps.Clone(before)
	}
	for _, id := range c.Removed {
		delete(after, id)
	}
	for _, u := range c.Listed {
		after[u.ID] = u
	}
	return after
}
