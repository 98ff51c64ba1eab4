package diagnoser_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/configuration"
	"github.com/sassafrasspur/sassafrasspur/internal/diagnoser"
	"github.com/sassafrasspur/sassafrasspur/internal/goldentest"
	"github.com/sassafrasspur/sassafrasspur/internal/snapshot"
)

// parseSnapshot returns the snapshot of a healthy node a with a second node b,
// modified by the fields of a line.
func parseSnapshot(f goldentest.Fields, now time.Time) *snapshot.Snapshot {
	version := 4
	if f.Has("version") {
		version = f.Int("version")
	}
	s := &snapshot.Snapshot{
		ConfigurationFreshUntil: now.Add(time.Second - f.Duration("stale")), ConfigurationAsOf: now.Add(-f.Duration("stale")),
		Configuration: &configuration.Configuration{
			Version:   ident.Version(version),
			Pools:     []configuration.Pool{{ID: "model"}},
			Upstreams: []configuration.Upstream{{ID: "e1", Pool: "model", Address: "e:1"}, {ID: "e2", Pool: "model", Address: "e:2"}},
		},
		Entry: snapshot.Entry{
			Enrolled: !f.Has("unlisted"), Leaving: f.Has("draining"), MembersAsOf: now.Add(-f.Duration("unseen")),
		},
		UpstreamLoads: []snapshot.UpstreamLoad{{Upstream: "e1", Usable: true}, {Upstream: "e2", Usable: true}},
		UnknownCalls:  make([]snapshot.UnknownCall, f.Int("unknown")),
		OpenOrders:    make([]configuration.Order, f.Int("orders")),
	}
	for _, m := range []snapshot.Member{{VM: "a", Leaving: f.Has("draining")}, {VM: "b", Leaving: f["other"] == "leaving"}} {
		s.Entry.Present = append(s.Entry.Present, m)
		if !m.Leaving {
			s.Entry.Members = append(s.Entry.Members, m)
		}
	}
	for i, key := range []string{"e1", "e2"} {
		if f.Has(key) {
			s.UpstreamLoads[i].Usable, s.UpstreamLoads[i].Reason = false, snapshot.UnusableReason(f[key])
		}
	}
	return s
}

// TestFindings guards against problems that a diagnosis omits or reports without a
// next step, and against notes that make a healthy system count as unhealthy.
func TestFindings(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1_800_000_000, 0)
	g.Expect(goldentest.Check("testdata/*.txtar", func(line string) string {
		d := diagnoser.Diagnoser{}.Diagnose(now, parseSnapshot(goldentest.Parse(line), now))
		output := []string{fmt.Sprintf("healthy=%t reachable=%t live=%d leaving=%d", d.Healthy, d.PlatformReachable, d.Live, d.Leaving)}
		for _, f := range d.Findings {
			g.Expect(f.Next).NotTo(BeEmpty())
			output = append(output, fmt.Sprintf("%s note=%t %s", f.Kind, f.Note, f.Text))
		}
		return strings.Join(output, "; ")
	})).To(Succeed())
}
