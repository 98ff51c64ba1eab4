package planner_test

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"golang.org/x/tools/txtar"
	"pgregory.net/rapid"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/configuration"
	"github.com/sassafrasspur/sassafrasspur/internal/failure"
	"github.com/sassafrasspur/sassafrasspur/internal/intent"
	"github.com/sassafrasspur/sassafrasspur/internal/intentparser"
	"github.com/sassafrasspur/sassafrasspur/internal/planner"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// TestPlans guards against plans that omit an affected team, an interruption or
// an effect that can't be guaranteed. The first file of an archive is the
// configuration; pairs of an intent and its plan follow.
func TestPlans(t *testing.T) {
	files, _ := filepath.Glob("testdata/*.txtar")
	for _, file := range files {
		g := NewWithT(t)
		archive, err := txtar.ParseFile(file)
		g.Expect(err).NotTo(HaveOccurred())
		var current configuration.Configuration
		g.Expect(json.Unmarshal(archive.Files[0].Data, &current)).To(Succeed())
		for i := 1; i+1 < len(archive.Files); i += 2 {
			wanted, err := intentparser.Parse(string(archive.Files[i].Data))
			g.Expect(err).NotTo(HaveOccurred())
			plan, err := planner.Planner{}.Plan(&current, wanted)
			got := formatPlan(plan, err, &current)
			if *update {
				archive.Files[i+1].Data = []byte(got)
			}
			g.Expect(got).To(Equal(string(archive.Files[i+1].Data)), archive.Files[i].Name)
		}
		if *update {
			g.Expect(os.WriteFile(file, txtar.Format(archive), 0o600)).To(Succeed())
		}
	}
}

func formatPlan(plan planner.Plan, err error, current *configuration.Configuration) string {
	if err != nil {
		return err.Error() + "\n"
	}
	var b strings.Builder
	list := func(name string, lines []string) {
		for _, line := range lines {
			fmt.Fprintf(&b, "%s: %s\n", name, line)
		}
	}
	list("step", plan.Steps)
	for _, change := range plan.Changes {
		fmt.Fprintf(&b, "change for %q: %s\n", change.Team, change.Text)
	}
	list("cost", plan.Costs)
	list("not promised", plan.NotPromised)
	list("difference", planner.Difference(current, plan.Next))
	for _, order := range plan.Orders {
		fmt.Fprintf(&b, "order: %T%+v\n", order, order)
	}
	return b.String()
}

func drawObject(t *rapid.T) intent.Object {
	id := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "id")
	ref := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "ref")
	number := rapid.IntRange(-1, 3).Draw(t, "number")
	switch rapid.IntRange(0, 4).Draw(t, "object") {
	case 0:
		return intent.Team{Team: configuration.Team{ID: ident.TeamID(id), MaxTokens: unit.Tokens(number)}}
	case 1:
		return intent.Pool{Pool: configuration.Pool{ID: ident.PoolID(id), Kind: configuration.EnginePool, LookUp: number > 0}}
	case 2:
		return intent.Upstream{Upstream: configuration.Upstream{ID: ident.UpstreamID(id), Pool: ident.PoolID(ref), Team: ident.TeamID(ref), Address: "10.0.0.1:80", Slots: number}}
	case 3:
		return intent.Class{Class: configuration.Class{ID: ident.Class(id), Rank: number}}
	default:
		return intent.Loan{Upstream: ident.UpstreamID(id), Loan: configuration.Loan{Borrower: ident.TeamID(ref), Share: unit.Ratio(number) / 2}}
	}
}

func drawIntent(t *rapid.T) intent.Intent {
	switch rapid.IntRange(0, 5).Draw(t, "intent") {
	case 0, 1:
		return intent.Create{Object: drawObject(t)}
	case 2:
		return intent.Replace{Object: drawObject(t)}
	case 3:
		return intent.Remove{Object: drawObject(t)}
	case 4:
		return intent.SetDrain{Upstream: ident.UpstreamID(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "id")), Drain: rapid.Bool().Draw(t, "drain")}
	default:
		return intent.Batch{Intents: []intent.Intent{intent.Create{Object: drawObject(t)}, intent.Remove{Object: drawObject(t)}}}
	}
}

// ownedByOthers returns what other teams own.
func ownedByOthers(c *configuration.Configuration, team ident.TeamID) string {
	var text strings.Builder
	for _, t := range c.Teams {
		if t.ID != team {
			fmt.Fprintf(&text, "%+v\n", t)
		}
	}
	for _, u := range c.Upstreams {
		if u.Team != team {
			fmt.Fprintf(&text, "%+v\n", u)
		}
	}
	return text.String()
}

// TestRandomIntents guards against a plan that changes what another team owns,
// modifies the configuration in force, skips a version, leaves a reference to a
// removed object or omits a change.
func TestRandomIntents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		current := &configuration.Configuration{}
		for range rapid.IntRange(1, 40).Draw(t, "count") {
			before, _ := json.Marshal(current)
			wanted := drawIntent(t)
			p := planner.Planner{Team: ident.TeamID(rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "team"))}
			plan, err := p.Plan(current, wanted)
			after, _ := json.Marshal(current)
			g.Expect(after).To(Equal(before), "the configuration in force changed")
			if err != nil {
				g.Expect(failure.From(err).Kind).To(Or(Equal(failure.InvalidRequest), Equal(failure.Forbidden)))
				g.Expect(err.Error()).To(ContainSubstring(";"), "the error names no remedy")
				continue
			}
			again, err := p.Plan(current, wanted)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(again).To(Equal(plan))
			g.Expect(plan.Next.Version).To(Equal(current.Version + 1))
			g.Expect(plan.Steps).NotTo(BeEmpty())
			if p.Team != "" {
				g.Expect(ownedByOthers(plan.Next, p.Team)).To(Equal(ownedByOthers(current, p.Team)), "a plan changed what another team owns")
			}
			unversioned := *plan.Next
			unversioned.Version = current.Version
			equal, _ := json.Marshal(unversioned)
			g.Expect(string(equal) == string(before)).To(Equal(len(planner.Difference(current, plan.Next)) == 0))
			for _, u := range plan.Next.Upstreams {
				_, pool := plan.Next.Pool(u.Pool)
				_, team := plan.Next.Team(u.Team)
				g.Expect(pool && team).To(BeTrue(), "upstream without pool or team")
				for _, loan := range u.Loans {
					_, borrower := plan.Next.Team(loan.Borrower)
					g.Expect(borrower).To(BeTrue(), "loan without borrower")
				}
			}
			current = plan.Next
		}
	})
}
