package limiter

const (
	// perRetry is the number of first attempts that earn one retry: 10% of the
	// calls of a team to an upstream may be retries.
	perRetry = 10
	// maxRetries bounds what is saved up, so that a long quiet time does not
	// pay for a burst of retries.
	maxRetries = 10
)

// Budget is the retry budget of a team at an upstream. The zero value permits
// one retry, so that a team with few calls can retry at all.
type Budget struct {
	// Earned is the number of first attempts minus perRetry for each retry.
	Earned int
}

// Earn returns the budget after a first attempt.
func (b Budget) Earn() Budget {
	return Budget{Earned: min(perRetry*(maxRetries-1), b.Earned+1)}
}

// Permits reports whether a retry may be sent.
func (b Budget) Permits() bool { return b.Earned >= 0 }

// Spend returns the budget after a retry.
func (b Budget) Spend() Budget { return Budget{Earned: b.Earned - perRetry} }
