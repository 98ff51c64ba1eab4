package sassafrasspur

import (
	"github.com/sassafrasspur/sassafrasspur/internal/filter/drainer"
	"github.com/sassafrasspur/sassafrasspur/internal/filter/forwarder"
	"github.com/sassafrasspur/sassafrasspur/internal/filter/pathfinder"
	"github.com/sassafrasspur/sassafrasspur/internal/filter/reporter"
	"github.com/sassafrasspur/sassafrasspur/internal/filter/turnrecorder"
	"github.com/sassafrasspur/sassafrasspur/internal/granter"
	"github.com/sassafrasspur/sassafrasspur/internal/ledger"
	"github.com/sassafrasspur/sassafrasspur/internal/rows"
	"github.com/sassafrasspur/sassafrasspur/internal/snapshot"
	"github.com/sassafrasspur/sassafrasspur/internal/traffic"
	"github.com/sassafrasspur/sassafrasspur/internal/upstream"
	"github.com/sassafrasspur/sassafrasspur/platform"
)

// entryChain sets down the order in which every request passes the filters.
func (e *Entry) entryChain(store rows.Store) traffic.Handler {
	var replicas upstream.Caller = platform.NewReplicas(e.links)
	members := func() []snapshot.Member { return e.view().Members }
	return traffic.Chain(
		reporter.New(e.log, e.meter, e.timers),
		pathfinder.New(e.control.Snapshot),
		drainer.New(e.control.Snapshot, max(0, e.finishBy()-usualTime), e.finishBy()),
		turnrecorder.New(e.settings.Domain,
			granter.New(e.settings.VM, e.budgets, e.peers, members), ledger.New(store, e.timers), e.timers),
		forwarder.New(e.control, replicas, e.timers),
	)
}
