package routing_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/goldentest"
	"github.com/sassafrasspur/sassafrasspur/internal/routing"
)

// TestMatch guards against a request that matches the route of another host, or a
// shorter prefix where a longer one matches.
func TestMatch(t *testing.T) {
	var routes []routing.Route
	for _, r := range []struct{ id, host, prefix string }{
		{"all", "a.test", "/"}, {"deep", "a.test", "/x/y/"}, {"x", "a.test", "/x/"}, {"other", "b.test", "/x/"},
	} {
		routes = append(routes, routing.Route{ID: ident.RouteID(r.id), Host: r.host, Prefix: r.prefix})
	}
	table := routing.New(1, routes, nil, routing.Limits{})
	NewWithT(t).Expect(goldentest.Check("testdata/match.txtar", func(line string) string {
		f := goldentest.Parse(line)
		route, ok := table.Match(f["host"], f["path"])
		if !ok {
			return "none"
		}
		return string(route.ID)
	})).To(Succeed())
}

// TestDestination guards against a distribution that does not follow the weights,
// and against attempts of one request that go to different pools.
func TestDestination(t *testing.T) {
	g := NewWithT(t)
	route := routing.Route{Destinations: []routing.Destination{{Pool: "a", Weight: 90}, {Pool: "b", Weight: 10}, {Pool: "c"}}}
	count := map[ident.PoolID]int{}
	for i := range 10_000 {
		id := ident.RequestID(fmt.Sprint("request-", i))
		pool, ok := route.Destination(id)
		g.Expect(ok).To(BeTrue())
		again, _ := route.Destination(id)
		g.Expect(again).To(Equal(pool))
		count[pool]++
	}
	g.Expect(count["a"]).To(BeNumerically("~", 9000, 200))
	g.Expect(count["c"]).To(BeZero())
	none := routing.Route{Destinations: []routing.Destination{{Pool: "a"}}}
	_, ok := none.Destination("request")
	g.Expect(ok).To(BeFalse())
}
