package meter

import (
	"fmt"
	"strconv"
	"time"

	"github.com/sassafrasspur/sassafrasspur/ident"
)

// maxShedPriority is the lowest priority with a label of its own.
const maxShedPriority = 9

// CountShed counts a request that was refused for load, by its priority and the reason,
// and by its account. Only the first accounts have labels of their own.
func (m *Meter) CountShed(priority int, reason string, account ident.AccountID) {
	m.mu.Lock()
	label := m.shedAccounts.label(string(account))
	m.mu.Unlock()
	class := strconv.Itoa(min(max(priority, 0), maxShedPriority))
	m.set.GetOrCreateCounter(fmt.Sprintf(`sassafrasspur_shed_total{priority="%s",reason="%s"}`, class, reason)).Inc()
	m.set.GetOrCreateCounter(fmt.Sprintf(`sassafrasspur_shed_by_account_total{account="%s"}`, label)).Inc()
}

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
