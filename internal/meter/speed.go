package meter

import (
	"fmt"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/poolestimator"
	"github.com/sassafrasspur/sassafrasspur/internal/upstream"
)

// ObservePool records the learned figures of the engines of a pool.
func (m *Meter) ObservePool(pool ident.PoolID, f poolestimator.Figures) {
	m.mu.Lock()
	label := m.pools.label(string(pool))
	m.mu.Unlock()
	set := func(name string, value float64) {
		m.set.GetOrCreateGauge(fmt.Sprintf(`sassafrasspur_engine_%s{pool="%s"}`, name, label), nil).Set(value)
	}
	set("prefill_tokens_per_second", f.PrefillRate*1000)
	set("event_interval_seconds", f.Interval.Seconds())
	set("cached_first_event_seconds", f.FirstEvent.Seconds())
	set("answer_seconds", f.Answer.Seconds())
	set("batch_slope_ratio", float64(f.BatchSlope))
	set("fastest_relative_time", float64(f.Fastest))
	set("slowest_relative_time", float64(f.Slowest))
}

// CountSlowEngine counts an engine that becomes slow or usual again.
func (m *Meter) CountSlowEngine(slow bool) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`sassafrasspur_engine_speed_changes_total{slow="%t"}`, slow)).Inc()
}

// CountPlacement counts a request with an affinity key by the basis on which its upstream
// was chosen.
func (m *Meter) CountPlacement(basis upstream.Basis, moved bool) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`sassafrasspur_placements_total{basis="%s",moved="%t"}`, basis, moved)).Inc()
}
