package meter

import (
	"fmt"

	"github.com/sassafrasspur/sassafrasspur/ident"
)

const (
	// maxAccounts is the number of accounts with labels of their own. Each has a series
	// for each outcome that occurred.
	maxAccounts = 24
	// minAccountShare is the share of all exchanges from which an account has a label of
	// its own. It never loses the label, and no other label loses counts to it, so that
	// all series only grow.
	minAccountShare = 0.02
	// minAccountExchanges is the number of exchanges below which a share says nothing.
	minAccountExchanges = 20
	// maxCandidates bounds the accounts that are counted before they have a label.
	maxCandidates = 2048
	// noAccountLabel is the label of exchanges without an account.
	noAccountLabel = "none"
)

// accountLabeler gives labels of their own to the accounts with the largest shares of the
// exchanges.
type accountLabeler struct {
	labels     labelLimiter
	exchanges  int
	candidates map[ident.AccountID]int
}

func newAccountLabeler() accountLabeler {
	return accountLabeler{labels: newLabelLimiter(maxAccounts), candidates: map[ident.AccountID]int{}}
}

// label counts an exchange of an account and returns the label of the account.
func (l *accountLabeler) label(account ident.AccountID) string {
	l.exchanges++
	if account == "" {
		return noAccountLabel
	}
	if label, ok := l.labels.labels[string(account)]; ok {
		return label
	}
	l.candidates[account]++
	count := l.candidates[account]
	if count >= minAccountExchanges && float64(count) >= minAccountShare*float64(l.exchanges) {
		delete(l.candidates, account)
		return l.labels.label(string(account))
	}
	if len(l.candidates) > maxCandidates {
		clear(l.candidates)
	}
	return otherLabel
}

// ObserveAccount records the outcome of an exchange of a client account, empty for none.
func (m *Meter) ObserveAccount(account ident.AccountID, outcome string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	label := m.accounts.label(account)
	m.set.GetOrCreateCounter(fmt.Sprintf(`sassafrasspur_account_exchanges_total{account="%s",outcome="%s"}`, label, m.outcomes.label(outcome))).Inc()
}
