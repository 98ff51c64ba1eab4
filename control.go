package sassafrasspur

import (
	"context"

	"github.com/google/uuid"

	"github.com/sassafrasspur/sassafrasspur/internal/balancer"
	"github.com/sassafrasspur/sassafrasspur/internal/configurer"
	"github.com/sassafrasspur/sassafrasspur/internal/crashcounter"
	"github.com/sassafrasspur/sassafrasspur/internal/discoverer"
	"github.com/sassafrasspur/sassafrasspur/internal/effectrunner"
	"github.com/sassafrasspur/sassafrasspur/internal/enroller"
	"github.com/sassafrasspur/sassafrasspur/internal/entrylogger"
	"github.com/sassafrasspur/sassafrasspur/internal/executor"
	"github.com/sassafrasspur/sassafrasspur/internal/limitsharer"
	"github.com/sassafrasspur/sassafrasspur/internal/placer"
	"github.com/sassafrasspur/sassafrasspur/internal/poolmonitor"
	"github.com/sassafrasspur/sassafrasspur/internal/provisioner"
	"github.com/sassafrasspur/sassafrasspur/internal/releaser"
	"github.com/sassafrasspur/sassafrasspur/internal/resolver"
	"github.com/sassafrasspur/sassafrasspur/internal/speedreporter"
	"github.com/sassafrasspur/sassafrasspur/internal/storeworker"
	"github.com/sassafrasspur/sassafrasspur/internal/subscriber"
	"github.com/sassafrasspur/sassafrasspur/internal/upstreamprober"
	"github.com/sassafrasspur/sassafrasspur/platform"
)

// startControl starts the control goroutine with the controllers of this VM.
func (n *Node) startControl(ctx context.Context) {
	n.control = executor.New(
		executor.WithTimers(n.timers),
		executor.WithEffectRunner(n.effectRunner(ctx)),
		executor.WithObserver(entrylogger.New(n.log.Zerolog(), n.meter)),
		executor.WithControllers(n.controllers()...),
	)
}

// controllers returns the controllers in the order in which they receive each
// message.
func (n *Node) controllers() []executor.Controller {
	s := n.settings
	var all []executor.Controller
	if n.ingressAPI != nil {
		all = append(all, subscriber.New(platform.RoutesTable, platform.DecodeRoutes, n.errorLogger("routes rejected"),
			subscriber.WithRoutesLimit(s.Ingress.RoutesLimit), subscriber.WithRevocationLimit(s.Ingress.RevocationLimit)))
	}
	if n.programAPI != nil {
		all = append(all, configurer.New(n.errorLogger("configuration rejected"),
			configurer.WithFreshness(s.Freshness.Configuration, s.Freshness.Interval)))
	}
	all = append(all,
		discoverer.New(n.self(), platform.UpstreamsTable, platform.DecodeUpstream, n.errorLogger("upstream rejected"),
			discoverer.WithDrainLimit(s.Ingress.DrainLimit)),
		enroller.New(n.self(), n.memberInterval()),
	)
	if n.ingressAPI != nil {
		location := balancer.Location{VM: s.VM, Domain: s.Domain, Region: s.Region, Regions: s.Regions}
		seed := uint64(uuid.New().ID())
		all = append(all,
			limitsharer.New(seed, n.errorLogger("request limit rejected")),
			crashcounter.New(seed, n.errorLogger("crash of a request rejected")),
			balancer.New(location, seed, balancer.WithReporter(speedreporter.New(n.log.Zerolog(), n.meter))),
			poolmonitor.New(),
		)
	}
	if n.programAPI != nil {
		all = append(all,
			placer.New(
				placer.WithVM(s.VM),
				placer.WithRegion(s.Region),
				placer.WithPolicy(s.Placement.Policy),
				placer.WithSeed(s.Placement.Seed),
				placer.WithReportInterval(s.Freshness.Interval),
				placer.WithViewLimit(s.Freshness.Upstreams),
				placer.WithQueueLimit(s.Limits.QueueWait),
			),
			releaser.New(s.VM),
			resolver.New(s.VM, n.programAPI.liveness.IsRunning, n.errorLogger("intent rejected")),
			provisioner.New(s.VM),
		)
	}
	return all
}

// effectRunner returns the component that executes the effects of the controllers. A
// VM that serves only the ingress API needs no effects beyond those on the store.
func (n *Node) effectRunner(ctx context.Context) executor.EffectRunner {
	options := []storeworker.Option{storeworker.WithKnownVersion(n.versions.Known)}
	if n.peers != nil {
		options = append(options, storeworker.WithPeers(n.peers))
	}
	store := storeworker.New(ctx, n.store, n.timers, options...)
	if n.programAPI == nil {
		return store
	}
	return effectrunner.New(store, n.programAPI.programs, upstreamprober.New(n.timers), n.programAPI.canceller.Cancel,
		n.errorLogger("effect failed; it will be retried"))
}
