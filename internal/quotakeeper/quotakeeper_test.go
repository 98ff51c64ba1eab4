package quotakeeper_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/goldentest"
	"github.com/sassafrasspur/sassafrasspur/internal/quotaassigner"
	"github.com/sassafrasspur/sassafrasspur/internal/quotakeeper"
	"github.com/sassafrasspur/sassafrasspur/internal/snapshot"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

var limits = quotakeeper.Limits{Window: 5 * time.Second, Overage: 0.1, Slack: 20}

// member returns a serving member in a region.
func member(vm, region string) snapshot.Member {
	return snapshot.Member{VM: ident.VMID(vm), Region: ident.Region(region), RequestAddress: vm, PeerAddress: vm, Ready: true}
}

// assign returns the assigner of a list such as a@west,b@east.
func assign(list string) *quotaassigner.Assigner {
	var members []snapshot.Member
	for entry := range strings.SplitSeq(list, ",") {
		vm, region, _ := strings.Cut(entry, "@")
		members = append(members, member(vm, region))
	}
	return quotaassigner.New(members)
}

// scenario applies the lines of a golden table to the keeper of VM "a".
type scenario struct {
	keeper *quotakeeper.Keeper
	start  time.Time
}

// decide applies a line: list=VM@REGION,... sets the list of VMs with an age (after a
// restart, if the line has "restarted"), and further=N
// or first=N request tokens. The line repeats the same request until it is refused if it
// has "drain". A line with parts=N begins a new scenario.
func (s *scenario) decide(line string) string {
	f := goldentest.Parse(line)
	if f.Has("parts") {
		s.keeper = quotakeeper.New("a", f.Int("parts"), limits)
		return "started"
	}
	now := s.start.Add(f.Duration("at"))
	if f.Has("list") {
		s.keeper.UpdateList(now, now.Add(-f.Duration("age")), assign(f["list"]), f.Has("restarted"))
		return "list set"
	}
	r := quotakeeper.Request{
		Account: "kantor", Part: "west", Rate: unit.Rate(f.Float("rate")), Burst: f.Int("burst"), Version: ident.Version(f.Int("version")),
		First: f.Int("first"), Further: f.Int("further"), Spare: f.Int("spare"), Unused: f.Int("unused"),
	}
	answer := s.keeper.Take(now, r)
	granted := 0
	// A bucket that never runs out is drained up to a limit.
	for g, ok := answer.(quotakeeper.Granted); f.Has("drain") && granted < 100 && ok && g.First+g.Further > 0; g, ok = answer.(quotakeeper.Granted) {
		granted += g.First + g.Further
		answer = s.keeper.Take(now, r)
	}
	return fmt.Sprintf("drained=%d %s", granted, describe(answer))
}

func describe(a quotakeeper.Answer) string {
	switch a := a.(type) {
	case quotakeeper.Granted:
		return fmt.Sprintf("granted first=%d further=%d spare=%d first_retry=%s further_retry=%s list_age=%s", a.First, a.Further, a.Spare,
			a.FirstRetry.Round(time.Millisecond), a.FurtherRetry.Round(time.Millisecond), a.ListAge)
	case quotakeeper.Unavailable:
		return fmt.Sprintf("unavailable %s retry=%s list_age=%s", a.Reason, a.Retry, a.ListAge)
	}
	return "unknown answer"
}

// Guards against wrong decisions: tokens of a VM that is not the keeper, tokens of two
// keepers at a time, a bucket that is full after a handover, new programs that take the
// tokens of programs under way, and a lower limit that does not bind.
func TestKeeper(t *testing.T) {
	s := &scenario{start: time.Unix(1000, 0)}
	NewWithT(t).Expect(goldentest.Check("testdata/*.txtar", s.decide)).To(Succeed())
}
