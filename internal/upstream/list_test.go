package upstream_test

import (
	"fmt"
	"maps"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/upstream"
)

// TestListChanges guards against a replica of the list that keeps a removed
// upstream or misses an added or changed one, also if the replica gets its changes
// from several VMs in turn.
func TestListChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		lists := []*upstream.List{upstream.NewList(), upstream.NewList()}
		now := map[ident.UpstreamID]upstream.Upstream{}
		replica, replicaList := map[ident.UpstreamID]upstream.Upstream{}, upstream.NewList()
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			for range rapid.IntRange(0, 3).Draw(t, "changes") {
				id := ident.UpstreamID(fmt.Sprint("u", rapid.IntRange(0, 9).Draw(t, "upstream")))
				if rapid.Bool().Draw(t, "listed") {
					now[id] = upstream.Upstream{ID: id, Leaving: rapid.Bool().Draw(t, "leaving")}
				} else {
					delete(now, id)
				}
			}
			from := rapid.IntRange(0, 1).Draw(t, "process")
			lists[from] = lists[from].Next(maps.Clone(now))
			if rapid.Bool().Draw(t, "ask") {
				change := lists[from].ChangeSince(replicaList.Digest())
				replica = change.Apply(replica)
				g.Expect(replica).To(Equal(now))
				replicaList = replicaList.Next(replica)
				g.Expect(replicaList.Digest()).To(Equal(change.Digest))
			}
		}
	})
}

// TestListDropsOldChanges guards against changes that omit removals because more
// upstreams were removed than the list remembers.
func TestListDropsOldChanges(t *testing.T) {
	g := NewWithT(t)
	upstreams := map[ident.UpstreamID]upstream.Upstream{}
	for i := range 1200 {
		id := ident.UpstreamID(fmt.Sprint("u", i))
		upstreams[id] = upstream.Upstream{ID: id}
	}
	first := upstream.NewList().Next(upstreams)
	start := first.ChangeSince(1)
	g.Expect(start.Complete).To(BeTrue())
	last := first
	for i := range 1200 {
		delete(upstreams, ident.UpstreamID(fmt.Sprint("u", i)))
		last = last.Next(maps.Clone(upstreams))
	}
	change := last.ChangeSince(start.Digest)
	g.Expect(change.Apply(start.Apply(nil))).To(BeEmpty())
	g.Expect(change.Complete).To(BeTrue())
}
