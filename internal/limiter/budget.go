package limiter

const (
	// attemptsPerRetry is the number of first attempts that permit one retry, so
	// that retries add at most 10% to a team's calls to an upstream.
	attemptsPerRetry = 10
	// maxSavedRetries bounds the retries that accumulate, so that a long time
	// without failures does not permit a burst of retries.
	maxSavedRetries = 10
)

// Budget is the retry budget of a team at an upstream. The zero value permits one
// retry, so that a team with few calls can retry as well.
type Budget struct {
	// Balance is the number of first attempts minus attemptsPerRetry for each
	// retry.
	Balance int
}

// Deposit returns the budget after a first attempt was sent.
func (b Budget) Deposit() Budget {
	return Budget{Balance: min(attemptsPerRetry*(maxSavedRetries-1), b.Balance+1)}
}

// PermitsRetry reports whether a retry may be sent.
func (b Budget) PermitsRetry() bool { return b.Balance >= 0 }

// Withdraw returns the budget after a retry was sent.
func (b Budget) Withdraw() Budget { return Budget{Balance: b.Balance - attemptsPerRetry} }
