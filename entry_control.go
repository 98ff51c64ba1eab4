package sassafrasspur

import (
	"context"

	"github.com/google/uuid"

	"github.com/sassafrasspur/sassafrasspur/internal/balancer"
	"github.com/sassafrasspur/sassafrasspur/internal/discoverer"
	"github.com/sassafrasspur/sassafrasspur/internal/enroller"
	"github.com/sassafrasspur/sassafrasspur/internal/entrylogger"
	"github.com/sassafrasspur/sassafrasspur/internal/executor"
	"github.com/sassafrasspur/sassafrasspur/internal/rows"
	"github.com/sassafrasspur/sassafrasspur/internal/storeworker"
	"github.com/sassafrasspur/sassafrasspur/internal/subscriber"
	"github.com/sassafrasspur/sassafrasspur/platform"
)

// startEntryControl starts the control goroutine with all controllers. Messages
// reach them in the order of this list.
func (e *Entry) startEntryControl(ctx context.Context, store rows.Store) {
	s := e.settings
	seed := uuid.New()
	e.control = executor.New(
		executor.WithTimers(e.timers),
		executor.WithPerformer(storeworker.New(ctx, store, e.timers)),
		executor.WithObserver(entrylogger.New(e.log, e.meter)),
		executor.WithControllers(
			subscriber.New(platform.RoutesTable, platform.DecodeRoutes, e.report("routes rejected")),
			discoverer.New(platform.UpstreamsTable, platform.DecodeUpstream, e.report("upstream rejected")),
			enroller.New(e.self(), enroller.DefaultInterval),
			balancer.New(balancer.Place{Domain: s.Domain, Region: s.Region, Regions: s.Regions}, uint64(seed.ID())),
		),
	)
}
