// Package addresser chooses the entry VMs that a caller is told to use.
//
// The order is random but derived from the account and the retention period:
// the answer of every node to one account is the same within a period, and
// different accounts start at different addresses.
package addresser

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/snapshot"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

// Addresser chooses addresses.
type Addresser struct {
	retention   time.Duration
	count       int
	otherDomain unit.Ratio
	otherRegion unit.Ratio
}

// Option changes how New builds an Addresser.
type Option func(*Addresser)

// WithRetention sets how long a caller may cache the addresses. A node that
// leaves accepts requests for at least this time.
func WithRetention(d time.Duration) Option {
	return func(a *Addresser) { a.retention = d }
}

// WithCount sets the largest number of addresses in an answer.
func WithCount(n int) Option {
	return func(a *Addresser) { a.count = n }
}

// WithDistance sets the weights of nodes in another failure domain of the same
// region and in another region, relative to 1 for the same failure domain.
func WithDistance(otherDomain, otherRegion unit.Ratio) Option {
	return func(a *Addresser) { a.otherDomain, a.otherRegion = otherDomain, otherRegion }
}

// New returns an Addresser.
func New(options ...Option) *Addresser {
	a := &Addresser{
		retention: time.Minute,
		count:     4,
		// Delay between failure domains is very short, and about ten times
		// longer between regions.
		otherDomain: 0.9,
		otherRegion: 0.1,
	}
	for _, option := range options {
		option(a)
	}
	return a
}

// Retention returns how long a caller may cache the addresses.
func (a *Addresser) Retention() time.Duration { return a.retention }

// View is what the choice depends on.
type View struct {
	Account ident.AccountID
	Now     time.Time
	// Region and Domain are the place from which distance is counted.
	Region ident.Region
	Domain ident.Domain
	// Members are the VMs that serve callers.
	Members []snapshot.Member
	// Free is the free part of each node's capacity. A node that is not listed
	// counts as free.
	Free map[ident.VMID]unit.Ratio
}

// Address is one address of an answer.
type Address struct {
	VM      ident.VMID
	Address string
	Region  ident.Region
	Domain  ident.Domain
	// Weight is the share of accounts that get the address first.
	Weight unit.Ratio
}

// minimumFree keeps a loaded node in the order, behind the others: the load
// that was reported may be old.
const minimumFree = 0.01

type candidate struct {
	Address
	rank float64
}

// Choose returns the addresses of live nodes, best first. If all of them would
// be in one failure domain and another one has a live node, the last address is
// of another domain, so that the loss of a domain leaves the caller an address.
func (a *Addresser) Choose(view View) []Address {
	var all []candidate
	var total unit.Ratio
	for _, m := range view.Members {
		weight := a.weight(view, m)
		total += weight
		all = append(all, candidate{
			Address: Address{VM: m.VM, Address: m.Address, Region: m.Region, Domain: m.Domain, Weight: weight},
			rank:    a.rank(view, m.VM, weight),
		})
	}
	slices.SortFunc(all, func(x, y candidate) int {
		return cmp.Or(cmp.Compare(x.rank, y.rank), cmp.Compare(x.VM, y.VM))
	})
	chosen := all[:min(a.count, len(all))]
	if len(chosen) > 1 {
		other := func(c candidate) bool { return c.Domain != chosen[0].Domain }
		if !slices.ContainsFunc(chosen, other) {
			if i := slices.IndexFunc(all, other); i >= 0 {
				chosen[len(chosen)-1] = all[i]
			}
		}
	}
	addresses := make([]Address, 0, len(chosen))
	for _, c := range chosen {
		c.Weight /= total
		addresses = append(addresses, c.Address)
	}
	return addresses
}

func (a *Addresser) weight(view View, m snapshot.Member) unit.Ratio {
	free, ok := view.Free[m.VM]
	if !ok {
		free = 1
	}
	free = min(max(free, minimumFree), 1)
	switch {
	case m.Region != view.Region:
		return free * a.otherRegion
	case m.Domain != view.Domain:
		return free * a.otherDomain
	default:
		return free
	}
}

// rank draws an exponential variate with the weight as its rate. Sorting by it
// gives a weighted random order without replacement.
func (a *Addresser) rank(view View, vm ident.VMID, weight unit.Ratio) float64 {
	period := int64(0)
	if a.retention > 0 {
		period = view.Now.UnixNano() / int64(a.retention)
	}
	hash := xxhash.Sum64String(fmt.Sprintf("%s\x00%s\x00%d", view.Account, vm, period))
	uniform := (float64(hash>>11) + 0.5) / (1 << 53)
	return -math.Log(uniform) / float64(weight)
}
