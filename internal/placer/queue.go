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
	// since is when the request came to the placer.
	since time.Time
}

// queue holds the calls that wait for a pool, in the ranker's order.
type queue struct {
	waiters []*waiter
	// wake is when the queue is to be looked at again without a message.
	wake time.Time
}

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

// remove drops the call with a ticket and reports whether it waited.
func (q *queue) remove(ticket ident.Ticket) bool {
	index := slices.IndexFunc(q.waiters, func(w *waiter) bool { return w.request.Ticket == ticket })
	if index < 0 {
		return false
	}
	q.waiters = slices.Delete(q.waiters, index, index+1)
	return true
}

// claim is the wait of one team.
type claim struct {
	since time.Time
	calls int
}

// claims returns the wait of each team.
func (q *queue) claims() map[ident.TeamID]claim {
	claims := map[ident.TeamID]claim{}
	for _, w := range q.waiters {
		k := claims[w.request.Team]
		if k.calls == 0 || w.since.Before(k.since) {
			k.since = w.since
		}
		k.calls++
		claims[w.request.Team] = k
	}
	return claims
}
