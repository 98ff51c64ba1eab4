package lender_test

import (
	"flag"
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/configuration"
	"github.com/sassafrasspur/sassafrasspur/internal/goldentest"
	"github.com/sassafrasspur/sassafrasspur/internal/lender"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

func TestLender(t *testing.T) {
	// The seed is fixed so that every CI run has the same result.
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
	}
	RegisterFailHandler(Fail)
	RunSpecs(t, "lender")
}

func upstream(f goldentest.Fields) configuration.Upstream {
	return configuration.Upstream{ID: "u1", Team: "owner", Slots: f.Int("slots"), Loans: []configuration.Loan{
		{Borrower: "borrower", Share: unit.Ratio(f.Float("share")), Reclaim: f.Duration("reclaim")},
	}}
}

func decide(line string) string {
	input, list, _ := strings.Cut(line, "|")
	f := goldentest.Parse(input)
	if f.Has("claim") {
		return reclaim(f, list)
	}
	in := lender.Input{
		Upstream: upstream(f), Team: ident.TeamID(f["team"]), InFlight: f.Int("held"), OwnerWaiting: f.Has("owner_waiting"),
	}
	for part := range strings.SplitSeq(list, "|") {
		if v := goldentest.Parse(part); v.Has("count") {
			in.Positions = append(in.Positions, lender.Position{Index: v.Int("index"), Count: v.Int("count")})
		}
	}
	switch d := lender.New().Decide(in).(type) {
	case lender.UseOwn:
		return "own"
	case lender.Borrow:
		return "borrow from loan to " + string(d.Loan.Borrower)
	case lender.Defer:
		return "later"
	case lender.Deny:
		return "never"
	}
	return "unknown decision"
}

func reclaim(f goldentest.Fields, list string) string {
	start := time.Unix(0, 0)
	c := lender.ReclaimInput{Upstream: upstream(f), Since: start, Now: start.Add(f.Duration("waited")), Waiting: f.Int("waiting")}
	for part := range strings.SplitSeq(list, "|") {
		if h := goldentest.Parse(part); h.Has("grant") {
			c.Calls = append(c.Calls, lender.Call{
				Grant: ident.Grant(h.Int("grant")), Team: ident.TeamID(h["team"]), Repeatable: !h.Has("once"),
				Started: start.Add(h.Duration("started")), Cancelled: h.Has("cancelled"),
			})
		}
	}
	switch d := lender.New().Reclaim(c).(type) {
	case lender.Cancel:
		return fmt.Sprintf("cancel %v", d.Grants)
	case lender.Keep:
		if d.Next.IsZero() {
			return "keep"
		}
		return fmt.Sprintf("keep, next after %s", d.Next.Sub(start))
	}
	return "unknown decision"
}

var _ = Describe("Lender", func() {
	It("guards against loans beyond their terms and cancelled calls that are not repeatable", func() {
		Expect(goldentest.Check("testdata/*.txtar", decide)).To(Succeed())
	})

	It("guards against local slots that add up to more or less than the share", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			u := configuration.Upstream{
				ID:    ident.UpstreamID(rapid.StringMatching(`[a-z]{1,8}`).Draw(t, "id")),
				Slots: rapid.IntRange(0, 300).Draw(t, "slots"),
			}
			percent := rapid.IntRange(0, 100).Draw(t, "percent")
			count := rapid.IntRange(1, 440).Draw(t, "count")
			sum := 0
			for index := range count {
				sum += lender.LocalSlots(u, configuration.Loan{Share: unit.Ratio(float64(percent) / 100)},
					[]lender.Position{{Index: index, Count: count}})
			}
			if want := u.Slots * percent / 100; sum != want {
				t.Fatalf("%d VMs lend %d slots, want %d", count, sum, want)
			}
		})
	})
})
