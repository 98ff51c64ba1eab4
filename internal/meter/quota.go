package meter

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/sassafrasspur/sassafrasspur/ident"
)

// maxQuotaAccounts is the number of accounts with labels of their own.
const maxQuotaAccounts = 32

// quotaKey identifies a counter of requests under a quota.
type quotaKey struct {
	account ident.AccountID
	outcome string
}

// quotaCounters holds the counters of requests under quotas. The labels of accounts are
// bounded, the counters are cached by their account.
type quotaCounters struct {
	accounts labelLimiter
	counters map[quotaKey]*metrics.Counter
}

func newQuotaCounters() quotaCounters {
	return quotaCounters{accounts: newLabelLimiter(maxQuotaAccounts), counters: map[quotaKey]*metrics.Counter{}}
}

// CountQuota counts a decision on a request of an account with a quota: granted, refused
// or unavailable.
func (m *Meter) CountQuota(account ident.AccountID, outcome string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	label := m.quotas.accounts.label(string(account))
	if label == otherLabel {
		account = otherLabel
	}
	key := quotaKey{account: account, outcome: outcome}
	counter, ok := m.quotas.counters[key]
	if !ok {
		counter = m.set.GetOrCreateCounter(fmt.Sprintf(`sassafrasspur_quota_requests_total{account="%s",outcome="%s"}`, label, outcome))
		m.quotas.counters[key] = counter
	}
	counter.Inc()
}
