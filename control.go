package sassafrasspur

import (
	"context"
	"slices"

	"github.com/google/uuid"

	"github.com/sassafrasspur/sassafrasspur/internal/cluster"
	"github.com/sassafrasspur/sassafrasspur/internal/committer"
	"github.com/sassafrasspur/sassafrasspur/internal/configurer"
	"github.com/sassafrasspur/sassafrasspur/internal/executor"
	"github.com/sassafrasspur/sassafrasspur/internal/journaler"
	"github.com/sassafrasspur/sassafrasspur/internal/observer"
	"github.com/sassafrasspur/sassafrasspur/internal/peer/news"
	"github.com/sassafrasspur/sassafrasspur/internal/performer"
	"github.com/sassafrasspur/sassafrasspur/internal/placer"
	"github.com/sassafrasspur/sassafrasspur/internal/platform/lister"
	"github.com/sassafrasspur/sassafrasspur/internal/provisioner"
	"github.com/sassafrasspur/sassafrasspur/internal/registrar"
	"github.com/sassafrasspur/sassafrasspur/internal/releaser"
	"github.com/sassafrasspur/sassafrasspur/internal/resolver"
	"github.com/sassafrasspur/sassafrasspur/internal/sequencer"
	"github.com/sassafrasspur/sassafrasspur/internal/upstreamprober"
)

// startControl starts the control goroutine with all controllers. Messages
// reach them in the order of this list.
func (n *Node) startControl(self cluster.Node) {
	s := n.settings
	process := uuid.NewString()
	list := lister.New(lister.WithEndpoint(s.Platform.ListURL), lister.WithTimeout(s.Platform.Timeout),
		lister.WithObserver(n.observePlatform))
	work := performer.New(
		performer.WithPlatform(journaler.New(n.table, n.objects, n.timers), n.table, list),
		performer.WithProber(upstreamprober.New(n.timers)),
		performer.WithGossiper(n.dialer, n.news),
		performer.WithCancel(n.canceller.Cancel),
		performer.WithTimers(n.timers),
	)
	n.control = executor.New(
		executor.WithTimers(n.timers),
		executor.WithPerformer(work),
		executor.WithObserver(observer.New(n.meter, n.log)),
		executor.WithControllers(
			committer.New(
				committer.WithProcess(process),
				committer.WithLease(s.Cluster.Lease, s.Cluster.Renewal),
				committer.WithSpacing(s.Cluster.BatchSpacing),
			),
			registrar.New(self,
				registrar.WithProcess(process),
				registrar.WithShards(s.Cluster.Shards),
				registrar.WithLease(s.Cluster.Lease, s.Cluster.Margin),
				registrar.WithInterval(s.Cluster.ReadInterval),
			),
			configurer.New(s.VM, configurer.WithFreshness(s.Freshness.Configuration, s.Freshness.Interval)),
			sequencer.New(sequencer.WithShards(s.Cluster.Shards)),
			placer.New(
				placer.WithVM(s.VM),
				placer.WithRegion(s.Region),
				placer.WithPolicy(s.Placement.Policy),
				placer.WithSeed(s.Placement.Seed),
				placer.WithReportInterval(s.Freshness.Interval),
				placer.WithViewLimit(s.Freshness.Upstreams),
				placer.WithQueueLimit(s.Limits.QueueWait),
			),
			releaser.New(),
			resolver.New(),
			provisioner.New(provisioner.WithShards(s.Cluster.Shards)),
		),
	)
}

// news returns what the node tells its peers.
func (n *Node) news() news.News {
	return news.From(n.settings.VM, n.control.Snapshot(), n.timers.Now())
}

// answerGossip takes the news of a peer in and answers with the node's own.
func (n *Node) answerGossip(_ context.Context, heard news.News) news.News {
	n.control.Post(heard.Received(n.timers.Now()))
	view := n.control.Snapshot()
	return news.Answer(heard, news.From(n.settings.VM, view, n.timers.Now()), view)
}

// drained reports whether the node owns nothing any more, or no live node is
// left that could take over what it owns.
func (n *Node) drained() bool {
	view := n.control.Snapshot()
	if len(view.Assignment.OwnedBy(view.Self.VM, view.Self.Incarnation)) == 0 {
		return true
	}
	return !slices.ContainsFunc(view.Nodes, func(other cluster.Node) bool { return other.State == cluster.Live })
}

// await waits until a condition on the snapshot holds or the context ends.
func (n *Node) await(ctx context.Context, condition func() bool) {
	for {
		changed := n.control.Changed()
		if condition() {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}
