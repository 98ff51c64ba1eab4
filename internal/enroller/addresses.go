package enroller

import (
	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/snapshot"
)

// minAddresses is the number of members that a failure domain, or a region, needs
// to serve its callers alone. A caller excludes an address that failed and needs
// another one.
const minAddresses = 2

// Addresses returns the request addresses for a caller: those in its failure
// domain if there are at least minAddresses, otherwise those in its region if
// there are at least minAddresses, otherwise all.
func Addresses(members []snapshot.Member, domain ident.Domain, region ident.Region) []string {
	nearby := filterAddresses(members, func(m snapshot.Member) bool { return m.Domain == domain })
	if len(nearby) >= minAddresses {
		return nearby
	}
	regional := filterAddresses(members, func(m snapshot.Member) bool { return m.Region == region })
	if len(regional) >= minAddresses {
		return regional
	}
	return filterAddresses(members, func(snapshot.Member) bool { return true })
}

func filterAddresses(members []snapshot.Member, match func(snapshot.Member) bool) []string {
	var addresses []string
	for _, m := range members {
		if m.RequestAddress != "" && match(m) {
			addresses = append(addresses, m.RequestAddress)
		}
	}
	return addresses
}
