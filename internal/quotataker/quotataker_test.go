package quotataker_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/juju/errors"
	. "github.com/onsi/gomega"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/clientaccount"
	"github.com/sassafrasspur/sassafrasspur/internal/goldentest"
	"github.com/sassafrasspur/sassafrasspur/internal/quotakeeper"
	"github.com/sassafrasspur/sassafrasspur/internal/quotataker"
	"github.com/sassafrasspur/sassafrasspur/internal/snapshot"
	"github.com/sassafrasspur/sassafrasspur/internal/timer"
)

// keepers answers for the VMs "east", "north" and "west", each of which keeps the part of
// its region. The VM under test is "east".
type keepers struct {
	mu sync.Mutex
	// answers has the behaviour of each VM: grant, grant:SPARE, refuse:RETRY, listed or
	// silent.
	answers map[string]string
	asked   []string
	// hold delays answers until it is closed, if it is not nil.
	hold chan struct{}
}

func (k *keepers) TakeQuota(_ context.Context, address string, r quotakeeper.Request) (quotakeeper.Answer, error) {
	k.mu.Lock()
	k.asked = append(k.asked, fmt.Sprintf("%s(first=%d further=%d spare=%d unused=%d)", address, r.First, r.Further, r.Spare, r.Unused))
	kind, value, _ := strings.Cut(k.answers[address], ":")
	hold := k.hold
	k.mu.Unlock()
	if hold != nil {
		<-hold
	}
	switch kind {
	case "silent":
		return nil, errors.New("no answer")
	case "listed":
		return quotakeeper.Unavailable{Reason: quotakeeper.NotKeeper}, nil
	case "refuse":
		retry, err := time.ParseDuration(value)
		return quotakeeper.Granted{FirstRetry: retry, FurtherRetry: retry}, err
	}
	g := quotakeeper.Granted{First: r.First, Further: r.Further}
	if value != "" {
		_, err := fmt.Sscan(value, &g.Spare)
		return g, err
	}
	return g, nil
}

func (k *keepers) Take(r quotakeeper.Request) quotakeeper.Answer {
	answer, err := k.TakeQuota(context.Background(), "east", r)
	if err != nil {
		return quotakeeper.Unavailable{Reason: quotakeeper.ListTooOld}
	}
	return answer
}

func (k *keepers) set(answers string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for entry := range strings.SplitSeq(answers, ",") {
		vm, answer, _ := strings.Cut(entry, "=")
		k.answers[vm] = answer
	}
}

// takeAsked returns the requests to keepers since the last call.
func (k *keepers) takeAsked() string {
	k.mu.Lock()
	defer k.mu.Unlock()
	asked := strings.Join(k.asked, " ")
	k.asked = nil
	return asked
}

func members(vms ...string) []snapshot.Member {
	var all []snapshot.Member
	for _, vm := range vms {
		all = append(all, snapshot.Member{VM: ident.VMID(vm), Region: ident.Region(vm), RequestAddress: vm, PeerAddress: vm})
	}
	return all
}

// session is a taker with its keepers and clock.
type session struct {
	clock   *timer.Manual
	keepers *keepers
	taker   *quotataker.Taker
	members []snapshot.Member
	last    *quotataker.Ticket
}

func newSession() *session {
	s := &session{clock: timer.NewManual(time.Unix(1000, 0)), keepers: &keepers{answers: map[string]string{}}, members: members("east", "north", "west")}
	parts := quotataker.Order([]ident.Region{"east", "north", "west"}, "east")
	s.taker = quotataker.New("east", parts, 250*time.Millisecond, s.keepers, s.keepers, timer.New(timer.WithManual(s.clock)),
		func() []snapshot.Member { return s.members })
	return s
}

var account = &clientaccount.Account{ID: "kantor", Quota: clientaccount.Quota{Rate: 10, Burst: 5}}

// decide applies a line: the first word is keepers (sets answers), wait (advances the
// clock), lose (removes a VM from the list), take, or cancel (returns the last token).
func (s *session) decide(line string) string {
	verb, rest, _ := strings.Cut(line, " ")
	f := goldentest.Parse(rest)
	switch verb {
	case "keepers":
		s.keepers.set(rest)
		return "set"
	case "wait":
		s.clock.Advance(f.Duration("for"))
		return "waited"
	case "lose":
		s.members = members("east", "west")
		return "lost"
	case "cancel":
		s.last.Cancel()
		return "canceled"
	}
	class := quotataker.Further
	if f.Has("first") {
		class = quotataker.First
	}
	of := account
	if f.Has("account") {
		of = &clientaccount.Account{ID: ident.AccountID(f["account"]), Quota: account.Quota}
	}
	s.last = s.taker.Take(of, 1, class)
	outcome := "granted"
	for f.Has("hold") && !s.last.Granted() {
		time.Sleep(time.Millisecond)
	}
	if !f.Has("hold") {
		used, refusal, err := s.last.Use(context.Background())
		switch {
		case err != nil:
			outcome = err.Error()
		case refusal != nil && refusal.Unavailable:
			outcome = fmt.Sprintf("unavailable reason=%s part=%s keeper=%s", refusal.Reason, refusal.Part, refusal.Keeper)
		case refusal != nil:
			outcome = fmt.Sprintf("refused retry=%s part=%s keeper=%s", refusal.RetryAfter, refusal.Part, refusal.Keeper)
		case !used:
			outcome = "expired"
		}
	}
	return strings.TrimSpace(outcome + " asked " + s.keepers.takeAsked())
}

// Guards against a call for each request of an account beyond its quota, tokens that are
// used after their lifetime, keepers that are asked although they do not answer, and a
// request that is refused as beyond its quota because no keeper answers.
func TestTaker(t *testing.T) {
	s := newSession()
	NewWithT(t).Expect(goldentest.Check("testdata/*.txtar", s.decide)).To(Succeed())
}

// Guards against one call for each of many requests that arrive together, and against
// tokens of requests that left meanwhile, which others can use.
func TestTogether(t *testing.T) {
	g := NewWithT(t)
	s := newSession()
	s.keepers.hold = make(chan struct{})
	var tickets []*quotataker.Ticket
	for range 20 {
		tickets = append(tickets, s.taker.Take(account, 1, quotataker.Further))
	}
	tickets[7].Cancel()
	tickets[8].Cancel()
	close(s.keepers.hold)
	for i, ticket := range tickets {
		if i != 7 && i != 8 {
			used, refusal, err := ticket.Use(context.Background())
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(refusal).To(BeNil())
			g.Expect(used).To(BeTrue())
		}
	}
	s.keepers.mu.Lock()
	defer s.keepers.mu.Unlock()
	g.Expect(len(s.keepers.asked)).To(BeNumerically("<=", 4))
}

// Guards against a refusal that nobody tells a request which prepares meanwhile.
func TestOnRefused(t *testing.T) {
	g := NewWithT(t)
	s := newSession()
	s.keepers.set("east=refuse:1s,north=refuse:2s,west=refuse:3s")
	s.keepers.hold = make(chan struct{})
	ticket := s.taker.Take(account, 1, quotataker.First)
	told := make(chan struct{})
	ticket.OnRefused(func() { close(told) })
	g.Consistently(told, 20*time.Millisecond).ShouldNot(BeClosed())
	close(s.keepers.hold)
	g.Eventually(told).Should(BeClosed())
}

// BenchmarkTake measures a request whose tokens this VM keeps itself.
func BenchmarkTake(b *testing.B) {
	clock := timer.NewManual(time.Unix(1000, 0))
	list := members("east")
	taker := quotataker.New("east", []ident.Region{"east"}, 250*time.Millisecond, granting{}, nil, timer.New(timer.WithManual(clock)),
		func() []snapshot.Member { return list })
	b.ReportAllocs()
	for b.Loop() {
		if used, _, _ := taker.Take(account, 1, quotataker.Further).Use(context.Background()); !used {
			b.Fatal("no token")
		}
	}
}

// granting grants all tokens and eight more.
type granting struct{}

func (granting) Take(r quotakeeper.Request) quotakeeper.Answer {
	return quotakeeper.Granted{First: r.First, Further: r.Further, Spare: r.Spare}
}
