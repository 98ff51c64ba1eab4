package placer

import (
	"slices"
	"time"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/message"
	"github.com/sassafrasspur/sassafrasspur/internal/ranker"
)

// waiter is a call that waits for a grant.
type waiter struct {
	request message.GrantRequested
	rank    ranker.Call
	// since is the time at which the placer received the request.
	since time.Time
}

// queue holds the calls that wait for an upstream of a pool, in the ranker's order.
type queue struct {
	waiters []*waiter
	// wakeAt is the time of the next pass if no message causes one before.
	wakeAt time.Time
}

// push inserts a call at its place in the ranker's order.
func (q *queue) push(r ranker.Ranker, w *waiter) {
	index, _ := slices.BinarySearchFunc(q.waiters, w, func(a, b *waiter) int {
		switch r.Decide(a.rank, b.rank).(type) {
		case ranker.First:
			return -1
		default:
			return 1
		}
	})
	q.waiters = slices.Insert(q.waiters, index, w)
}

// remove removes the call with the given ticket and reports whether it was queued.
func (q *queue) remove(ticket ident.Ticket) bool {
	index := slices.IndexFunc(q.waiters, func(w *waiter) bool { return w.request.Ticket == ticket })
	if index < 0 {
		return false
	}
	q.waiters = slices.Delete(q.waiters, index, index+1)
	return true
}

// teamWait summarizes the waiting calls of one team: how many there are, and
// when the first of them was queued.
type teamWait struct {
	since time.Time
	calls int
}

// teamWaits summarizes the queue by team.
func (q *queue) teamWaits() map[ident.TeamID]teamWait {
	waits := map[ident.TeamID]teamWait{}
	for _, w := range q.waiters {
		wait := waits[w.request.Team]
		if wait.calls == 0 || w.since.Before(wait.since) {
			wait.since = w.since
		}
		wait.calls++
		waits[w.request.Team] = wait
	}
	return waits
}
