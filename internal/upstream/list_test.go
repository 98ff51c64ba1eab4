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

// Guards against a copy of the list that keeps an upstream that is gone, or misses
// one that came or left, also if it is asked for at several VMs by turns.
func TestListChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		lists := []*upstream.List{upstream.NewList(), upstream.NewList()}
		now := map[ident.UpstreamID]upstream.Upstream{}
		copied, own := map[ident.UpstreamID]upstream.Upstream{}, upstream.NewList()
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
				change := lists[from].After(own.Digest())
				copied = change.Apply(copied)
				g.Expect(copied).To(Equal(now))
				own = own.Next(copied)
				g.Expect(own.Digest()).To(Equal(change.Digest))
			}
		}
	})
}

// Guards against changes that are left out because too many upstreams went since.
func TestListForgetsOldChanges(t *testing.T) {
	g := NewWithT(t)
	many := map[ident.UpstreamID]upstream.Upstream{}
	for i := range 1200 {
		id := ident.UpstreamID(fmt.Sprint("u", i))
		many[id] = upstream.Upstream{ID: id}
	}
	first := upstream.NewList().Next(many)
	start := first.After(1)
	g.Expect(start.Whole).To(BeTrue())
	few := first
	for i := range 1200 {
		delete(many, ident.UpstreamID(fmt.Sprint("u", i)))
		few = few.Next(maps.Clone(many))
	}
	change := few.After(start.Digest)
	g.Expect(change.Apply(start.Apply(nil))).To(BeEmpty())
	g.Expect(change.Whole).To(BeTrue())
}
