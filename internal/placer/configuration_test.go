package placer_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/configuration"
	"github.com/sassafrasspur/sassafrasspur/internal/effect"
	"github.com/sassafrasspur/sassafrasspur/internal/failure"
	"github.com/sassafrasspur/sassafrasspur/internal/message"
	"github.com/sassafrasspur/sassafrasspur/internal/outcome"
	"github.com/sassafrasspur/sassafrasspur/internal/placer"
	"github.com/sassafrasspur/sassafrasspur/internal/snapshot"
	"github.com/sassafrasspur/sassafrasspur/internal/upstream"
)

var _ = Describe("A new configuration", func() {
	It("guards against grants of a process that has not reported yet and of a removed upstream", func() {
		p := placer.New()
		now := time.Unix(1_000_000, 0)
		handle := func(m message.Message) outcome.Outcome {
			now = now.Add(time.Millisecond)
			for _, e := range p.Handle(now, m) {
				if answer, ok := e.(effect.Answer); ok {
					return answer.Outcome
				}
			}
			return nil
		}
		configure := func(version ident.Version, upstreams ...configuration.Upstream) outcome.Outcome {
			return handle(message.ConfigurationRead{Configuration: &configuration.Configuration{
				Version: version, Upstreams: upstreams, Pools: []configuration.Pool{{ID: "p", Kind: configuration.ServicePool}},
			}})
		}
		observe := func(address string) outcome.Outcome {
			handle(message.UpstreamsRead{AsOf: now, Upstreams: []upstream.Upstream{{Address: address}}})
			return handle(message.UpstreamReported{Upstream: "u", StartedAt: now})
		}
		request := func(ticket ident.Ticket) outcome.Outcome {
			return handle(message.GrantRequested{Ticket: ticket, Pool: "p", Team: "t"})
		}
		refusalKind := func(o outcome.Outcome) failure.Kind { return o.(outcome.Refused).Err.Kind }

		Expect(refusalKind(request(1))).To(Equal(failure.ConfigurationStale))
		u := configuration.Upstream{ID: "u", Pool: "p", Team: "t", Slots: 4, Address: "127.0.0.1:1"}
		Expect(configure(1, u)).To(BeNil())
		Expect(observe(u.Address)).To(BeNil())
		granted := request(2).(outcome.Granted)

		old := now
		u.Address = "127.0.0.1:2"
		Expect(configure(2, u)).To(BeNil())
		Expect(request(3)).To(BeNil(), "the process at the new address has not reported yet")
		handle(message.UpstreamsRead{AsOf: now, Upstreams: []upstream.Upstream{{Address: u.Address}}})
		Expect(handle(message.UpstreamReported{Upstream: "u", StartedAt: old})).To(BeNil(), "the report is from the previous process")
		Expect(observe(u.Address)).To(BeAssignableToTypeOf(outcome.Granted{}))

		Expect(configure(1, configuration.Upstream{})).To(BeNil())
		Expect(request(4)).To(BeAssignableToTypeOf(outcome.Granted{}), "an earlier version must be ignored")
		Expect(configure(3)).To(BeNil())
		Expect(refusalKind(request(5))).To(Equal(failure.NoUpstream))
		Expect(handle(message.GrantReturned{Grant: granted.Grant, Upstream: "u"})).To(BeNil())
		Expect(configure(4, u)).To(BeNil())
		var s snapshot.Snapshot
		p.Describe(&s)
		Expect(s.UpstreamLoads).To(HaveLen(1))
		Expect(s.UpstreamLoads[0].InFlight).To(Equal(2), "calls granted before the removal still run")
	})
})
