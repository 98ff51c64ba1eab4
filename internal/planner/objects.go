package planner

import (
	"fmt"
	"slices"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/configuration"
	"github.com/sassafrasspur/sassafrasspur/internal/intent"
)

// kind says how objects of one type are named, identified and described.
type kind[T any] struct {
	name     string
	id       func(T) string
	describe func(T) string
}

var (
	teams     = kind[configuration.Team]{"team", func(t configuration.Team) string { return string(t.ID) }, describeTeam}
	pools     = kind[configuration.Pool]{"pool", func(p configuration.Pool) string { return string(p.ID) }, describePool}
	upstreams = kind[configuration.Upstream]{"upstream", func(u configuration.Upstream) string { return string(u.ID) }, describeUpstream}
	classes   = kind[configuration.Class]{"class", func(c configuration.Class) string { return string(c.ID) }, describeClass}
	loans     = kind[configuration.Loan]{"loan to", func(l configuration.Loan) string { return string(l.Borrower) }, describeLoan}
)

// orders tells the orders to engines apart. An engine has one role and any
// number of models.
var orders = kind[configuration.Order]{"order", func(o configuration.Order) string {
	id := string(o.Kind) + " on upstream " + string(o.Upstream)
	if o.Kind == configuration.SetRole {
		return id
	}
	return id + " of " + o.Name
}, func(o configuration.Order) string { return fmt.Sprintf("%s, fencing number %d", o.Name, o.Epoch) }}

func missing(name, id string) error {
	return invalid("there is no %s %q; check the id or create it first", name, id)
}

func (k kind[T]) index(list []T, id string) int {
	return slices.IndexFunc(list, func(item T) bool { return k.id(item) == id })
}

func create[T any](d *draft, k kind[T], list *[]T, item T) error {
	if k.id(item) == "" {
		return invalid("the %s has no id; give it one", k.name)
	}
	if k.index(*list, k.id(item)) >= 0 {
		return invalid("there is a %s %q already; replace it instead", k.name, k.id(item))
	}
	*list = append(*list, item)
	d.step("Create %s %s (%s).", k.name, k.id(item), k.describe(item))
	return nil
}

func replace[T any](d *draft, k kind[T], list []T, item T) error {
	i := k.index(list, k.id(item))
	if i < 0 {
		return missing(k.name, k.id(item))
	}
	d.step("Change %s %s from (%s) to (%s).", k.name, k.id(item), k.describe(list[i]), k.describe(item))
	list[i] = item
	return nil
}

func remove[T any](d *draft, k kind[T], list *[]T, id string) (T, error) {
	i := k.index(*list, id)
	if i < 0 {
		var none T
		return none, missing(k.name, id)
	}
	item := (*list)[i]
	*list = slices.Delete(*list, i, i+1)
	if len(*list) == 0 {
		// A list that was never filled is nil too; equal configurations have
		// equal encodings.
		*list = nil
	}
	d.step("Remove %s %s.", k.name, id)
	return item, nil
}

// lent returns the list of loans of an upstream, for changes.
func (d *draft) lent(id ident.UpstreamID) (*configuration.Upstream, error) {
	i := upstreams.index(d.next.Upstreams, string(id))
	if i < 0 {
		return nil, missing(upstreams.name, string(id))
	}
	return &d.next.Upstreams[i], nil
}

func (d *draft) create(object intent.Object) error {
	switch o := object.(type) {
	case intent.Team:
		d.change(o.ID, "the team is created")
		return create(d, teams, &d.next.Teams, o.Team)
	case intent.Pool:
		d.change("", "calls can name pool %s", o.ID)
		return create(d, pools, &d.next.Pools, o.Pool)
	case intent.Upstream:
		d.changeUsers(o.Upstream, "pool %s gains upstream %s with %d slots", o.Pool, o.ID, o.Slots)
		return create(d, upstreams, &d.next.Upstreams, o.Upstream)
	case intent.Class:
		d.change("", "programs can be opened in class %s", o.ID)
		return create(d, classes, &d.next.Classes, o.Class)
	case intent.Loan:
		u, err := d.lent(o.Upstream)
		if err != nil {
			return err
		}
		d.loan(*u, o.Loan)
		return create(d, onUpstream(o.Upstream), &u.Loans, o.Loan)
	default:
		return invalid("an object %T can't be created", object)
	}
}

func (d *draft) replace(object intent.Object) error {
	switch o := object.(type) {
	case intent.Team:
		d.change(o.ID, "a program may ask for at most %d tokens and %d calls", o.MaxTokens, o.MaxCalls)
		d.noPromise("Programs that are open keep the budget with which they were opened.")
		return replace(d, teams, d.next.Teams, o.Team)
	case intent.Pool:
		d.change("", "calls to pool %s follow its new rules", o.ID)
		d.noPromise("Calls that are under way finish by the old rules of pool %s.", o.ID)
		return replace(d, pools, d.next.Pools, o.Pool)
	case intent.Upstream:
		old, ok := d.next.Upstream(o.ID)
		if !ok {
			return missing(upstreams.name, string(o.ID))
		}
		return d.replaceUpstream(old, o.Upstream)
	case intent.Class:
		d.change("", "programs of class %s have rank %d", o.ID, o.Rank)
		return replace(d, classes, d.next.Classes, o.Class)
	case intent.Loan:
		u, err := d.lent(o.Upstream)
		if err != nil {
			return err
		}
		d.loan(*u, o.Loan)
		d.interruptLoan(*u, o.Loan)
		return replace(d, onUpstream(o.Upstream), u.Loans, o.Loan)
	default:
		return invalid("an object %T can't be replaced", object)
	}
}

func (d *draft) replaceUpstream(old, changed configuration.Upstream) error {
	changed.Loans, changed.Drain = old.Loans, old.Drain
	d.changeUsers(changed, "upstream %s has %d slots in pool %s", changed.ID, changed.Slots, changed.Pool)
	if old.Team != changed.Team {
		d.change(old.Team, "upstream %s goes to team %s", old.ID, changed.Team)
	}
	if old.Pool != changed.Pool {
		d.forget(old.ID)
	}
	if old.Address != changed.Address || old.Pool != changed.Pool {
		d.lose(old)
		d.noPromise("Calls under way at the old address of upstream %s that must not be repeated may end with an unknown outcome.", old.ID)
	}
	return replace(d, upstreams, d.next.Upstreams, changed)
}

func (d *draft) remove(object intent.Object) error {
	switch o := object.(type) {
	case intent.Team:
		d.change(o.ID, "the team is removed and its accounts are refused")
		d.noPromise("Programs of team %s that are open can't continue.", o.ID)
		_, err := remove(d, teams, &d.next.Teams, string(o.ID))
		return err
	case intent.Pool:
		d.change("", "calls to pool %s are refused", o.ID)
		_, err := remove(d, pools, &d.next.Pools, string(o.ID))
		return err
	case intent.Upstream:
		u, err := remove(d, upstreams, &d.next.Upstreams, string(o.ID))
		if err != nil {
			return err
		}
		d.forget(u.ID)
		d.changeUsers(u, "pool %s loses upstream %s with %d slots", u.Pool, u.ID, u.Slots)
		d.lose(u)
		if !u.Drain {
			d.noPromise("Upstream %s is not drained: calls under way on it that must not be repeated may end with an unknown outcome. Drain it first to avoid this.", u.ID)
		}
		return nil
	case intent.Class:
		d.change("", "programs can't be opened in class %s any more", o.ID)
		d.noPromise("The order in which calls of open programs of class %s are served is not promised.", o.ID)
		_, err := remove(d, classes, &d.next.Classes, string(o.ID))
		return err
	case intent.Loan:
		u, err := d.lent(o.Upstream)
		if err != nil {
			return err
		}
		loan, err := remove(d, onUpstream(o.Upstream), &u.Loans, string(o.Borrower))
		if err != nil {
			return err
		}
		d.change(u.Team, "the slots of upstream %s that were lent to team %s come back", u.ID, loan.Borrower)
		d.change(loan.Borrower, "upstream %s can't be used any more", u.ID)
		d.interruptLoan(*u, loan)
		return nil
	default:
		return invalid("an object %T can't be removed", object)
	}
}

// onUpstream names the loans of one upstream.
func onUpstream(id ident.UpstreamID) kind[configuration.Loan] {
	k := loans
	k.name = "loan of upstream " + string(id) + " to team"
	return k
}

func (d *draft) loan(u configuration.Upstream, loan configuration.Loan) {
	d.change(u.Team, "%.0f%% of the slots of upstream %s may be held by team %s", 100*loan.Share, u.ID, loan.Borrower)
	d.change(loan.Borrower, "%.0f%% of the slots of upstream %s of team %s may be held", 100*loan.Share, u.ID, u.Team)
}

// interruptLoan reports what it costs to take lent slots back.
func (d *draft) interruptLoan(u configuration.Upstream, loan configuration.Loan) {
	d.cost("Calls of team %s on upstream %s that may be repeated are cancelled and run elsewhere.", loan.Borrower, u.ID)
	d.noPromise("Calls of team %s on upstream %s that must not be repeated are not cancelled and can hold their slots for longer than %s.", loan.Borrower, u.ID, loan.Reclaim)
}
