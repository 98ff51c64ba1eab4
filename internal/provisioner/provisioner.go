// Package provisioner gives engines the orders of the configuration.
//
// The orders are the desired state of engines: models, adapters and roles. An
// order is repeated until its engine confirms it. The VM to whose share the
// upstream belongs sends it; another VM that takes the upstream over sends it
// again, which changes nothing more. The fencing number is the version of the
// configuration that brought the order, which grows with each confirmed plan.
package provisioner

import (
	"cmp"
	"slices"
	"time"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/configuration"
	"github.com/sassafrasspur/sassafrasspur/internal/effect"
	"github.com/sassafrasspur/sassafrasspur/internal/message"
	"github.com/sassafrasspur/sassafrasspur/internal/sharer"
	"github.com/sassafrasspur/sassafrasspur/internal/snapshot"
)

const (
	// firstDelay is the time before an order is tried again; it doubles with each
	// failure.
	firstDelay = 500 * time.Millisecond
	// maxDelay bounds the time between two tries of an order.
	maxDelay = 10 * time.Second
)

// Provisioner is the controller of orders to engines.
type Provisioner struct {
	configuration *configuration.Configuration
	share         sharer.Sharer
	// known holds the orders of this VM's share.
	known map[message.OrderID]*order
	// busy holds the addresses to which an order is under way. A role that a
	// later plan replaced must not arrive after the later one.
	busy map[string]bool
}

// order is the progress of one order at one address.
type order struct {
	delay     time.Duration
	nextAt    time.Time
	confirmed bool
}

// New returns the provisioner of a VM.
func New(self ident.VMID) *Provisioner {
	p := &Provisioner{
		share: sharer.New(self),
		known: map[message.OrderID]*order{},
		busy:  map[string]bool{},
	}
	return p
}

// Handle takes part in the control loop.
func (p *Provisioner) Handle(now time.Time, m message.Message) []effect.Effect {
	switch m := m.(type) {
	case message.ConfigurationRead:
		p.configure(m.Configuration)
	case message.MembersListed:
		p.share.Update(m)
		p.want()
	case message.OrderDone:
		p.done(now, m)
		return append(p.tick(now), effect.Publish{})
	case message.Tick:
	default:
		return nil
	}
	return p.tick(now)
}

// Describe adds the orders that engines have not confirmed yet.
func (p *Provisioner) Describe(s *snapshot.Snapshot) {
	for _, id := range p.sorted() {
		if !p.known[id].confirmed {
			s.OpenOrders = append(s.OpenOrders, id.Order)
		}
	}
}

func (p *Provisioner) configure(next *configuration.Configuration) {
	if next != nil && (p.configuration == nil || next.Version > p.configuration.Version) {
		p.configuration = next
		p.want()
	}
}

// want takes over the orders of this VM's share and forgets all others. A new
// address is a new process, which gets all orders again.
func (p *Provisioner) want() {
	if p.configuration == nil {
		return
	}
	next := map[message.OrderID]*order{}
	for _, o := range p.configuration.Orders {
		upstream, ok := p.configuration.Upstream(o.Upstream)
		if !ok || !p.share.Owns(string(o.Upstream)) {
			continue
		}
		id := message.OrderID{Order: o, Address: upstream.Address}
		next[id] = p.known[id]
		if next[id] == nil {
			next[id] = &order{delay: firstDelay}
		}
	}
	p.known = next
}

// tick sends the orders that are due.
func (p *Provisioner) tick(now time.Time) []effect.Effect {
	var effects []effect.Effect
	for _, id := range p.sorted() {
		o := p.known[id]
		if o.confirmed || p.busy[id.Address] {
			continue
		}
		if now.Before(o.nextAt) {
			effects = append(effects, effect.WakeAt{Time: o.nextAt})
			continue
		}
		p.busy[id.Address] = true
		effects = append(effects, effect.Order{OrderID: id})
	}
	if len(effects) > 0 {
		effects = append(effects, effect.Publish{})
	}
	return effects
}

func (p *Provisioner) done(now time.Time, m message.OrderDone) {
	delete(p.busy, m.Address)
	o, ok := p.known[m.OrderID]
	if !ok {
		return
	}
	o.confirmed = m.Err == nil
	o.nextAt = now.Add(o.delay)
	o.delay = min(2*o.delay, maxDelay)
}

// sorted returns the orders in the order of their plans, so that an engine gets
// them as they were confirmed.
func (p *Provisioner) sorted() []message.OrderID {
	ids := make([]message.OrderID, 0, len(p.known))
	for id := range p.known {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b message.OrderID) int {
		return cmp.Or(
			cmp.Compare(a.Order.Epoch, b.Order.Epoch),
			cmp.Compare(a.Order.Upstream, b.Order.Upstream),
			cmp.Compare(a.Order.Kind, b.Order.Kind),
			cmp.Compare(a.Order.Name, b.Order.Name),
		)
	})
	return ids
}
