// Package addresser selects the entry VMs whose addresses a caller gets.
//
// The order is pseudo-random and derived from the account and the retention
// period: within a period all VMs return the same order for an account, while the
// first address varies between accounts.
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

// Addresser selects addresses.
type Addresser struct {
	retention   time.Duration
	count       int
	otherDomain unit.Ratio
	otherRegion unit.Ratio
}

// Option configures an Addresser.
type Option func(*Addresser)

// WithRetention sets how long a caller may cache the addresses. A VM that leaves
// accepts requests for at least this time.
func WithRetention(d time.Duration) Option {
	return func(a *Addresser) { a.retention = d }
}

// WithCount sets the maximum number of addresses returned.
func WithCount(n int) Option {
	return func(a *Addresser) { a.count = n }
}

// WithDistance sets the weights of VMs in another failure domain of the same
// region and in another region, relative to 1 for the same failure domain.
func WithDistance(otherDomain, otherRegion unit.Ratio) Option {
	return func(a *Addresser) { a.otherDomain, a.otherRegion = otherDomain, otherRegion }
}

// New returns an Addresser with the given options.
func New(options ...Option) *Addresser {
	a := &Addresser{
		retention: time.Minute,
		count:     4,
		// Latency between failure domains of a region is very low, and about ten
		// times higher between regions.
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

// Request is the input of Choose.
type Request struct {
	Account ident.AccountID
	Now     time.Time
	// Region and Domain are the location from which distance is measured.
	Region ident.Region
	Domain ident.Domain
	// Members are the VMs that serve callers.
	Members []snapshot.Member
	// Free is the free fraction of each VM's capacity. A VM without an entry counts
	// as fully free.
	Free map[ident.VMID]unit.Ratio
}

// Address is a selected address.
type Address struct {
	VM      ident.VMID
	Address string
	Region  ident.Region
	Domain  ident.Domain
	// Weight is the fraction of accounts that get this address first.
	Weight unit.Ratio
}

// minFree keeps fully loaded VMs in the order, behind the others, because the
// reported load may be out of date.
const minFree = 0.01

type candidate struct {
	Address
	sortKey float64
}

// Choose returns the addresses of members, the best first. If all of them would be
// in one failure domain although another one has members, the last address is
// replaced by one of another domain, so that the caller keeps an address if a
// domain fails.
func (a *Addresser) Choose(request Request) []Address {
	var candidates []candidate
	var total unit.Ratio
	for _, m := range request.Members {
		weight := a.weight(request, m)
		total += weight
		candidates = append(candidates, candidate{
			Address: Address{VM: m.VM, Address: m.Address, Region: m.Region, Domain: m.Domain, Weight: weight},
			sortKey: a.sortKey(request, m.VM, weight),
		})
	}
	slices.SortFunc(candidates, func(x, y candidate) int {
		return cmp.Or(cmp.Compare(x.sortKey, y.sortKey), cmp.Compare(x.VM, y.VM))
	})
	chosen := candidates[:min(a.count, len(candidates))]
	if len(chosen) > 1 {
		other := func(c candidate) bool { return c.Domain != chosen[0].Domain }
		if !slices.ContainsFunc(chosen, other) {
			if i := slices.IndexFunc(candidates, other); i >= 0 {
				chosen[len(chosen)-1] = candidates[i]
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

func (a *Addresser) weight(request Request, m snapshot.Member) unit.Ratio {
	free, ok := request.Free[m.VM]
	if !ok {
		free = 1
	}
	free = min(max(free, minFree), 1)
	switch {
	case m.Region != request.Region:
		return free * a.otherRegion
	case m.Domain != request.Domain:
		return free * a.otherDomain
	default:
		return free
	}
}

// sortKey returns an exponential variate with the weight as its rate. Sorting by
// it yields a weighted random order without replacement.
func (a *Addresser) sortKey(request Request, vm ident.VMID, weight unit.Ratio) float64 {
	period := int64(0)
	if a.retention > 0 {
		period = request.Now.UnixNano() / int64(a.retention)
	}
	hash := xxhash.Sum64String(fmt.Sprintf("%s\x00%s\x00%d", request.Account, vm, period))
	uniform := (float64(hash>>11) + 0.5) / (1 << 53)
	return -math.Log(uniform) / float64(weight)
}
