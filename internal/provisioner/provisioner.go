// Package provisioner sends the orders of the configuration to engines.
//
// Orders are the desired state of engines: models, adapters and roles. An order
// is repeated until its engine confirms it. Orders to an upstream are sent by the
// VM whose partition contains the upstream. A VM that takes over an upstream sends
// its orders again, which is harmless because orders are idempotent. The fencing
// token of an order is the version of the configuration that introduced it, which
// increases with each confirmed plan.
package provisioner

import (
	"cmp"
	"slices"
	"time"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/configuration"
	"github.com/sassafrasspur/sassafrasspur/internal/effect"
	"github.com/sassafrasspur/sassafrasspur/internal/message"
	"github.com/sassafrasspur/sassafrasspur/internal/partitioner"
	"github.com/sassafrasspur/sassafrasspur/internal/snapshot"
)

const (
	// initialRetryDelay is the delay before the first retry of an order. The delay
	// doubles with each failure.
	initialRetryDelay = 500 * time.Millisecond
	// maxRetryDelay limits the delay between two attempts of an order.
	maxRetryDelay = 10 * time.Second
)

// Provisioner is the controller of orders to engines.
type Provisioner struct {
	configuration *configuration.Configuration
	partition     partitioner.Partitioner
	// orders holds the orders to the upstreams in this VM's partition.
	orders map[message.OrderID]*progress
	// inFlight holds the addresses to which an order is in flight. Each address
	// gets one order at a time, so that a role that a later plan replaced can't
	// arrive after the later role.
	inFlight map[string]bool
}

// progress is the state of one order at one address.
type progress struct {
	delay     time.Duration
	nextAt    time.Time
	confirmed bool
}

// New returns the provisioner of a VM.
func New(self ident.VMID) *Provisioner {
	p := &Provisioner{
		partition: partitioner.New(self),
		orders:    map[message.OrderID]*progress{},
		inFlight:  map[string]bool{},
	}
	return p
}

// Handle processes a message of the control loop.
func (p *Provisioner) Handle(now time.Time, m message.Message) []effect.Effect {
	switch m := m.(type) {
	case message.ConfigurationRead:
		p.setConfiguration(m.Configuration)
	case message.MembersListed:
		p.partition.Update(m)
		p.updateOrders()
	case message.OrderDone:
		p.recordResult(now, m)
		return append(p.sendDue(now), effect.Publish{})
	case message.Tick:
	default:
		return nil
	}
	return p.sendDue(now)
}

// Describe adds the orders that engines have not confirmed yet to a snapshot.
func (p *Provisioner) Describe(s *snapshot.Snapshot) {
	for _, id := range p.sortedIDs() {
		if !p.orders[id].confirmed {
			s.OpenOrders = append(s.OpenOrders, id.Order)
		}
	}
}

func (p *Provisioner) setConfiguration(next *configuration.Configuration) {
	if next != nil && (p.configuration == nil || next.Version > p.configuration.Version) {
		p.configuration = next
		p.updateOrders()
	}
}

// updateOrders adopts the orders to the upstreams in this VM's partition and drops
// all others. An upstream with a new address is a new process, which gets all
// orders again.
func (p *Provisioner) updateOrders() {
	if p.configuration == nil {
		return
	}
	next := map[message.OrderID]*progress{}
	for _, o := range p.configuration.Orders {
		upstream, ok := p.configuration.Upstream(o.Upstream)
		if !ok || !p.partition.Owns(string(o.Upstream)) {
			continue
		}
		id := message.OrderID{Order: o, Address: upstream.Address}
		next[id] = p.orders[id]
		if next[id] == nil {
			next[id] = &progress{delay: initialRetryDelay}
		}
	}
	p.orders = next
}

// sendDue sends the orders that are due.
func (p *Provisioner) sendDue(now time.Time) []effect.Effect {
	var effects []effect.Effect
	for _, id := range p.sortedIDs() {
		o := p.orders[id]
		if o.confirmed || p.inFlight[id.Address] {
			continue
		}
		if now.Before(o.nextAt) {
			effects = append(effects, effect.WakeAt{Time: o.nextAt})
			continue
		}
		p.inFlight[id.Address] = true
		effects = append(effects, effect.Order{OrderID: id})
	}
	if len(effects) > 0 {
		effects = append(effects, effect.Publish{})
	}
	return effects
}

func (p *Provisioner) recordResult(now time.Time, m message.OrderDone) {
	delete(p.inFlight, m.Address)
	o, ok := p.orders[m.OrderID]
	if !ok {
		return
	}
	o.confirmed = m.Err == nil
	o.nextAt = now.Add(o.delay)
	o.delay = min(2*o.delay, maxRetryDelay)
}

// sortedIDs returns the ids of the orders sorted by epoch, so that an engine gets
// its orders in the sequence in which their plans were confirmed.
func (p *Provisioner) sortedIDs() []message.OrderID {
	ids := make([]message.OrderID, 0, len(p.orders))
	for id := range p.orders {
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
