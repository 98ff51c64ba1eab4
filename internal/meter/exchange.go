package meter

import (
	"fmt"
	"time"
)

// ObserveExchange records an exchange that ended, by the class of its request and
// its outcome. The duration is measured from arrival to end. If firstEvent is not
// positive, there was no event and it is not observed.
func (m *Meter) ObserveExchange(class, outcome string, firstEvent, duration time.Duration) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`sassafrasspur_exchanges_total{class="%s",outcome="%s"}`, class, outcome)).Inc()
	m.set.GetOrCreatePrometheusHistogramExt(fmt.Sprintf(`sassafrasspur_exchange_seconds{class="%s"}`, class), secondsBuckets).Update(duration.Seconds())
	if firstEvent > 0 {
		m.set.GetOrCreatePrometheusHistogramExt(fmt.Sprintf(`sassafrasspur_first_event_seconds{class="%s"}`, class), secondsBuckets).Update(firstEvent.Seconds())
	}
}

// ObserveStoreCall records a call of the platform's store by whether it writes,
// the table of its first row, and whether the store answered.
func (m *Meter) ObserveStoreCall(write bool, table string, answered bool, duration time.Duration) {
	kind := "read"
	if write {
		kind = "write"
	}
	m.set.GetOrCreateCounter(fmt.Sprintf(`sassafrasspur_store_calls_total{kind="%s",table="%s",answered="%t"}`, kind, table, answered)).Inc()
	m.set.GetOrCreatePrometheusHistogramExt(fmt.Sprintf(`sassafrasspur_store_call_seconds{kind="%s"}`, kind), secondsBuckets).Update(duration.Seconds())
}
