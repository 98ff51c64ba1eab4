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

// dispatch grants as many waiting calls of a pool as possible. It repeats the
// pass when a team no longer has waiting calls, because borrowers may start
// calls only while the owner has none waiting.
func (t *transition) dispatch(pool ident.PoolID) {
	upstreams := t.placer.pools[pool]
	t.checkUsable(upstreams)
	q, ok := t.placer.queues[pool]
	if !ok {
		return
	}
	for len(q.waiters) > 0 && t.dispatchOnce(q, upstreams) {
	}
	q.wakeAt = time.Time{}
	if len(q.waiters) == 0 {
		delete(t.placer.queues, pool)
		return
	}
	for _, w := range q.waiters {
		q.wakeBy(w.since.Add(t.placer.queueLimit))
	}
	t.reclaim(q, upstreams)
}

// wakeBy makes the queue's next wake-up no later than t.
func (q *queue) wakeBy(t time.Time) {
	if !t.IsZero() && (q.wakeAt.IsZero() || t.Before(q.wakeAt)) {
		q.wakeAt = t
	}
}

// dispatchOnce tries each waiting call once and reports whether a team no longer
// has waiting calls.
func (t *transition) dispatchOnce(q *queue, upstreams []*upstream) bool {
	waits := q.teamWaits()
	// saturated holds the teams for which no upstream is free, so that their
	// other calls need no search.
	saturated := map[ident.TeamID]bool{}
	q.waiters = slices.DeleteFunc(q.waiters, func(w *waiter) bool {
		if t.now.Sub(w.since) >= t.placer.queueLimit {
			t.refuse(w.request, limiter.Overloaded(t.placer.queueLimit, t.placer.random.Float64()))
			return true
		}
		unrestricted := !w.request.Retry && len(w.request.Avoid) == 0
		if unrestricted && saturated[w.request.Team] {
			return false
		}
		done, free := t.tryGrant(w, upstreams, waits)
		if unrestricted && !free {
			saturated[w.request.Team] = true
		}
		return done
	})
	return len(q.teamWaits()) < len(waits)
}

// tryGrant grants or refuses a waiting call if that is possible now. It reports
// whether the call was answered and whether an upstream was free for it.
func (t *transition) tryGrant(w *waiter, upstreams []*upstream, waits map[ident.TeamID]teamWait) (done, free bool) {
	p := t.placer
	set := t.findCandidates(w.request, w.request.Avoid, upstreams, waits)
	if len(set.eligible) == 0 && !set.viewUnknown && len(w.request.Avoid) > 0 {
		// Retrying at an upstream where the call failed is better than refusing.
		set = t.findCandidates(w.request, nil, upstreams, waits)
	}
	in := router.Input{
		Prompt:   w.request.Prompt,
		Output:   w.request.Output,
		Region:   p.region,
		Weights:  p.configuration.Weights,
		Sequence: p.routed,
		Random:   p.random.Uint64(),
	}
	for _, cached := range w.request.CachedTokens {
		in.LongestPrefix = max(in.LongestPrefix, cached)
	}
	in.Candidates = set.candidates
	free = slices.ContainsFunc(in.Candidates, func(c router.Candidate) bool { return c.Free })
	switch d := p.router.Decide(in).(type) {
	case router.Use:
		p.routed++
		t.grant(w, set.eligible[d.Index], d.Wait)
		return true, true
	case router.Wait:
		return false, free
	case router.NoCandidate:
		if set.viewUnknown {
			return false, false
		}
		if set.overRetryBudget {
			t.refuse(w.request, limiter.Overloaded(p.queueLimit, p.random.Float64()))
			return true, false
		}
	}
	t.refuse(w.request, failure.Refusal(failure.NoUpstream, p.viewLimit,
		"no upstream of pool %q accepts calls of team %q; add or lend an upstream, or retry when one is available again",
		w.request.Pool, w.request.Team))
	return true, false
}

// candidateSet holds the upstreams that a call may use, now or later, and the
// router's input for each. The slices are reused by the next search.
type candidateSet struct {
	eligible   []*upstream
	candidates []router.Candidate
	// viewUnknown is true if a permitted upstream has no current view and may
	// become usable. overRetryBudget is true if an upstream was left out only
	// because the team's retry budget there is exhausted.
	viewUnknown     bool
	overRetryBudget bool
}

// findCandidates returns the upstreams that a call may use, without those to avoid.
func (t *transition) findCandidates(
	m message.GrantRequested, avoid []ident.UpstreamID, upstreams []*upstream, waits map[ident.TeamID]teamWait,
) candidateSet {
	p := t.placer
	result := candidateSet{eligible: p.scratch.eligible[:0], candidates: p.scratch.candidates[:0]}
	for _, u := range upstreams {
		if u.leaving() || slices.Contains(avoid, u.configuration.ID) {
			continue
		}
		permitted := false
		switch p.lender.Decide(lender.Input{
			Upstream:     u.configuration,
			Team:         m.Team,
			Positions:    t.lendingPositions(),
			InFlight:     u.inFlightByTeam[m.Team],
			OwnerWaiting: waits[u.configuration.Team].calls > 0,
		}).(type) {
		case lender.UseOwn, lender.Borrow:
			permitted = true
		case lender.Defer:
		case lender.Deny:
			continue
		}
		if m.Retry && !p.budgets[budgetKey{u.configuration.ID, m.Team}].PermitsRetry() {
			result.overRetryBudget = true
			continue
		}
		if !u.usable() {
			result.viewUnknown = true
			continue
		}
		free := permitted && u.inFlight < u.limit.Allowed(u.bounds())
		result.eligible = append(result.eligible, u)
		result.candidates = append(result.candidates, u.candidate(m.CachedTokens[u.configuration.ID], free))
	}
	p.scratch = result
	return result
}

// reclaim cancels calls of borrowers when the owner of an upstream has waited
// for the loan's reclaim time.
func (t *transition) reclaim(q *queue, upstreams []*upstream) {
	waits := q.teamWaits()
	for _, u := range upstreams {
		wait, waiting := waits[u.configuration.Team]
		if !waiting || u.inFlight == u.inFlightByTeam[u.configuration.Team] {
			continue
		}
		in := lender.ReclaimInput{Upstream: u.configuration, Now: t.now, Since: wait.since, Waiting: wait.calls}
		// Grants are not indexed by upstream, because reclaims are rare.
		for _, g := range t.placer.grants {
			if g.upstream == u.configuration.ID {
				in.Calls = append(in.Calls, g.call)
			}
		}
		switch d := t.placer.lender.Reclaim(in).(type) {
		case lender.Keep:
			q.wakeBy(d.Next)
		case lender.Cancel:
			for _, id := range d.Grants {
				t.placer.grants[id].call.Cancelled = true
				t.emit(effect.CancelGrant{Grant: id})
			}
			// Later reclaim times of other loans are evaluated with the next
			// message, at the latest when the cancelled grants are returned.
		}
	}
}
