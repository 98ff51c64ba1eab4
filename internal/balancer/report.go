package balancer

import (
	"time"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/poolestimator"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

const (
	// reportInterval is the time between two reports of what was learned.
	reportInterval = 10 * time.Second
	// slowFactor and usualFactor are the relative times from which an engine is
	// reported as slow and as usual again.
	slowFactor  = 2.0
	usualFactor = 1.4
)

// Reporter receives what the balancer has learned. Its methods are called by the control
// goroutine and must not block.
type Reporter interface {
	// ObservePool is called every ten seconds for each pool of engines with calls.
	ObservePool(pool ident.PoolID, f poolestimator.Figures)
	// EngineChanged is called when an engine becomes slow or usual again, with its
	// time between events and its lasting one relative to its pool.
	EngineChanged(id ident.UpstreamID, slow bool, relative, lasting unit.Ratio)
}

// Option configures a Balancer.
type Option func(*Balancer)

// WithReporter sets the receiver of what is learned.
func WithReporter(r Reporter) Option { return func(b *Balancer) { b.reporter = r } }

type noReporter struct{}

func (noReporter) ObservePool(ident.PoolID, poolestimator.Figures)              {}
func (noReporter) EngineChanged(ident.UpstreamID, bool, unit.Ratio, unit.Ratio) {}

// reportEngine reports an engine that has become slow or usual again.
func (b *Balancer) reportEngine(now time.Time, s *upstreamState) {
	relative := s.Interval.Relative(now)
	if s.isSlow && relative < usualFactor || !s.isSlow && relative > slowFactor {
		s.isSlow = !s.isSlow
		lasting, _, _ := s.Interval.Lasting(now)
		b.reporter.EngineChanged(s.ID, s.isSlow, unit.Ratio(relative), unit.Ratio(lasting))
	}
}

// report reports the figures of all pools if the last report is old.
func (b *Balancer) report(now time.Time) {
	if now.Sub(b.reportedAt) < reportInterval {
		return
	}
	b.reportedAt = now
	for id, p := range b.pools {
		if _, known := p.Age(now); !known {
			continue
		}
		f := p.Figures(now)
		f.Fastest, f.Slowest = b.extremes(now, id)
		b.reporter.ObservePool(id, f)
	}
}

// extremes returns the lowest and highest lasting relative times of the engines of a
// pool, or 1 if none is known.
func (b *Balancer) extremes(now time.Time, id ident.PoolID) (lowest, highest unit.Ratio) {
	lowest, highest = 1, 1
	first := true
	for _, s := range b.upstreams[id] {
		lasting, _, known := s.Interval.Lasting(now)
		switch r := unit.Ratio(lasting); {
		case !known:
		case first:
			lowest, highest, first = r, r, false
		default:
			lowest, highest = min(lowest, r), max(highest, r)
		}
	}
	return lowest, highest
}
