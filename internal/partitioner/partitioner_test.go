package partitioner_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/message"
	"github.com/sassafrasspur/sassafrasspur/internal/partitioner"
)

// Guards against keys with no owner or two owners, an uneven distribution, and
// keys that move although their owner is still a member.
func TestOwnership(t *testing.T) {
	g := NewWithT(t)
	vms := []ident.VMID{"a", "b", "c", "d"}
	const keys = 4000
	owners := func(members []ident.VMID) map[string]ident.VMID {
		ownerOf := map[string]ident.VMID{}
		for _, vm := range members {
			p := partitioner.New(vm)
			g.Expect(p.Owns("k")).To(BeFalse(), "no key is owned before the first list of members")
			p.Update(message.MembersListed{VMs: members})
			for i := range keys {
				if key := fmt.Sprint(i); p.Owns(key) {
					g.Expect(ownerOf).NotTo(HaveKey(key))
					ownerOf[key] = vm
				}
			}
		}
		g.Expect(ownerOf).To(HaveLen(keys))
		return ownerOf
	}
	before, after := owners(vms), owners(vms[:3])
	counts := map[ident.VMID]int{}
	for key, vm := range before {
		counts[vm]++
		if vm != "d" {
			g.Expect(after[key]).To(Equal(vm))
		}
	}
	for _, vm := range vms {
		g.Expect(counts[vm]).To(BeNumerically("~", keys/len(vms), keys/20))
	}
}
