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

// grant is a permission in use.
type grant struct {
	id       ident.Grant
	ticket   ident.Ticket
	upstream ident.UpstreamID
	held     lender.Held
	// wait is the wait at the upstream that was predicted.
	wait time.Duration
}

// request queues a call and grants it at once if possible.
func (r *round) request(m message.GrantRequested) {
	c := r.placer
	if c.configuration == nil {
		r.refuse(m, failure.Refusal(failure.ConfigurationStale, c.reportInterval,
			"the node has not read a configuration yet; repeat the call at another address"))
		return
	}
	class, _ := c.configuration.Class(m.Class)
	arrived := m.Enqueued
	if arrived.IsZero() {
		arrived = r.now
	}
	c.arrivals++
	w := &waiter{
		request: m,
		since:   r.now,
		rank:    ranker.Call{Rank: class.Rank, Served: m.Served, Arrived: arrived, Number: c.arrivals},
	}
	q, ok := c.queues[m.Pool]
	if !ok {
		q = &queue{}
		c.queues[m.Pool] = q
	}
	q.push(c.ranker, w)
	r.pass(m.Pool)
	if !slices.Contains(q.waiters, w) {
		return
	}
	capacity, service := r.capacity(m)
	switch d := c.limiter.Decide(limiter.Input{
		Queued:    len(q.waiters) - 1,
		Capacity:  capacity,
		Service:   service,
		Bound:     c.queueLimit,
		Essential: class.Essential,
		Random:    c.random.Float64(),
	}).(type) {
	case limiter.Enqueue:
	case limiter.Refuse:
		q.remove(m.Ticket)
		r.refuse(m, d.Err)
	}
}

// capacity returns how many calls of the pool run side by side, and their mean
// duration.
func (r *round) capacity(m message.GrantRequested) (int, time.Duration) {
	capacity, service := 0, time.Duration(0)
	for _, u := range r.placer.pools[m.Pool] {
		if !u.leaving() {
			allowed := u.limit.Allowed(u.bounds())
			capacity += allowed
			service += time.Duration(allowed) * u.estimate.Service
		}
	}
	return capacity, service / time.Duration(max(1, capacity))
}

// refuse answers a request with an error. It keeps the promise that the call did
// not run only for a first attempt: an earlier attempt may have run.
func (r *round) refuse(m message.GrantRequested, err *failure.Error) {
	err.NotRun = err.NotRun && !m.Retry
	r.emit(effect.Answer{Ticket: m.Ticket, Outcome: outcome.Refused{Err: err}})
}

// grant gives a waiting call the use of an upstream.
func (r *round) grant(w *waiter, u *upstream, wait time.Duration) {
	c := r.placer
	c.last++
	g := &grant{
		id:       c.last,
		ticket:   w.request.Ticket,
		upstream: u.configuration.ID,
		wait:     wait,
		held: lender.Held{
			Grant: c.last, Team: w.request.Team, Repeatable: w.request.Repeatable, Started: r.now,
		},
	}
	c.grants[g.id], c.tickets[g.ticket] = g, g
	u.inFlight++
	u.held[w.request.Team]++
	key := budgetKey{u.configuration.ID, w.request.Team}
	if w.request.Retry {
		c.budgets[key] = c.budgets[key].Spend()
	} else {
		c.budgets[key] = c.budgets[key].Earn()
	}
	r.emit(effect.Answer{Ticket: g.ticket, Outcome: outcome.Granted{
		Grant:    g.id,
		Upstream: u.configuration,
		Cached:   min(w.request.Prompt, w.request.Residents[u.configuration.ID]),
	}})
}

// returned ends a grant. A grant that ended before is ignored.
func (r *round) returned(m message.GrantReturned) {
	c := r.placer
	g, ok := c.grants[m.Grant]
	if !ok {
		return
	}
	u := r.drop(g)
	if m.Leaving {
		u.refusedAt = r.now
		r.changed = true
	} else {
		u.observe(r.now, g, m)
	}
	r.pass(u.configuration.Pool)
}

// drop removes a grant and returns its upstream.
func (r *round) drop(g *grant) *upstream {
	c := r.placer
	delete(c.grants, g.id)
	delete(c.tickets, g.ticket)
	u := c.upstreams[g.upstream]
	u.inFlight--
	if u.held[g.held.Team]--; u.held[g.held.Team] == 0 {
		delete(u.held, g.held.Team)
	}
	if u.removed && u.inFlight == 0 {
		delete(c.upstreams, g.upstream)
	}
	return u
}

// abandoned forgets a ticket. Nobody received a grant that was answered to it,
// because the executor reports only waits that ended without an answer, so the
// grant is taken back; a later return of it is ignored.
func (r *round) abandoned(ticket ident.Ticket) {
	c := r.placer
	if g, ok := c.tickets[ticket]; ok {
		r.pass(r.drop(g).configuration.Pool)
		return
	}
	for pool, q := range c.queues {
		if q.remove(ticket) {
			r.pass(pool)
			return
		}
	}
}
