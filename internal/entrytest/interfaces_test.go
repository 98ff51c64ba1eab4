package entrytest

import (
	"context"
	"net/http"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sassafrasspur/sassafrasspur"
	"github.com/sassafrasspur/sassafrasspur/gen/programs"
	"github.com/sassafrasspur/sassafrasspur/internal/chain"
	"github.com/sassafrasspur/sassafrasspur/internal/client"
	"github.com/sassafrasspur/sassafrasspur/internal/settings"
	"github.com/sassafrasspur/sassafrasspur/internal/timer"
)

const intent = `
[[intent]]
kind = "create_team"
id = "desk"
max_tokens = 1000
max_calls = 10

[[intent]]
kind = "create_class"
id = "chat"
rank = 1
`

// Guards against a process with both interfaces in which one of them is not served,
// keeps the VM from being listed or delays shutdown because of the other one.
func TestBothInterfaces(t *testing.T) {
	g := NewWithT(t)
	d := newDeployment(t, g, 1)
	defer d.close(g)
	s := d.vms[0].settings
	s.VM = "vm-both"
	s.PeerAddress, s.MetricsAddress = anyAddress, anyAddress
	s.Ingress.Requests, s.Ingress.Readiness, s.Ingress.Directory = anyAddress, anyAddress, anyAddress
	s.CallerAddress = netip.MustParseAddrPort("127.0.0.1:0")
	s.Accounts = []settings.Account{{Token: "operator-token-0123", Account: chain.Account{ID: "olive", Team: "desk", Role: chain.Operator}}}
	s.Freshness = settings.Freshness{Configuration: 5 * time.Second, Upstreams: 5 * time.Second, Interval: 200 * time.Millisecond}
	s.Addresses = settings.Addresses{Retention: time.Second, Count: 2}
	s.Limits = settings.Limits{
		BodyBytes: 1 << 20, CallTime: 10 * time.Second, FirstByte: time.Second, BetweenBytes: time.Second,
		QueueWait: time.Second, Drain: 2 * time.Second,
	}
	node, err := sassafrasspur.New(sassafrasspur.WithSettings(s), sassafrasspur.WithLog(d.log))
	g.Expect(err).NotTo(HaveOccurred())
	s = d.bound(g, s)
	ctx, stop := context.WithCancel(context.Background())
	v := &vm{settings: s, stop: stop, done: make(chan error, 1)}
	go func() { v.done <- node.Run(ctx) }()
	d.vms = append(d.vms, v)

	g.Eventually(func() string { return d.resolve(g, d.vms[0]) }, 5*time.Second, 50*time.Millisecond).
		Should(ContainSubstring(s.Ingress.Requests.String()), "the VM must be listed without a configuration")
	answer := d.send(v, http.MethodGet, "/look/x", map[string]string{"X-Attempt-Id": "both"}, "")
	g.Expect(answer).To(HavePrefix("200"))

	timers := timer.New()
	c := client.New([]string{node.CallerAddress()}, "operator-token-0123", timers, client.WithMaxRounds(1))
	plan, err := c.CreatePlan(context.Background(), intent)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = c.ConfirmPlan(context.Background(), plan.Plan)
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(func() error {
		_, err := c.Open(context.Background(), programs.OpenPayload{
			Program: "wedding", Class: "chat", Budget: &programs.Budget{Calls: 2, Tokens: 100, Seconds: 60},
		})
		return err
	}, 5*time.Second, 100*time.Millisecond).Should(Succeed())

	view, err := client.New([]string{s.MetricsAddress.String()}, "", timers, client.WithMaxRounds(1)).View(context.Background())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(view.RoutesVersion).To(BeEquivalentTo(1))
	g.Expect(view.ConfigurationVersion).To(BeEquivalentTo(1))
	g.Expect(view.Members).To(HaveLen(2))
	g.Expect(view.Upstreams).To(Equal(4))
}
