package meter

import (
	"fmt"
	"time"
)

// ObserveExchange counts an exchange that ended, with its kind of request. The
// duration is from arrival to end. A first event of 0 or less says that there
// was none.
func (m *Meter) ObserveExchange(class, outcome string, first, whole time.Duration) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`sassafrasspur_exchanges_total{class="%s",outcome="%s"}`, class, outcome)).Inc()
	m.set.GetOrCreatePrometheusHistogramExt(fmt.Sprintf(`sassafrasspur_exchange_seconds{class="%s"}`, class), secondBounds).Update(whole.Seconds())
	if first > 0 {
		m.set.GetOrCreatePrometheusHistogramExt(fmt.Sprintf(`sassafrasspur_first_event_seconds{class="%s"}`, class), secondBounds).Update(first.Seconds())
	}
}

// ObserveStoreCall counts a call of the platform's store by whether it writes,
// the table of its first row, and whether it was answered.
func (m *Meter) ObserveStoreCall(write bool, table string, answered bool, took time.Duration) {
	kind := "read"
	if write {
		kind = "write"
	}
	m.set.GetOrCreateCounter(fmt.Sprintf(`sassafrasspur_store_calls_total{kind="%s",table="%s",answered="%t"}`, kind, table, answered)).Inc()
	m.set.GetOrCreatePrometheusHistogramExt(fmt.Sprintf(`sassafrasspur_store_call_seconds{kind="%s"}`, kind), secondBounds).Update(took.Seconds())
}
