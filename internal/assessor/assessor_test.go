package assessor_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/assessor"
	"github.com/sassafrasspur/sassafrasspur/internal/cluster"
	"github.com/sassafrasspur/sassafrasspur/internal/configuration"
	"github.com/sassafrasspur/sassafrasspur/internal/goldentest"
	"github.com/sassafrasspur/sassafrasspur/internal/snapshot"
)

// view makes the snapshot of a healthy node a that owns shard 0 of 2, changed as
// a line says.
func view(f goldentest.Fields, now time.Time) *snapshot.Snapshot {
	node := func(vm ident.VMID, state cluster.NodeState) cluster.Node {
		return cluster.Node{VM: vm, Incarnation: 1, State: state}
	}
	other := cluster.Live
	if f.Has("other") {
		other = cluster.NodeState(f["other"])
	}
	version := 4
	if f.Has("version") {
		version = f.Int("version")
	}
	s := &snapshot.Snapshot{
		Self: node("a", cluster.Live), LeaseUntil: now.Add(time.Second - f.Duration("lapsed")),
		ConfigurationUntil: now.Add(time.Second - f.Duration("stale")), ConfigurationAsOf: now.Add(-f.Duration("stale")),
		PlatformSeen: now.Add(-f.Duration("unseen")),
		Configuration: &configuration.Configuration{
			Version:   ident.Version(version),
			Pools:     []configuration.Pool{{ID: "model"}},
			Upstreams: []configuration.Upstream{{ID: "e1", Pool: "model", Address: "e:1"}, {ID: "e2", Pool: "model", Address: "e:2"}},
		},
		Assignment:    cluster.Assignment{Owners: []cluster.Owner{{VM: "a", Incarnation: 1}, {VM: "b", Incarnation: 1}}},
		Nodes:         []cluster.Node{node("b", other)},
		Serving:       1 - f.Int("loading"),
		Draining:      f.Has("draining"),
		UpstreamLoads: []snapshot.UpstreamLoad{{Upstream: "e1", Usable: true}, {Upstream: "e2", Usable: true}},
		Unknown:       make([]snapshot.UnknownCall, f.Int("unknown")),
		OpenOrders:    make([]configuration.Order, f.Int("orders")),
	}
	for i, key := range []string{"e1", "e2"} {
		if f.Has(key) {
			s.UpstreamLoads[i].Usable, s.UpstreamLoads[i].Reason = false, snapshot.Unusable(f[key])
		}
	}
	if f.Has("moved") {
		s.Assignment.Owners[1].Incarnation = 0
	}
	return s
}

// Guards against problems that a status hides or explains without a next step,
// and against notes that make a healthy system look broken.
func TestFindings(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1_800_000_000, 0)
	g.Expect(goldentest.Check("testdata/*.txtar", func(line string) string {
		a := assessor.Assessor{}.Assess(now, view(goldentest.Parse(line), now))
		words := []string{fmt.Sprintf("healthy=%t reachable=%t orphans=%d live=%d leaving=%d lapsed=%d",
			a.Healthy, a.PlatformReachable, a.Orphans, a.Live, a.Departing, a.Lapsed)}
		for _, f := range a.Findings {
			g.Expect(f.Next).NotTo(BeEmpty())
			words = append(words, fmt.Sprintf("%s note=%t %s", f.Kind, f.Note, f.Text))
		}
		return strings.Join(words, "; ")
	})).To(Succeed())
}
