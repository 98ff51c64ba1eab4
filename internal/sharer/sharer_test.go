package sharer_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/message"
	"github.com/sassafrasspur/sassafrasspur/internal/sharer"
)

// Guards against work that no VM does or two do, shares of different sizes, and
// keys that move although their VM has stayed.
func TestShares(t *testing.T) {
	g := NewWithT(t)
	vms := []ident.VMID{"a", "b", "c", "d"}
	const keys = 4000
	owners := func(members []ident.VMID) map[string]ident.VMID {
		found := map[string]ident.VMID{}
		for _, vm := range members {
			s := sharer.New(vm)
			g.Expect(s.Owns("k")).To(BeFalse(), "nothing is owned before the first list")
			s.Update(message.MembersListed{VMs: members})
			for i := range keys {
				if key := fmt.Sprint(i); s.Owns(key) {
					g.Expect(found).NotTo(HaveKey(key))
					found[key] = vm
				}
			}
		}
		g.Expect(found).To(HaveLen(keys))
		return found
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
