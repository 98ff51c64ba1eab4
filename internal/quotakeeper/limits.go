package quotakeeper

import (
	"time"

	"github.com/sassafrasspur/sassafrasspur/internal/clientaccount"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

const (
	// maxTokenLifetime is the longest time for which a token may be used.
	maxTokenLifetime = 250 * time.Millisecond
	// minTokenLifetime leaves time for a round trip between regions, 24 ms, also if the
	// overage is next to nothing.
	minTokenLifetime = 30 * time.Millisecond
	// maxBurstIncrease is the number of requests by which the buckets of all parts
	// together exceed the configured burst. Callers of small accounts make several tool
	// calls at once.
	maxBurstIncrease = 8
	// burstIncreaseShare is the largest share of the slack that the increase uses.
	burstIncreaseShare = 0.4
	// maxHandoverBase and handoverBaseShare bound the number of requests that a new keeper
	// may grant in a window in any case, the latter as a share of the slack for all parts.
	maxHandoverBase   = 2
	handoverBaseShare = 0.3
	// maxHandoverShare is the share of a window's requests that a new keeper may grant.
	maxHandoverShare = 0.05
)

// Limits bound the requests that run in excess of a quota. In each sliding window, at
// most (rate × window + burst) × (1 + overage) + slack requests of an account may run.
type Limits struct {
	Window  time.Duration
	Overage unit.Ratio
	// Slack is a number of requests.
	Slack int
}

// TokenLifetime returns the time from the request for a token within which it may be
// used. The requests of a window may use tokens that were granted up to one lifetime
// before it, which costs half of the overage at most.
func (l Limits) TokenLifetime() time.Duration {
	return min(maxTokenLifetime, max(minTokenLifetime, time.Duration(float64(l.Overage)/2*float64(l.Window))))
}

// burstIncrease returns the number of requests by which all buckets of an account
// together exceed its burst.
func (l Limits) burstIncrease() float64 {
	return min(maxBurstIncrease, burstIncreaseShare*float64(l.Slack))
}

// handoverAllowance returns the number of requests that a new keeper of one of several
// parts may grant in a window before it knows that the previous keeper has stopped.
func (l Limits) handoverAllowance(q clientaccount.Quota, parts int) float64 {
	base := min(maxHandoverBase, handoverBaseShare*float64(l.Slack)/float64(parts))
	share := min(maxHandoverShare, float64(l.Overage)/2)
	return base + share*l.perWindow(q)/float64(parts)
}

// perWindow returns the number of requests that a quota allows in a window.
func (l Limits) perWindow(q clientaccount.Quota) float64 {
	return float64(q.Rate)*l.Window.Seconds() + float64(q.Burst)
}

// capacity returns the size of the bucket of one part. A bucket that holds less than one
// token could never grant.
func (l Limits) capacity(q clientaccount.Quota, parts int) float64 {
	return max(1, (float64(q.Burst)+l.burstIncrease())/float64(parts))
}

// excess returns the largest number of requests in a window beyond rate × window + burst,
// if each part changes its keeper once in a window.
func (l Limits) excess(q clientaccount.Quota, parts int) float64 {
	buckets := l.capacity(q, parts)*float64(parts) - float64(q.Burst)
	return buckets + float64(q.Rate)*l.TokenLifetime().Seconds() + l.handoverAllowance(q, parts)*float64(parts)
}
