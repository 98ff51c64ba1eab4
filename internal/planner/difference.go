package planner

import (
	"fmt"
	"net"
	"reflect"
	"slices"

	"github.com/sassafrasspur/sassafrasspur/internal/configuration"
)

// Difference describes how two configurations differ, one change per line.
func Difference(from, to *configuration.Configuration) []string {
	lines := diffObjects(teams, from.Teams, to.Teams)
	lines = append(lines, diffObjects(pools, from.Pools, to.Pools)...)
	lines = append(lines, diffObjects(upstreams, from.Upstreams, to.Upstreams)...)
	lines = append(lines, diffObjects(classes, from.Classes, to.Classes)...)
	lines = append(lines, diffObjects(orders, from.Orders, to.Orders)...)
	if from.Weights != to.Weights {
		lines = append(lines, fmt.Sprintf("the weights changed from (%s) to (%s)", describeWeights(from.Weights), describeWeights(to.Weights)))
	}
	return lines
}

func diffObjects[T any](k objectKind[T], from, to []T) []string {
	var lines []string
	for _, old := range from {
		i := k.index(to, k.id(old))
		switch {
		case i < 0:
			lines = append(lines, fmt.Sprintf("%s %s was removed", k.name, k.id(old)))
		case !reflect.DeepEqual(old, to[i]):
			lines = append(lines, fmt.Sprintf("%s %s changed from (%s) to (%s)", k.name, k.id(old), k.describe(old), k.describe(to[i])))
		}
	}
	for _, item := range to {
		if k.index(from, k.id(item)) < 0 {
			lines = append(lines, fmt.Sprintf("%s %s was created (%s)", k.name, k.id(item), k.describe(item)))
		}
	}
	return lines
}

func describeTeam(t configuration.Team) string {
	return fmt.Sprintf("at most %d tokens and %d calls for a program", t.MaxTokens, t.MaxCalls)
}

func describePool(p configuration.Pool) string {
	return fmt.Sprintf("kind %s, idempotent operations %v, look-up %t, fencing %t", p.Kind, p.Idempotent, p.LookUp, p.Fencing)
}

func describeUpstream(u configuration.Upstream) string {
	text := fmt.Sprintf("pool %s, team %s, address %s, region %s, domain %s, %d slots", u.Pool, u.Team, u.Address, u.Region, u.Domain, u.Slots)
	if u.Drain {
		text += ", draining"
	}
	for _, loan := range u.Loans {
		text += fmt.Sprintf(", lent to %s: %s", loan.Borrower, describeLoan(loan))
	}
	return text
}

func describeClass(c configuration.Class) string {
	return fmt.Sprintf("rank %d, essential %t", c.Rank, c.Essential)
}

func describeLoan(l configuration.Loan) string {
	return fmt.Sprintf("share %g, reclaimed within %s", float64(l.Share), l.Reclaim)
}

func describeWeights(w configuration.Weights) string {
	return fmt.Sprintf("%s for a recomputed token, %s for a transferred kilobyte", w.RecomputedToken, w.TransferredKilobyte)
}

// clone returns a copy of a configuration. The copy shares no slice that a draft
// modifies.
func clone(c *configuration.Configuration) *configuration.Configuration {
	next := *c
	next.Teams = slices.Clone(c.Teams)
	next.Pools = slices.Clone(c.Pools)
	next.Classes = slices.Clone(c.Classes)
	next.Orders = slices.Clone(c.Orders)
	next.Upstreams = slices.Clone(c.Upstreams)
	for i := range next.Upstreams {
		next.Upstreams[i].Loans = slices.Clone(next.Upstreams[i].Loans)
	}
	return &next
}

// validate rejects configurations with references to missing objects and with
// limits that make an object unusable.
func validate(c *configuration.Configuration) error {
	for _, t := range c.Teams {
		if t.MaxTokens < 0 || t.MaxCalls < 0 {
			return invalidf("team %s has a negative limit; use 0 or more", t.ID)
		}
	}
	for _, p := range c.Pools {
		if p.Kind != configuration.EnginePool && p.Kind != configuration.ServicePool {
			return invalidf("pool %s has the kind %q; use %q or %q", p.ID, p.Kind, configuration.EnginePool, configuration.ServicePool)
		}
	}
	if c.Weights.RecomputedToken < 0 || c.Weights.TransferredKilobyte < 0 {
		return invalidf("a weight is negative; use 0 or more")
	}
	for _, u := range c.Upstreams {
		if err := validateUpstream(c, u); err != nil {
			return err
		}
	}
	return nil
}

func validateUpstream(c *configuration.Configuration, u configuration.Upstream) error {
	if _, ok := c.Pool(u.Pool); !ok {
		return invalidf("upstream %s is in pool %q, which does not exist; create the pool, or remove or replace the upstream first", u.ID, u.Pool)
	}
	if _, ok := c.Team(u.Team); !ok {
		return invalidf("upstream %s belongs to team %q, which does not exist; create the team, or remove or replace the upstream first", u.ID, u.Team)
	}
	if _, _, err := net.SplitHostPort(u.Address); err != nil {
		return invalidf("upstream %s has the address %q; use an IP address and a port", u.ID, u.Address)
	}
	if u.Slots < 1 {
		return invalidf("upstream %s has %d slots; use 1 or more", u.ID, u.Slots)
	}
	totalShare := 0.0
	for _, loan := range u.Loans {
		if _, ok := c.Team(loan.Borrower); !ok {
			return invalidf("upstream %s is lent to team %q, which does not exist; create the team or remove the loan first", u.ID, loan.Borrower)
		}
		if loan.Borrower == u.Team {
			return invalidf("upstream %s is lent to its own team %s; remove the loan", u.ID, u.Team)
		}
		if !(loan.Share > 0 && loan.Share <= 1) || loan.Reclaim < 0 {
			return invalidf("the loan of upstream %s to team %s has the share %g and the reclaim time %s; use a share above 0 and up to 1 and a time of 0 or more",
				u.ID, loan.Borrower, float64(loan.Share), loan.Reclaim)
		}
		totalShare += float64(loan.Share)
	}
	// Shares such as 0.1 have no exact binary representation, so rounding may
	// take their sum above 1.
	if totalShare > 1+1e-9 {
		return invalidf("upstream %s is lent with shares of %g in total; reduce them to at most 1", u.ID, totalShare)
	}
	return nil
}
