package confirmer_test

import (
	"context"
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/confirmer"
	"github.com/sassafrasspur/sassafrasspur/internal/failure"
	"github.com/sassafrasspur/sassafrasspur/internal/planner"
	"github.com/sassafrasspur/sassafrasspur/internal/rows"
	"github.com/sassafrasspur/sassafrasspur/internal/standin/rowstore"
	"github.com/sassafrasspur/sassafrasspur/internal/timer"
)

// platform is a store that loses answers, delays writes and fails reads
// according to faults. beforeAccess runs before each access, so that a test can
// run another operator's confirmation between two accesses of the first.
type platform struct {
	*rowstore.Rowstore
	faults       func(name string, count int) int
	beforeAccess func()
}

// newPlatform returns a store without faults.
func newPlatform() *platform {
	p := &platform{Rowstore: rowstore.New(), beforeAccess: func() {}, faults: func(string, int) int { return 0 }}
	p.Inject(func(write bool) rowstore.Fault {
		if !write {
			if p.faults("read", 6) == 1 {
				return rowstore.Refuse{}
			}
			return nil
		}
		switch p.faults("write", 6) {
		case 1:
			return rowstore.LoseAnswer{}
		case 2:
			return rowstore.ApplyLate{}
		case 3:
			return rowstore.Refuse{}
		}
		return nil
	})
	return p
}

func (p *platform) Read(ctx context.Context, r rows.Range) (rows.Page, error) {
	p.beforeAccess()
	return p.Rowstore.Read(ctx, r)
}

func (p *platform) Commit(ctx context.Context, t rows.Transaction) (rows.Outcome, error) {
	p.beforeAccess()
	return p.Rowstore.Commit(ctx, t)
}

// version returns the version of the configuration in force.
func (p *platform) version(g Gomega) ident.Version {
	page, err := p.Rowstore.Read(context.Background(), rows.Range{Table: confirmer.ConfigurationTable})
	g.Expect(err).NotTo(HaveOccurred())
	current, err := confirmer.ReadConfiguration(page.Rows)
	g.Expect(err).NotTo(HaveOccurred())
	return current.Version
}

func newConfirmer(p *platform) *confirmer.Confirmer {
	next := 0
	return confirmer.New(p, timer.New(), confirmer.WithRetries(3, 0), confirmer.WithIDs(func() string {
		next++
		return fmt.Sprint("plan-", next)
	}))
}

func teamIntent(id string) string {
	return fmt.Sprintf("[[intent]]\nkind = \"create_team\"\nid = %q\nmax_tokens = 1\nmax_calls = 1\n", id)
}

// TestRacingConfirmations guards against two plans with the same base that both
// take effect, a wrong result of a confirmation after a lost answer, and a
// version that decreases.
func TestRacingConfirmations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		ctx := context.Background()
		faultless := true
		p := newPlatform()
		p.faults = func(name string, count int) int {
			if faultless {
				return 0
			}
			return rapid.IntRange(0, count).Draw(t, name)
		}
		c := newConfirmer(p)
		const rounds = 3
		for round := range rounds {
			var plans []ident.PlanID
			for i := range rapid.IntRange(2, 3).Draw(t, "plans") {
				plan, err := c.Create(ctx, "", teamIntent(fmt.Sprintf("team-%d-%d", round, i)))
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(plan.Base).To(Equal(ident.Version(round)))
				plans = append(plans, plan.ID)
			}
			faultless = false
			results := map[ident.PlanID]error{}
			depth := 0
			confirm := func() {
				id := rapid.SampledFrom(plans).Draw(t, "plan")
				_, err := c.Confirm(ctx, "", id)
				if previous, ok := results[id]; !ok || previous != nil && failure.From(previous).Is(failure.PlatformUnavailable) {
					results[id] = err
				} else if previous == nil && err != nil {
					g.Expect(failure.From(err).Kind).To(Equal(failure.PlatformUnavailable), "a confirmed plan was refused")
				}
			}
			p.beforeAccess = func() {
				if rapid.IntRange(0, 5).Draw(t, "flush") == 0 {
					p.ApplyHeldBack()
				}
				if depth < 1 && rapid.IntRange(0, 3).Draw(t, "race") == 0 {
					depth++
					confirm()
					depth--
				}
			}
			for range rapid.IntRange(1, 4).Draw(t, "confirmations") {
				confirm()
			}
			p.beforeAccess = func() {}
			faultless = true
			p.ApplyHeldBack()
			g.Expect(countConfirmed(g, c, plans, results)).To(Equal(1))
			g.Expect(p.version(g)).To(Equal(ident.Version(round + 1)))
		}
	})
}

// countConfirmed confirms all plans with the same base again, compares the
// results with those of their first confirmations, and returns the number of
// confirmed plans.
func countConfirmed(g Gomega, c *confirmer.Confirmer, plans []ident.PlanID, results map[ident.PlanID]error) int {
	count := 0
	for _, id := range plans {
		_, err := c.Confirm(context.Background(), "", id)
		previous, tried := results[id]
		if err == nil {
			count++
			g.Expect(!tried || previous == nil || failure.From(previous).Is(failure.PlatformUnavailable)).To(BeTrue(), "%s is confirmed but its first confirmation returned %v", id, previous)
		} else {
			g.Expect(failure.From(err).Kind).To(Equal(failure.PlanStale))
			g.Expect(failure.From(err).Message).To(MatchRegexp(`team team-\d-\d was created`))
			g.Expect(tried && previous == nil).To(BeFalse(), "%s is not confirmed but its first confirmation succeeded", id)
		}
		_, confirmed, showErr := c.Show(context.Background(), "", id)
		g.Expect(showErr).NotTo(HaveOccurred())
		g.Expect(confirmed).To(Equal(err == nil))
	}
	return count
}

// TestConfirmWithSuccessor guards against reporting a confirmed plan as stale.
// This happens if its write is applied late and a later plan is confirmed before
// the result is read.
func TestConfirmWithSuccessor(t *testing.T) {
	for successorAt := 4; successorAt <= 6; successorAt++ {
		g := NewWithT(t)
		ctx := context.Background()
		late := true
		p := newPlatform()
		p.faults = func(name string, _ int) int {
			if name == "write" && late {
				return 2
			}
			return 0
		}
		c := newConfirmer(p)
		late = false
		first, err := c.Create(ctx, "", teamIntent("first"))
		g.Expect(err).NotTo(HaveOccurred())
		late = true
		accesses := 0
		p.beforeAccess = func() {
			accesses++
			if accesses != successorAt {
				return
			}
			late = false
			p.ApplyHeldBack()
			second, err := c.Create(ctx, "", teamIntent("second"))
			g.Expect(err).NotTo(HaveOccurred())
			_, err = c.Confirm(ctx, "", second.ID)
			g.Expect(err).NotTo(HaveOccurred())
		}
		_, err = c.Confirm(ctx, "", first.ID)
		g.Expect(err).NotTo(HaveOccurred(), "successor confirmed before access %d", successorAt)
	}
}

// TestCreateAfterLostAnswer guards against a plan that is stored twice, or
// reported as not stored, after the answer to its write was lost.
func TestCreateAfterLostAnswer(t *testing.T) {
	for fault := range 4 {
		g := NewWithT(t)
		p := newPlatform()
		writes := 0
		p.faults = func(name string, _ int) int {
			if name == "write" {
				writes++
				if writes == 1 {
					return fault
				}
			}
			return 0
		}
		var plan planner.Plan
		plan, err := newConfirmer(p).Create(context.Background(), "", teamIntent("desk"))
		g.Expect(err).NotTo(HaveOccurred())
		p.ApplyHeldBack()
		g.Expect(p.Size()).To(Equal(1))
		_, confirmed, err := newConfirmer(p).Show(context.Background(), "", plan.ID)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(confirmed).To(BeFalse())
	}
}

// TestCreateRefusals guards against storing an invalid intent, and against
// errors without a kind.
func TestCreateRefusals(t *testing.T) {
	g := NewWithT(t)
	p := newPlatform()
	c := newConfirmer(p)
	_, err := c.Create(context.Background(), "", "[[intent]]\nkind = \"nothing\"")
	g.Expect(failure.From(err).Kind).To(Equal(failure.InvalidRequest))
	g.Expect(failure.From(err).Message).To(ContainSubstring("line 2: unknown kind"))
	_, err = c.Confirm(context.Background(), "", "none")
	g.Expect(failure.From(err).Kind).To(Equal(failure.NotFound))
	g.Expect(p.Size()).To(BeZero())
	p.faults = func(string, int) int { return 1 }
	_, err = c.Confirm(context.Background(), "", "none")
	g.Expect(failure.From(err).Kind).To(Equal(failure.PlatformUnavailable))
}
