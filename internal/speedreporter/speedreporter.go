// Package speedreporter shows operators what the balancer has learned of engines, in the
// log and in metrics.
package speedreporter

import (
	"github.com/rs/zerolog"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/poolestimator"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

// Meter receives the figures of pools.
type Meter interface {
	ObservePool(pool ident.PoolID, f poolestimator.Figures)
	CountSlowEngine(slow bool)
}

// Speedreporter writes to a log and a meter.
type Speedreporter struct {
	log   zerolog.Logger
	meter Meter
}

// New returns a Speedreporter.
func New(log zerolog.Logger, meter Meter) *Speedreporter {
	return &Speedreporter{log: log, meter: meter}
}

// ObservePool passes the figures of a pool to the meter.
func (r *Speedreporter) ObservePool(pool ident.PoolID, f poolestimator.Figures) {
	r.meter.ObservePool(pool, f)
}

// EngineChanged logs an engine that becomes slow or usual again.
func (r *Speedreporter) EngineChanged(id ident.UpstreamID, slow bool, relative, lasting unit.Ratio) {
	r.meter.CountSlowEngine(slow)
	r.log.Info().Str("upstream", string(id)).Bool("slow", slow).Float64("relative", float64(relative)).
		Float64("lasting", float64(lasting)).Msg("speed of an engine changed")
}
