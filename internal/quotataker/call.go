package quotataker

import (
	"context"
	"time"

	"github.com/sassafrasspur/sassafrasspur/internal/quotakeeper"
	"github.com/sassafrasspur/sassafrasspur/internal/snapshot"
)

// serve asks the keepers of an account until no request waits.
func (t *Taker) serve(a *accountState) {
	for {
		for part := range a.parts {
			if t.ask(a, part) {
				return
			}
		}
		if !t.refuseWaiting(a) {
			return
		}
	}
}

// refuseWaiting refuses the requests that no keeper grants. It reports whether others
// wait.
func (t *Taker) refuseWaiting(a *accountState) bool {
	now := t.now()
	t.mu.Lock()
	defer t.mu.Unlock()
	waiting := a.waiting[:0]
	for _, ticket := range a.waiting {
		switch refusal, refused := t.refusal(now, a, ticket.class); {
		case ticket.state == canceledTicket:
		case refused:
			ticket.refusal = refusal
			ticket.decide(refusedTicket)
		default:
			waiting = append(waiting, ticket)
		}
	}
	clear(a.waiting[len(waiting):])
	a.waiting = waiting
	a.calling = len(waiting) > 0
	return a.calling
}

// ask asks the keeper of a part for the tokens of the requests that wait. It reports
// whether none waits any more.
func (t *Taker) ask(a *accountState, part int) bool {
	now := t.now()
	t.mu.Lock()
	request, keeper, ok := t.request(now, a, part)
	t.mu.Unlock()
	if !ok {
		return false
	}
	var answer quotakeeper.Answer
	var err error
	if keeper.VM == t.self {
		answer = t.local.Take(request)
	} else {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		answer, err = t.peers.TakeQuota(ctx, keeper.PeerAddress, request)
		cancel()
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	answered := t.now()
	if err != nil {
		t.silentUntil[keeper.VM] = answered.Add(silentDelay)
		a.parts[part].unavailableUntil, a.parts[part].reason = answered.Add(silentDelay), quotakeeper.NoAnswer
		return false
	}
	switch answer := answer.(type) {
	case quotakeeper.Granted:
		t.distribute(a, part, now, answered, request, answer)
	case quotakeeper.Unavailable:
		p := &a.parts[part]
		p.listAge, p.reason = answer.ListAge, answer.Reason
		p.unavailableUntil = answered.Add(unavailableDelay)
	}
	a.calling = len(a.waiting) > 0
	return !a.calling
}

// request returns the request to the keeper of a part, false if it need not be asked.
func (t *Taker) request(now time.Time, a *accountState, part int) (quotakeeper.Request, snapshot.Member, bool) {
	p := &a.parts[part]
	r := quotakeeper.Request{Account: a.id, Part: t.parts[part], Rate: a.quota.Rate, Burst: a.quota.Burst, Version: a.version}
	for _, ticket := range a.waiting {
		switch {
		case ticket.state == canceledTicket || p.blocked(now, ticket.class):
		case ticket.class == First:
			r.First++
		default:
			r.Further++
		}
	}
	if r.First+r.Further == 0 {
		return r, snapshot.Member{}, false
	}
	if p.keeper.VM == "" || now.Before(t.silentUntil[p.keeper.VM]) {
		p.reason, p.unavailableUntil = quotakeeper.NoAnswer, now.Add(unavailableDelay)
		return r, snapshot.Member{}, false
	}
	expected := float64(max(a.arrivals, a.arrivalsBefore)) * t.lifetime.Seconds() * spareShare
	r.Spare = max(0, min(int(expected)-r.First-r.Further, maxSpare))
	r.Unused = p.takeUnused(now)
	return r, p.keeper, true
}

// distribute gives granted tokens to the requests that wait, and keeps the others.
func (t *Taker) distribute(a *accountState, part int, requested, now time.Time, r quotakeeper.Request, g quotakeeper.Granted) {
	p := &a.parts[part]
	p.listAge = g.ListAge
	if g.First < r.First {
		p.refusedUntil[First] = now.Add(g.FirstRetry)
	}
	if g.Further < r.Further {
		p.refusedUntil[Further] = now.Add(g.FurtherRetry)
	}
	granted := token{part: part, requested: requested}
	left := [classes]int{First: g.First, Further: g.Further}
	spare := g.Spare
	if t.expired(now, granted) {
		for range g.First + g.Further + g.Spare {
			p.addUnused(granted)
		}
		left, spare = [classes]int{}, 0
	}
	waiting := a.waiting[:0]
	for _, ticket := range a.waiting {
		switch {
		case ticket.state == canceledTicket:
		case left[ticket.class] > 0:
			left[ticket.class]--
			ticket.grant(granted)
			ticket.decide(grantedTicket)
		default:
			waiting = append(waiting, ticket)
		}
	}
	clear(a.waiting[len(waiting):])
	a.waiting = waiting
	for range left[First] + left[Further] + spare {
		a.tokens = append(a.tokens, granted)
	}
}
