package balancer_test

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/balancer"
	"github.com/sassafrasspur/sassafrasspur/internal/goldentest"
	"github.com/sassafrasspur/sassafrasspur/internal/message"
	"github.com/sassafrasspur/sassafrasspur/internal/routing"
	"github.com/sassafrasspur/sassafrasspur/internal/snapshot"
	"github.com/sassafrasspur/sassafrasspur/internal/upstream"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

// newNoticeDecider returns a function that applies lines to the balancer of vm1 in
// failure domain d1. A line with "calls" chooses an upstream each 100 ms and returns
// how often each one was chosen.
func newNoticeDecider() func(line string) string {
	regions := map[ident.Domain]ident.Region{"d1": "r1", "d2": "r1", "d3": "r2"}
	b := balancer.New(balancer.Location{VM: "vm1", Domain: "d1", Region: "r1", Regions: regions}, 1)
	now := time.Unix(0, 0)
	// Lines name tickets below this one; other calls end in the order of their start.
	calls := newCallLog()
	calls.last = 1000
	return func(line string) string {
		f := goldentest.Parse(line)
		now = now.Add(f.Duration("after"))
		switch {
		case f.Has("list"):
			b.Handle(now, listed(now, f["list"]))
		case f.Has("limits"):
			limits := map[ident.UpstreamID]unit.Rate{}
			for _, word := range strings.Split(f["limits"], ",") {
				id, limit, _ := strings.Cut(word, ":")
				if rate, err := strconv.ParseFloat(limit, 64); err == nil {
					limits[ident.UpstreamID(id)] = unit.Rate(rate)
				}
			}
			b.Handle(now, message.UpstreamLimitsChanged{Limits: limits})
		case f.Has("notice"):
			b.Handle(now, message.UpstreamNoticed{
				Upstream: ident.UpstreamID(f["notice"]), Incarnation: parseIncarnation(f["of"]), Notice: upstream.Notice{Leaving: f.Has("leaving")},
			})
		case f.Has("serving"):
			var m message.MembersListed
			for _, word := range strings.Split(f["serving"], ",") {
				vm, domain, _ := strings.Cut(word, "@")
				m.Serving = append(m.Serving, snapshot.Member{VM: ident.VMID(vm), Domain: ident.Domain(domain)})
			}
			b.Handle(now, m)
		case f.Has("connections"):
			pools := []routing.Pool{{ID: "pool", Connections: f.Int("connections")}}
			b.Handle(now, message.RoutesChanged{Table: routing.New(1, nil, pools, routing.Limits{})})
		case f.Has("ended"):
			ticket := ident.Ticket(f.Int("ticket"))
			if ticket == 0 {
				ticket = calls.end(f["ended"])
			}
			b.Handle(now, message.CallEnded{Ticket: ticket, Upstream: ident.UpstreamID(f["ended"]), Incarnation: parseIncarnation(f["of"]), Result: result(f)})
		case f.Has("abandoned"):
			b.Handle(now, message.WaitAbandoned{Ticket: ident.Ticket(f.Int("abandoned"))})
		case f.Has("calls"):
			chosen := map[string]int{}
			for range f.Int("calls") {
				now = now.Add(100 * time.Millisecond)
				ticket := calls.next()
				f["ticket"] = strconv.Itoa(int(ticket))
				id, _, _ := strings.Cut(choose(b, now, f), " ")
				chosen[id]++
				b.Handle(now, message.CallEnded{Ticket: ticket, Upstream: ident.UpstreamID(id), Result: result(goldentest.Fields{"first": "50ms"})})
			}
			return fmt.Sprint(chosen)
		case f.Has("ticket"):
			return choose(b, now, f)
		default:
			ticket := calls.next()
			f["ticket"] = strconv.Itoa(int(ticket))
			decision := choose(b, now, f)
			id, _, _ := strings.Cut(decision, " ")
			calls.start(id, ticket)
			return decision
		}
		return ""
	}
}

// TestRequestLimits guards against an upstream that gets more calls than this VM's
// part of its limit, against a part that is lost to VMs that can't use it well, and
// against programs that all move to one upstream when those of their region have a
// limit.
func TestRequestLimits(t *testing.T) {
	NewWithT(t).Expect(goldentest.Check("testdata/limits/*.txtar", newNoticeDecider())).To(Succeed())
}

// TestExtremeRequestLimits guards against a process that ends with a panic because the
// limit of one upstream exceeds an integer, and against an interval that overflows.
func TestExtremeRequestLimits(t *testing.T) {
	NewWithT(t).Expect(goldentest.Check("testdata/extreme/*.txtar", newNoticeDecider())).To(Succeed())
}

// TestLeavingNotice guards against calls to an upstream that has said in an answer that
// it leaves, which the platform's list may tell late or never, and against an upstream
// that stays unused after its process has started again.
func TestLeavingNotice(t *testing.T) {
	NewWithT(t).Expect(goldentest.Check("testdata/leaving/*.txtar", newNoticeDecider())).To(Succeed())
}

// TestRestartInPlace guards against an upstream that has started again under its id and
// is taken for the process before: it gets no calls because that one left, or fewer
// because that one failed or had calls under way.
func TestRestartInPlace(t *testing.T) {
	for _, table := range []string{"leaving", "state"} {
		NewWithT(t).Expect(goldentest.Check("testdata/restart/"+table+".txtar", newNoticeDecider())).To(Succeed())
	}
}

// TestAbandonedChoice guards against an upstream that gets no more calls because each
// request whose caller left before the choice takes a place there for good.
func TestAbandonedChoice(t *testing.T) {
	NewWithT(t).Expect(goldentest.Check("testdata/abandoned/*.txtar", newNoticeDecider())).To(Succeed())
}

// TestUnlistedUpstream guards against an upstream that gets more calls than it accepts,
// or calls that it fails, because a list that lacked it once made the VM forget its calls
// in flight and failures there.
func TestUnlistedUpstream(t *testing.T) {
	checkEach(t, "testdata/unlisted/*.txtar", newNoticeDecider)
}
