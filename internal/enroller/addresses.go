package enroller

import (
	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/snapshot"
)

// enough is the number of members in a caller's own failure domain, or region,
// from which it is sent there alone. A caller excludes addresses that failed it
// and needs another.
const enough = 2

// Addresses returns the addresses of the users' interface for a caller: those in its failure domain if
// there are enough, else those in its region, else all.
func Addresses(members []snapshot.Member, domain ident.Domain, region ident.Region) []string {
	nearby := choose(members, func(m snapshot.Member) bool { return m.Domain == domain })
	if len(nearby) >= enough {
		return nearby
	}
	regional := choose(members, func(m snapshot.Member) bool { return m.Region == region })
	if len(regional) >= enough {
		return regional
	}
	return choose(members, func(snapshot.Member) bool { return true })
}

func choose(members []snapshot.Member, fits func(snapshot.Member) bool) []string {
	var addresses []string
	for _, m := range members {
		if m.RequestAddress != "" && fits(m) {
			addresses = append(addresses, m.RequestAddress)
		}
	}
	return addresses
}
