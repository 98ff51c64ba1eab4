package addresser_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/addresser"
	"github.com/sassafrasspur/sassafrasspur/internal/snapshot"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

func member(i int) snapshot.Member {
	vm := fmt.Sprintf("vm%02d", i)
	return snapshot.Member{
		VM: ident.VMID(vm), Address: vm + ":80", Region: ident.Region(fmt.Sprint("r", i%3)), Domain: ident.Domain(fmt.Sprint("d", i%6)),
	}
}

// Guards against duplicate addresses, addresses of VMs that are not members, and
// results that become unusable when a single failure domain fails.
func TestChooseMembers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		present := rapid.SliceOfN(rapid.Bool(), 0, 12).Draw(t, "present")
		request := addresser.Request{Account: ident.AccountID(rapid.String().Draw(t, "account")), Region: "r0", Domain: "d0", Free: map[ident.VMID]unit.Ratio{}}
		members := map[ident.VMID]bool{}
		memberDomains := map[ident.Domain]bool{}
		for i, isMember := range present {
			m := member(i)
			request.Free[m.VM] = unit.Ratio(rapid.Float64Range(-1, 2).Draw(t, "free"))
			if isMember {
				request.Members = append(request.Members, m)
				members[m.VM], memberDomains[m.Domain] = true, true
			}
		}
		chosen := addresser.New().Choose(request)
		g.Expect(chosen).To(HaveLen(min(4, len(members))))
		seen := map[ident.VMID]bool{}
		chosenDomains := map[ident.Domain]bool{}
		for _, a := range chosen {
			g.Expect(members).To(HaveKey(a.VM))
			g.Expect(seen).NotTo(HaveKey(a.VM))
			g.Expect(a.Weight).To(And(BeNumerically(">", 0), BeNumerically("<=", 1)))
			seen[a.VM], chosenDomains[a.Domain] = true, true
		}
		if len(memberDomains) > 1 {
			g.Expect(len(chosenDomains)).To(BeNumerically(">", 1))
		}
	})
}

// Guards against an order that sends all accounts to one VM or ignores capacity:
// the distribution of first addresses must follow the weights.
func TestChooseFollowsWeights(t *testing.T) {
	g := NewWithT(t)
	members := []snapshot.Member{member(0), member(6), member(1)}
	first := map[ident.VMID]int{}
	const accounts = 20000
	for i := range accounts {
		chosen := addresser.New().Choose(addresser.Request{
			Account: ident.AccountID(fmt.Sprint(i)), Now: time.Unix(0, 0), Region: "r0", Domain: "d0", Members: members,
			Free: map[ident.VMID]unit.Ratio{"vm06": 0.5},
		})
		first[chosen[0].VM]++
	}
	g.Expect(float64(first["vm00"]) / accounts).To(BeNumerically("~", 1/1.6, 0.02))
	g.Expect(float64(first["vm06"]) / accounts).To(BeNumerically("~", 0.5/1.6, 0.02))
	g.Expect(float64(first["vm01"]) / accounts).To(BeNumerically("~", 0.1/1.6, 0.02))
}
