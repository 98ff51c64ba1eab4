package planner

import (
	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/configuration"
	"github.com/sassafrasspur/sassafrasspur/internal/failure"
	"github.com/sassafrasspur/sassafrasspur/internal/intent"
)

// permit refuses an intent that changes what another team owns: its limits, its
// upstreams, the loans of these and the orders to them. Pools, classes and
// weights are shared, but a pool in which another team has upstreams can't be
// changed or removed.
func (d *draft) permit(wanted intent.Intent) error {
	if d.team == "" {
		return nil
	}
	switch w := wanted.(type) {
	case intent.Create:
		return d.permitCreate(w.Object)
	case intent.Replace:
		if u, ok := w.Object.(intent.Upstream); ok && u.Team != d.team {
			return d.foreign("upstream", string(u.ID), u.Team)
		}
		return d.permitChange(w.Object)
	case intent.Remove:
		return d.permitChange(w.Object)
	case intent.SetDrain:
		return d.ownsUpstream(w.Upstream)
	case intent.SetBudget:
		return d.ownsTeam(w.Team)
	case intent.Load:
		return d.ownsUpstream(w.Upstream)
	case intent.SetRole:
		return d.ownsUpstream(w.Upstream)
	default:
		return nil
	}
}

func (d *draft) permitCreate(object intent.Object) error {
	switch o := object.(type) {
	case intent.Team:
		return d.ownsTeam(o.ID)
	case intent.Upstream:
		if o.Team != d.team {
			return d.foreign("upstream", string(o.ID), o.Team)
		}
		return nil
	case intent.Loan:
		return d.ownsUpstream(o.Upstream)
	default:
		return nil
	}
}

func (d *draft) permitChange(object intent.Object) error {
	switch o := object.(type) {
	case intent.Team:
		return d.ownsTeam(o.ID)
	case intent.Upstream:
		return d.ownsUpstream(o.ID)
	case intent.Loan:
		return d.ownsUpstream(o.Upstream)
	case intent.Pool:
		for _, u := range d.next.Upstreams {
			if u.Pool == o.ID && u.Team != d.team {
				return d.foreign("an upstream of pool", string(o.ID), u.Team)
			}
		}
		return nil
	default:
		return nil
	}
}

func (d *draft) ownsTeam(id ident.TeamID) error {
	if id == d.team {
		return nil
	}
	return d.foreign("team", string(id), id)
}

// ownsUpstream leaves an unknown upstream to the check of the intent itself.
func (d *draft) ownsUpstream(id ident.UpstreamID) error {
	if u, ok := d.next.Upstream(id); ok && u.Team != d.team {
		return d.foreign("upstream", string(id), u.Team)
	}
	return nil
}

func (d *draft) foreign(what, id string, owner ident.TeamID) error {
	return failure.Refusal(failure.Forbidden, 0, "%s %s belongs to team %s and the plan is one of team %s; let an operator of team %s make it", what, id, owner, d.team, owner)
}

// want makes an order a part of the configuration. A later order replaces an
// earlier one of the same thing.
func (d *draft) want(o configuration.Order) {
	d.changed = true
	o.Epoch = ident.Epoch(d.plan.Base + 1)
	if i := orders.index(d.next.Orders, orders.id(o)); i >= 0 {
		d.next.Orders[i] = o
	} else {
		d.next.Orders = append(d.next.Orders, o)
	}
	d.noPromise("The order is repeated until upstream %s confirms it; the status lists it until then.", o.Upstream)
}

// forget drops the orders to an upstream.
func (d *draft) forget(id ident.UpstreamID) {
	var kept []configuration.Order
	for _, o := range d.next.Orders {
		if o.Upstream != id {
			kept = append(kept, o)
		}
	}
	d.next.Orders = kept
}
