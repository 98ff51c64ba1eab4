package planner

import (
	"fmt"
	"slices"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/configuration"
	"github.com/sassafrasspur/sassafrasspur/internal/intent"
)

// objectKind defines the name, the key and the description of objects of one
// type.
type objectKind[T any] struct {
	name     string
	id       func(T) string
	describe func(T) string
}

var (
	teams     = objectKind[configuration.Team]{"team", func(t configuration.Team) string { return string(t.ID) }, describeTeam}
	pools     = objectKind[configuration.Pool]{"pool", func(p configuration.Pool) string { return string(p.ID) }, describePool}
	upstreams = objectKind[configuration.Upstream]{"upstream", func(u configuration.Upstream) string { return string(u.ID) }, describeUpstream}
	classes   = objectKind[configuration.Class]{"class", func(c configuration.Class) string { return string(c.ID) }, describeClass}
	loans     = objectKind[configuration.Loan]{"loan to", func(l configuration.Loan) string { return string(l.Borrower) }, describeLoan}
)

// orders identifies orders to engines. An engine has one role, so the key of a
// role order is its upstream; it can load any number of models, so the key of
// a load order includes the model's name.
var orders = objectKind[configuration.Order]{"order", func(o configuration.Order) string {
	id := string(o.Kind) + " on upstream " + string(o.Upstream)
	if o.Kind == configuration.SetRole {
		return id
	}
	return id + " of " + o.Name
}, func(o configuration.Order) string { return fmt.Sprintf("%s, fencing token %d", o.Name, o.Epoch) }}

func notFound(name, id string) error {
	return invalidf("%s %q does not exist; check the id or create it first", name, id)
}

func (k objectKind[T]) index(list []T, id string) int {
	return slices.IndexFunc(list, func(item T) bool { return k.id(item) == id })
}

func create[T any](d *draft, k objectKind[T], list *[]T, item T) error {
	if k.id(item) == "" {
		return invalidf("the %s has no id; add one", k.name)
	}
	if k.index(*list, k.id(item)) >= 0 {
		return invalidf("%s %q already exists; replace it instead", k.name, k.id(item))
	}
	*list = append(*list, item)
	d.addStep("Create %s %s (%s).", k.name, k.id(item), k.describe(item))
	return nil
}

func replace[T any](d *draft, k objectKind[T], list []T, item T) error {
	i := k.index(list, k.id(item))
	if i < 0 {
		return notFound(k.name, k.id(item))
	}
	d.addStep("Change %s %s from (%s) to (%s).", k.name, k.id(item), k.describe(list[i]), k.describe(item))
	list[i] = item
	return nil
}

func remove[T any](d *draft, k objectKind[T], list *[]T, id string) (T, error) {
	i := k.index(*list, id)
	if i < 0 {
		var zero T
		return zero, notFound(k.name, id)
	}
	item := (*list)[i]
	*list = slices.Delete(*list, i, i+1)
	if len(*list) == 0 {
		// A list that was never filled is nil too, so equal configurations have
		// equal encodings.
		*list = nil
	}
	d.addStep("Remove %s %s.", k.name, id)
	return item, nil
}

// findUpstream returns an upstream of the draft, whose loans the caller may
// modify.
func (d *draft) findUpstream(id ident.UpstreamID) (*configuration.Upstream, error) {
	i := upstreams.index(d.next.Upstreams, string(id))
	if i < 0 {
		return nil, notFound(upstreams.name, string(id))
	}
	return &d.next.Upstreams[i], nil
}

func (d *draft) create(object intent.Object) error {
	switch o := object.(type) {
	case intent.Team:
		d.addChange(o.ID, "the team is created")
		return create(d, teams, &d.next.Teams, o.Team)
	case intent.Pool:
		d.addChange("", "calls can name pool %s", o.ID)
		return create(d, pools, &d.next.Pools, o.Pool)
	case intent.Upstream:
		d.addChangeForUsers(o.Upstream, "pool %s gains upstream %s with %d slots", o.Pool, o.ID, o.Slots)
		return create(d, upstreams, &d.next.Upstreams, o.Upstream)
	case intent.Class:
		d.addChange("", "programs can be opened in class %s", o.ID)
		return create(d, classes, &d.next.Classes, o.Class)
	case intent.Loan:
		u, err := d.findUpstream(o.Upstream)
		if err != nil {
			return err
		}
		d.addLoanChanges(*u, o.Loan)
		return create(d, loansOf(o.Upstream), &u.Loans, o.Loan)
	default:
		return invalidf("an object %T can't be created", object)
	}
}

func (d *draft) replace(object intent.Object) error {
	switch o := object.(type) {
	case intent.Team:
		d.addChange(o.ID, "a program may ask for at most %d tokens and %d calls", o.MaxTokens, o.MaxCalls)
		d.addNotPromised("Programs that are open keep the budget with which they were opened.")
		return replace(d, teams, d.next.Teams, o.Team)
	case intent.Pool:
		d.addChange("", "calls to pool %s follow its new settings", o.ID)
		d.addNotPromised("Calls under way finish with the old settings of pool %s.", o.ID)
		return replace(d, pools, d.next.Pools, o.Pool)
	case intent.Upstream:
		old, ok := d.next.Upstream(o.ID)
		if !ok {
			return notFound(upstreams.name, string(o.ID))
		}
		return d.replaceUpstream(old, o.Upstream)
	case intent.Class:
		d.addChange("", "programs of class %s have rank %d", o.ID, o.Rank)
		return replace(d, classes, d.next.Classes, o.Class)
	case intent.Loan:
		u, err := d.findUpstream(o.Upstream)
		if err != nil {
			return err
		}
		d.addLoanChanges(*u, o.Loan)
		d.addReclaimCost(*u, o.Loan)
		return replace(d, loansOf(o.Upstream), u.Loans, o.Loan)
	default:
		return invalidf("an object %T can't be replaced", object)
	}
}

func (d *draft) replaceUpstream(old, changed configuration.Upstream) error {
	changed.Loans, changed.Drain = old.Loans, old.Drain
	d.addChangeForUsers(changed, "upstream %s has %d slots in pool %s", changed.ID, changed.Slots, changed.Pool)
	if old.Team != changed.Team {
		d.addChange(old.Team, "upstream %s moves to team %s", old.ID, changed.Team)
	}
	if old.Pool != changed.Pool {
		d.removeOrders(old.ID)
	}
	if old.Address != changed.Address || old.Pool != changed.Pool {
		d.addLossCosts(old)
		d.addNotPromised("Calls under way at the old address of upstream %s that must not be repeated may end with an unknown outcome.", old.ID)
	}
	return replace(d, upstreams, d.next.Upstreams, changed)
}

func (d *draft) remove(object intent.Object) error {
	switch o := object.(type) {
	case intent.Team:
		d.addChange(o.ID, "the team is removed and its accounts are refused")
		d.addNotPromised("Programs of team %s that are open can't continue.", o.ID)
		_, err := remove(d, teams, &d.next.Teams, string(o.ID))
		return err
	case intent.Pool:
		d.addChange("", "calls to pool %s are refused", o.ID)
		_, err := remove(d, pools, &d.next.Pools, string(o.ID))
		return err
	case intent.Upstream:
		u, err := remove(d, upstreams, &d.next.Upstreams, string(o.ID))
		if err != nil {
			return err
		}
		d.removeOrders(u.ID)
		d.addChangeForUsers(u, "pool %s loses upstream %s with %d slots", u.Pool, u.ID, u.Slots)
		d.addLossCosts(u)
		if !u.Drain {
			d.addNotPromised("Upstream %s is not drained: calls under way on it that must not be repeated may end with an unknown outcome. Drain it first to avoid this.", u.ID)
		}
		return nil
	case intent.Class:
		d.addChange("", "programs can no longer be opened in class %s", o.ID)
		d.addNotPromised("The order in which calls of open programs of class %s are served is not promised.", o.ID)
		_, err := remove(d, classes, &d.next.Classes, string(o.ID))
		return err
	case intent.Loan:
		u, err := d.findUpstream(o.Upstream)
		if err != nil {
			return err
		}
		loan, err := remove(d, loansOf(o.Upstream), &u.Loans, string(o.Borrower))
		if err != nil {
			return err
		}
		d.addChange(u.Team, "the slots of upstream %s that were lent to team %s are returned", u.ID, loan.Borrower)
		d.addChange(loan.Borrower, "upstream %s is no longer available", u.ID)
		d.addReclaimCost(*u, loan)
		return nil
	default:
		return invalidf("an object %T can't be removed", object)
	}
}

// loansOf returns the kind of the loans of one upstream.
func loansOf(id ident.UpstreamID) objectKind[configuration.Loan] {
	k := loans
	k.name = "loan of upstream " + string(id) + " to team"
	return k
}

func (d *draft) addLoanChanges(u configuration.Upstream, loan configuration.Loan) {
	d.addChange(u.Team, "%.0f%% of the slots of upstream %s may be held by team %s", 100*loan.Share, u.ID, loan.Borrower)
	d.addChange(loan.Borrower, "%.0f%% of the slots of upstream %s of team %s may be held", 100*loan.Share, u.ID, u.Team)
}

// addReclaimCost adds the cost of reclaiming lent slots.
func (d *draft) addReclaimCost(u configuration.Upstream, loan configuration.Loan) {
	d.addCost("Calls of team %s on upstream %s that may be repeated are cancelled and run elsewhere.", loan.Borrower, u.ID)
	d.addNotPromised("Calls of team %s on upstream %s that must not be repeated are not cancelled and can hold their slots for longer than %s.", loan.Borrower, u.ID, loan.Reclaim)
}
