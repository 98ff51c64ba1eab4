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
	// goneLimit bounds the upstreams that are remembered after they disappeared,
	// and digestLimit the earlier lists that are recognized. A VM that has an
	// older list gets the whole one.
	goneLimit   = 500
	digestLimit = 200
)

// Digest names the contents of a list. VMs that have the same upstreams have the
// same digest, whichever of them read the list.
type Digest uint64

// List is the upstreams at one moment. It is never changed.
type List struct {
	// version counts the changes.
	version uint64
	listed  map[ident.UpstreamID]listed
	gone    []gone
	// since is the version from which all changes are known.
	since  uint64
	digest Digest
	// earlier has the digests of earlier versions, the oldest first.
	earlier []earlier
}

// listed is an upstream and the version at which it last changed.
type listed struct {
	Upstream
	version uint64
}

// gone is an upstream that disappeared at a version.
type gone struct {
	id      ident.UpstreamID
	version uint64
}

type earlier struct {
	digest  Digest
	version uint64
}

// Change is how a list changed.
type Change struct {
	// Digest is that of the list with the change.
	Digest Digest `json:"digest"`
	// Whole is set if Listed has all upstreams, and not only those that changed.
	Whole  bool               `json:"whole,omitempty"`
	Listed []Upstream         `json:"listed,omitempty"`
	Gone   []ident.UpstreamID `json:"gone,omitempty"`
	// Age is the time since the list was read from the platform's store.
	Age time.Duration `json:"age"`
}

// NewList returns an empty list.
func NewList() *List { return &List{listed: map[ident.UpstreamID]listed{}} }

// Next returns the list with other upstreams: this list if nothing changed.
func (l *List) Next(upstreams map[ident.UpstreamID]Upstream) *List {
	next := &List{version: l.version + 1, listed: make(map[ident.UpstreamID]listed, len(upstreams)), since: l.since, digest: l.digest}
	changed := false
	for id, u := range upstreams {
		before, ok := l.listed[id]
		if !ok || before.Upstream != u {
			changed = true
			if ok {
				next.digest ^= before.digest()
			}
			next.digest ^= u.digest()
			before = listed{Upstream: u, version: next.version}
		}
		next.listed[id] = before
	}
	for _, g := range l.gone {
		if _, back := next.listed[g.id]; !back {
			next.gone = append(next.gone, g)
		}
	}
	for id, u := range l.listed {
		if _, ok := upstreams[id]; !ok {
			changed = true
			next.digest ^= u.digest()
			next.gone = append(next.gone, gone{id, next.version})
		}
	}
	if !changed {
		return l
	}
	if extra := len(next.gone) - goneLimit; extra > 0 {
		next.since = next.gone[extra-1].version
		next.gone = next.gone[extra:]
	}
	next.earlier = append(slices.Clone(l.earlier), earlier{l.digest, l.version})
	next.earlier = next.earlier[max(0, len(next.earlier)-digestLimit):]
	return next
}

// digest is the part of an upstream in the digest of a list.
func (u Upstream) digest() Digest {
	return Digest(xxhash.Sum64String(fmt.Sprintf("%q %q %q %q %d %t", u.ID, u.Pool, u.Address, u.Domain, u.Slots, u.Leaving)))
}

// Digest names the contents of the list.
func (l *List) Digest() Digest { return l.digest }

// All returns the upstreams in the order of their ids.
func (l *List) All() []Upstream {
	all := make([]Upstream, 0, len(l.listed))
	for _, u := range l.listed {
		all = append(all, u.Upstream)
	}
	slices.SortFunc(all, func(a, b Upstream) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return all
}

// After returns how the list changed since it had a digest.
func (l *List) After(known Digest) Change {
	c := Change{Digest: l.digest}
	if known == l.digest {
		return c
	}
	version, ok := l.versionOf(known)
	if !ok || version < l.since {
		c.Whole, c.Listed = true, l.All()
		return c
	}
	for _, u := range l.listed {
		if u.version > version {
			c.Listed = append(c.Listed, u.Upstream)
		}
	}
	for _, g := range l.gone {
		if g.version > version {
			c.Gone = append(c.Gone, g.id)
		}
	}
	return c
}

// versionOf returns the newest version with a digest.
func (l *List) versionOf(d Digest) (uint64, bool) {
	for _, e := range slices.Backward(l.earlier) {
		if e.digest == d {
			return e.version, true
		}
	}
	return 0, false
}

// Apply returns upstreams with a change.
func (c Change) Apply(before map[ident.UpstreamID]Upstream) map[ident.UpstreamID]Upstream {
	after := map[ident.UpstreamID]Upstream{}
	if !c.Whole {
		after = maps.Clone(before)
	}
	for _, id := range c.Gone {
		delete(after, id)
	}
	for _, u := range c.Listed {
		after[u.ID] = u
	}
	return after
}
