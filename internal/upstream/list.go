package upstream

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/sassafrasspur/sassafrasspur/ident"
)

// goneLimit bounds the upstreams that are remembered after they disappeared. A
// peer whose version is older gets the whole list.
const goneLimit = 500

// List is the upstreams at one version. It is never changed.
type List struct {
	// epoch names the process that counts the versions.
	epoch   ident.ProcessID
	version uint64
	listed  map[ident.UpstreamID]listed
	gone    []gone
	// since is the version from which all changes are known.
	since uint64
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

// Change is how a list changed since a version.
type Change struct {
	Epoch   ident.ProcessID `json:"epoch"`
	Version uint64          `json:"version"`
	// Whole is set if Listed has all upstreams, and not only those that changed.
	Whole  bool               `json:"whole,omitempty"`
	Listed []Upstream         `json:"listed,omitempty"`
	Gone   []ident.UpstreamID `json:"gone,omitempty"`
	// Age is the time since the list was read from the platform's store.
	Age time.Duration `json:"age"`
}

// NewList returns the empty list of a process.
func NewList(epoch ident.ProcessID) *List {
	return &List{epoch: epoch, listed: map[ident.UpstreamID]listed{}}
}

// Next returns the list with other upstreams: this list if nothing changed.
func (l *List) Next(upstreams map[ident.UpstreamID]Upstream) *List {
	next := &List{epoch: l.epoch, version: l.version + 1, listed: make(map[ident.UpstreamID]listed, len(upstreams)), since: l.since}
	changed := false
	for id, u := range upstreams {
		before, ok := l.listed[id]
		if !ok || before.Upstream != u {
			changed = true
			before = listed{Upstream: u, version: next.version}
		}
		next.listed[id] = before
	}
	for _, g := range l.gone {
		if _, back := next.listed[g.id]; !back {
			next.gone = append(next.gone, g)
		}
	}
	for id := range l.listed {
		if _, ok := upstreams[id]; !ok {
			changed = true
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
	return next
}

// Len returns the number of upstreams.
func (l *List) Len() int { return len(l.listed) }

// All returns the upstreams in the order of their ids.
func (l *List) All() []Upstream {
	all := make([]Upstream, 0, len(l.listed))
	for _, u := range l.listed {
		all = append(all, u.Upstream)
	}
	slices.SortFunc(all, func(a, b Upstream) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return all
}

// After returns how the list changed since a version of a process.
func (l *List) After(epoch ident.ProcessID, version uint64) Change {
	c := Change{Epoch: l.epoch, Version: l.version}
	if epoch != l.epoch || version < l.since || version > l.version {
		c.Whole, c.Listed = true, l.All()
		return c
	}
	if version == l.version {
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
