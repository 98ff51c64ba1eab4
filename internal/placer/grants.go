package placer

import (
	"slices"
	"time"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/effect"
	"github.com/sassafrasspur/sassafrasspur/internal/failure"
	"github.com/sassafrasspur/sassafrasspur/internal/lender"
	"github.com/sassafrasspur/sassafrasspur/internal/limiter"
	"github.com/sassafrasspur/sassafrasspur/internal/message"
	"github.com/sassafrasspur/sassafrasspur/internal/outcome"
	"github.com/sassafrasspur/sassafrasspur/internal/ranker"
)

// grant is the permission of one call to use an upstream.
type grant struct {
	id       ident.Grant
	ticket   ident.Ticket
	upstream ident.UpstreamID
	call     lender.Call
	// predictedWait is the wait that the router predicted at the upstream.
	predictedWait time.Duration
}

// handleRequest queues a call and runs a dispatch pass, which may grant it at
// once. A call that remains queued is refused if the limiter says so.
func (t *transition) handleRequest(m message.GrantRequested) {
	p := t.placer
	if p.configuration == nil {
		t.refuse(m, failure.Refusal(failure.ConfigurationStale, p.reportInterval,
			"this node has not read a configuration yet; repeat the call at another address"))
		return
	}
	class, _ := p.configuration.Class(m.Class)
	arrived := m.Enqueued
	if arrived.IsZero() {
		arrived = t.now
	}
	p.arrivals++
	w := &waiter{
		request: m,
		since:   t.now,
		rank:    ranker.Call{Rank: class.Rank, AttainedService: m.AttainedService, Arrived: arrived, Sequence: p.arrivals},
	}
	q, ok := p.queues[m.Pool]
	if !ok {
		q = &queue{}
		p.queues[m.Pool] = q
	}
	q.push(p.ranker, w)
	t.dispatch(m.Pool)
	if !slices.Contains(q.waiters, w) {
		return
	}
	capacity, service := t.capacity(m)
	switch d := p.limiter.Decide(limiter.Input{
		Queued:    len(q.waiters) - 1,
		Capacity:  capacity,
		Service:   service,
		MaxWait:   p.queueLimit,
		Essential: class.Essential,
		Random:    p.random.Float64(),
	}).(type) {
	case limiter.Enqueue:
	case limiter.Refuse:
		q.remove(m.Ticket)
		t.refuse(m, d.Err)
	}
}

// capacity returns how many calls of the pool can run concurrently, and their
// mean duration.
func (t *transition) capacity(m message.GrantRequested) (int, time.Duration) {
	capacity, service := 0, time.Duration(0)
	for _, u := range t.placer.pools[m.Pool] {
		if !u.leaving() {
			allowed := u.limit.Allowed(u.bounds())
			capacity += allowed
			service += time.Duration(allowed) * u.estimate.Service
		}
	}
	return capacity, service / time.Duration(max(1, capacity))
}

// refuse answers a request with an error. NotRun is cleared for a retry, because
// an earlier attempt may have run.
func (t *transition) refuse(m message.GrantRequested, err *failure.Error) {
	err.NotRun = err.NotRun && !m.Retry
	t.emit(effect.Answer{Ticket: m.Ticket, Outcome: outcome.Refused{Err: err}})
}

// grant assigns an upstream to a waiting call and answers its request.
func (t *transition) grant(w *waiter, u *upstream, wait time.Duration) {
	p := t.placer
	p.lastGrant++
	g := &grant{
		id:            p.lastGrant,
		ticket:        w.request.Ticket,
		upstream:      u.configuration.ID,
		predictedWait: wait,
		call: lender.Call{
			Grant: p.lastGrant, Team: w.request.Team, Repeatable: w.request.Repeatable, Started: t.now,
		},
	}
	p.grants[g.id], p.tickets[g.ticket] = g, g
	u.inFlight++
	u.inFlightByTeam[w.request.Team]++
	key := budgetKey{u.configuration.ID, w.request.Team}
	if w.request.Retry {
		p.budgets[key] = p.budgets[key].Withdraw()
	} else {
		p.budgets[key] = p.budgets[key].Deposit()
	}
	t.emit(effect.Answer{Ticket: g.ticket, Outcome: outcome.Granted{
		Grant:    g.id,
		Upstream: u.configuration,
		Cached:   min(w.request.Prompt, w.request.CachedTokens[u.configuration.ID]),
	}})
}

// handleReturn ends a grant. A grant that has already ended is ignored.
func (t *transition) handleReturn(m message.GrantReturned) {
	p := t.placer
	g, ok := p.grants[m.Grant]
	if !ok {
		return
	}
	u := t.removeGrant(g)
	if m.Leaving {
		u.refusedAt = t.now
		t.changed = true
	} else {
		u.observe(t.now, g, m)
	}
	t.dispatch(u.configuration.Pool)
}

// removeGrant deletes a grant and returns its upstream. An upstream that is no
// longer configured is deleted with its last grant.
func (t *transition) removeGrant(g *grant) *upstream {
	p := t.placer
	delete(p.grants, g.id)
	delete(p.tickets, g.ticket)
	u := p.upstreams[g.upstream]
	u.inFlight--
	if u.inFlightByTeam[g.call.Team]--; u.inFlightByTeam[g.call.Team] == 0 {
		delete(u.inFlightByTeam, g.call.Team)
	}
	if u.removed && u.inFlight == 0 {
		delete(p.upstreams, g.upstream)
	}
	return u
}

// handleAbandonedWait removes a ticket whose caller stopped waiting. A grant that
// was already issued for it is revoked: the executor reports only waits that
// ended without an answer, so no caller received the grant. A later return of
// the grant is ignored.
func (t *transition) handleAbandonedWait(ticket ident.Ticket) {
	p := t.placer
	if g, ok := p.tickets[ticket]; ok {
		t.dispatch(t.removeGrant(g).configuration.Pool)
		return
	}
	for pool, q := range p.queues {
		if q.remove(ticket) {
			t.dispatch(pool)
			return
		}
	}
}
