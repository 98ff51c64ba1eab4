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
	"github.com/sassafrasspur/sassafrasspur/internal/router"
)

// pass gives out what can be given out in a pool. It is repeated when a team's
// last wait ended, because that can have held borrowers back.
func (r *round) pass(pool ident.PoolID) {
	upstreams := r.placer.pools[pool]
	r.check(upstreams)
	q, ok := r.placer.queues[pool]
	if !ok {
		return
	}
	for len(q.waiters) > 0 && r.passOnce(q, upstreams) {
	}
	q.wake = time.Time{}
	if len(q.waiters) == 0 {
		delete(r.placer.queues, pool)
		return
	}
	for _, w := range q.waiters {
		q.wakeBy(w.since.Add(r.placer.queueLimit))
	}
	r.reclaim(q, upstreams)
}

func (q *queue) wakeBy(t time.Time) {
	if !t.IsZero() && (q.wake.IsZero() || t.Before(q.wake)) {
		q.wake = t
	}
}

// passOnce tries each waiting call once and reports whether a team has no call
// waiting any more.
func (r *round) passOnce(q *queue, upstreams []*upstream) bool {
	claims := q.claims()
	// idle has the teams for which no upstream is free; it saves the search for
	// their other calls.
	idle := map[ident.TeamID]bool{}
	q.waiters = slices.DeleteFunc(q.waiters, func(w *waiter) bool {
		if r.now.Sub(w.since) >= r.placer.queueLimit {
			r.refuse(w.request, limiter.Overloaded(r.placer.queueLimit, r.placer.random.Float64()))
			return true
		}
		plain := !w.request.Retry && len(w.request.Avoid) == 0
		if plain && idle[w.request.Team] {
			return false
		}
		done, free := r.place(w, upstreams, claims)
		if plain && !free {
			idle[w.request.Team] = true
		}
		return done
	})
	return len(q.claims()) < len(claims)
}

// place answers a waiting call if it can be answered. It reports whether it did
// and whether an upstream was free for the call.
func (r *round) place(w *waiter, upstreams []*upstream, claims map[ident.TeamID]claim) (done, free bool) {
	c := r.placer
	offers := r.offers(w.request, w.request.Avoid, upstreams, claims)
	if len(offers.usable) == 0 && !offers.unknown && len(w.request.Avoid) > 0 {
		// A repeat where the call failed before is better than none.
		offers = r.offers(w.request, nil, upstreams, claims)
	}
	in := router.Input{
		Prompt:  w.request.Prompt,
		Output:  w.request.Output,
		Region:  c.region,
		Weights: c.configuration.Weights,
		Turn:    c.turn,
		Random:  c.random.Uint64(),
	}
	for _, cached := range w.request.Residents {
		in.Computed = max(in.Computed, cached)
	}
	in.Candidates = offers.candidates
	free = slices.ContainsFunc(in.Candidates, func(k router.Candidate) bool { return k.Free })
	switch d := c.router.Decide(in).(type) {
	case router.Use:
		c.turn++
		r.grant(w, offers.usable[d.Index], d.Wait)
		return true, true
	case router.Wait:
		return false, free
	case router.None:
		if offers.unknown {
			return false, false
		}
		if offers.unpaid {
			r.refuse(w.request, limiter.Overloaded(c.queueLimit, c.random.Float64()))
			return true, false
		}
	}
	r.refuse(w.request, failure.Refusal(failure.NoUpstream, c.viewLimit,
		"no upstream of pool %q can take calls of team %q; add one, lend one or wait until one returns",
		w.request.Pool, w.request.Team))
	return true, false
}

// offers are the upstreams that a call may use, now or later, and their states
// for the router. The slices are reused by the next call.
type offers struct {
	usable     []*upstream
	candidates []router.Candidate
	// unknown is true if an upstream may turn out to be usable, unpaid if the
	// retry budget is all that is missing at one.
	unknown bool
	unpaid  bool
}

func (r *round) offers(
	m message.GrantRequested, avoid []ident.UpstreamID, upstreams []*upstream, claims map[ident.TeamID]claim,
) offers {
	c := r.placer
	result := offers{usable: c.offers.usable[:0], candidates: c.offers.candidates[:0]}
	for _, u := range upstreams {
		if u.leaving() || slices.Contains(avoid, u.configuration.ID) {
			continue
		}
		permitted := false
		switch c.lender.Decide(lender.Input{
			Upstream:     u.configuration,
			Team:         m.Team,
			Views:        r.memberships(),
			Held:         u.held[m.Team],
			OwnerWaiting: claims[u.configuration.Team].calls > 0,
		}).(type) {
		case lender.Own, lender.Borrow:
			permitted = true
		case lender.Later:
		case lender.Never:
			continue
		}
		if m.Retry && !c.budgets[budgetKey{u.configuration.ID, m.Team}].Permits() {
			result.unpaid = true
			continue
		}
		if !u.usable() {
			result.unknown = true
			continue
		}
		free := permitted && u.inFlight < u.limit.Allowed(u.bounds())
		result.usable = append(result.usable, u)
		result.candidates = append(result.candidates, u.candidate(m.Residents[u.configuration.ID], free))
	}
	c.offers = result
	return result
}

// reclaim cancels borrowed calls for owners that have waited too long.
func (r *round) reclaim(q *queue, upstreams []*upstream) {
	claims := q.claims()
	for _, u := range upstreams {
		wait, waiting := claims[u.configuration.Team]
		if !waiting || u.inFlight == u.held[u.configuration.Team] {
			continue
		}
		c := lender.Claim{Upstream: u.configuration, Now: r.now, Since: wait.since, Waiting: wait.calls}
		// Cancelling is rare, so the grants are not indexed by upstream.
		for _, g := range r.placer.grants {
			if g.upstream == u.configuration.ID {
				c.Held = append(c.Held, g.held)
			}
		}
		switch d := r.placer.lender.Reclaim(c).(type) {
		case lender.Keep:
			q.wakeBy(d.Next)
		case lender.Cancel:
			for _, id := range d.Grants {
				r.placer.grants[id].held.Cancelled = true
				r.emit(effect.CancelGrant{Grant: id})
			}
			// A later reclaim time of another loan is looked at with the next
			// message; the returned grants bring one.
		}
	}
}
