package sassafrasspur

import (
	"context"

	"github.com/sassafrasspur/sassafrasspur/internal/configurer"
	"github.com/sassafrasspur/sassafrasspur/internal/discoverer"
	"github.com/sassafrasspur/sassafrasspur/internal/enroller"
	"github.com/sassafrasspur/sassafrasspur/internal/entrylogger"
	"github.com/sassafrasspur/sassafrasspur/internal/executor"
	"github.com/sassafrasspur/sassafrasspur/internal/performer"
	"github.com/sassafrasspur/sassafrasspur/internal/placer"
	"github.com/sassafrasspur/sassafrasspur/internal/provisioner"
	"github.com/sassafrasspur/sassafrasspur/internal/releaser"
	"github.com/sassafrasspur/sassafrasspur/internal/resolver"
	"github.com/sassafrasspur/sassafrasspur/internal/storeworker"
	"github.com/sassafrasspur/sassafrasspur/internal/upstreamprober"
	"github.com/sassafrasspur/sassafrasspur/platform"
)

// startControl starts the control goroutine with all controllers. Messages
// reach them in the order of this list.
func (n *Node) startControl(ctx context.Context) {
	s := n.settings
	work := performer.New(storeworker.New(ctx, n.store, n.timers), n.programs, upstreamprober.New(n.timers),
		n.canceller.Cancel, n.report("work repeated later"))
	n.control = executor.New(
		executor.WithTimers(n.timers),
		executor.WithPerformer(work),
		executor.WithObserver(entrylogger.New(n.log.Zerolog(), n.meter)),
		executor.WithControllers(
			enroller.New(n.self(), listInterval),
			configurer.New(n.report("configuration rejected"), configurer.WithFreshness(s.Freshness.Configuration, s.Freshness.Interval)),
			discoverer.New(platform.UpstreamsTable, platform.DecodeUpstream, n.report("upstream rejected")),
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
			resolver.New(s.VM, n.roster.Runs, n.report("intent rejected")),
			provisioner.New(s.VM),
		),
	)
}
