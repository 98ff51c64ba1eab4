package planner

import (
	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/configuration"
	"github.com/sassafrasspur/sassafrasspur/internal/failure"
	"github.com/sassafrasspur/sassafrasspur/internal/intent"
)

// authorize rejects an intent that changes what another team owns: its limits,
// its upstreams, and the loans of these upstreams and the orders to them. Pools,
// classes and weights are shared, but a pool in which another team has upstreams
// can't be changed or removed.
func (d *draft) authorize(wanted intent.Intent) error {
	if d.team == "" {
		return nil
	}
	switch w := wanted.(type) {
	case intent.Create:
		return d.authorizeCreate(w.Object)
	case intent.Replace:
		if u, ok := w.Object.(intent.Upstream); ok && u.Team != d.team {
			return d.forbidden("upstream", string(u.ID), u.Team)
		}
		return d.authorizeChange(w.Object)
	case intent.Remove:
		return d.authorizeChange(w.Object)
	case intent.SetDrain:
		return d.authorizeUpstream(w.Upstream)
	case intent.SetBudget:
		return d.authorizeTeam(w.Team)
	case intent.Load:
		return d.authorizeUpstream(w.Upstream)
	case intent.SetRole:
		return d.authorizeUpstream(w.Upstream)
	default:
		return nil
	}
}

func (d *draft) authorizeCreate(object intent.Object) error {
	switch o := object.(type) {
	case intent.Team:
		return d.authorizeTeam(o.ID)
	case intent.Upstream:
		if o.Team != d.team {
			return d.forbidden("upstream", string(o.ID), o.Team)
		}
		return nil
	case intent.Loan:
		return d.authorizeUpstream(o.Upstream)
	default:
		return nil
	}
}

func (d *draft) authorizeChange(object intent.Object) error {
	switch o := object.(type) {
	case intent.Team:
		return d.authorizeTeam(o.ID)
	case intent.Upstream:
		return d.authorizeUpstream(o.ID)
	case intent.Loan:
		return d.authorizeUpstream(o.Upstream)
	case intent.Pool:
		for _, u := range d.next.Upstreams {
			if u.Pool == o.ID && u.Team != d.team {
				return d.forbidden("an upstream of pool", string(o.ID), u.Team)
			}
		}
		return nil
	default:
		return nil
	}
}

func (d *draft) authorizeTeam(id ident.TeamID) error {
	if id == d.team {
		return nil
	}
	return d.forbidden("team", string(id), id)
}

// authorizeUpstream accepts an unknown upstream: applying the intent reports it.
func (d *draft) authorizeUpstream(id ident.UpstreamID) error {
	if u, ok := d.next.Upstream(id); ok && u.Team != d.team {
		return d.forbidden("upstream", string(id), u.Team)
	}
	return nil
}

func (d *draft) forbidden(what, id string, owner ident.TeamID) error {
	return failure.Refusal(failure.Forbidden, 0, "%s %s belongs to team %s and the plan is one of team %s; let an operator of team %s make it",
		what, id, owner, d.team, owner)
}

// setOrder adds an order to the configuration. It replaces an earlier order with
// the same key, such as the previous role of an engine.
func (d *draft) setOrder(o configuration.Order) {
	d.changed = true
	o.Epoch = ident.Epoch(d.plan.Base + 1)
	if i := orders.index(d.next.Orders, orders.id(o)); i >= 0 {
		d.next.Orders[i] = o
	} else {
		d.next.Orders = append(d.next.Orders, o)
	}
	d.addNotPromised("The order is repeated until upstream %s confirms it; the status lists it until then.", o.Upstream)
}

// removeOrders removes all orders to an upstream.
func (d *draft) removeOrders(id ident.UpstreamID) {
	var kept []configuration.Order
	for _, o := range d.next.Orders {
		if o.Upstream != id {
			kept = append(kept, o)
		}
	}
	d.next.Orders = kept
}
