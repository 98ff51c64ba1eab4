package quotataker

import (
	"context"
	"time"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/quotakeeper"
)

// Refusal says why a request has no token.
type Refusal struct {
	// Unavailable is true if no keeper could be asked, so that the quota may not be used
	// up. Reason is then that of the part.
	Unavailable bool
	Reason      quotakeeper.Reason
	// RetryAfter is the time after which a keeper may grant a token.
	RetryAfter time.Duration
	// Part is the part that may grant first, Keeper its keeper and ListAge the age of the
	// list of VMs by which it decided.
	Part    ident.Region
	Keeper  ident.VMID
	ListAge time.Duration
}

// ticketState is the state of a ticket.
type ticketState int

const (
	waitingTicket ticketState = iota
	grantedTicket
	refusedTicket
	usedTicket
	canceledTicket
)

// Ticket is the outcome of a request for a token. Its fields are guarded by the lock of
// the taker; decided is closed when a waiting ticket is decided, and nil if it was decided
// at once.
type Ticket struct {
	taker   *Taker
	account *accountState
	class   Class
	state   ticketState
	token   token
	refusal Refusal
	decided chan struct{}
	// onRefused is called if the ticket is refused, nil if there is nothing to call.
	onRefused func()
}

func (k *Ticket) grant(t token) { k.token, k.state = t, grantedTicket }

// decide ends the wait for a ticket.
func (k *Ticket) decide(s ticketState) {
	k.state = s
	close(k.decided)
	if s == refusedTicket && k.onRefused != nil {
		k.onRefused()
	}
}

// OnRefused calls f, which must not block, once the ticket is refused.
func (k *Ticket) OnRefused(f func()) {
	k.taker.mu.Lock()
	defer k.taker.mu.Unlock()
	k.onRefused = f
	if k.state == refusedTicket {
		f()
	}
}

// Granted reports whether the ticket has a token that is not used.
func (k *Ticket) Granted() bool {
	k.taker.mu.Lock()
	defer k.taker.mu.Unlock()
	return k.state == grantedTicket
}

// Refused returns the refusal, false if the ticket is not refused.
func (k *Ticket) Refused() (Refusal, bool) {
	k.taker.mu.Lock()
	defer k.taker.mu.Unlock()
	return k.refusal, k.state == refusedTicket
}

// Use waits for the token and uses it. It reports false if the token has expired, so that
// another one has to be taken. If the ticket is refused, it returns the refusal.
func (k *Ticket) Use(ctx context.Context) (bool, *Refusal, error) {
	if k.decided != nil {
		select {
		case <-k.decided:
		case <-ctx.Done():
			return false, nil, ctx.Err()
		}
	}
	t := k.taker
	now := t.now()
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case k.state == refusedTicket:
		return false, &k.refusal, nil
	case t.expired(now, k.token):
		k.account.parts[k.token.part].addUnused(k.token)
		k.state = canceledTicket
		return false, nil, nil
	}
	k.state = usedTicket
	return true, nil, nil
}

// Cancel returns the token of a ticket that was not used.
func (k *Ticket) Cancel() {
	k.taker.mu.Lock()
	defer k.taker.mu.Unlock()
	switch k.state {
	case grantedTicket:
		k.account.tokens = append(k.account.tokens, k.token)
	case waitingTicket:
	default:
		return
	}
	k.state = canceledTicket
}

// refusal returns the refusal of a class, false if a keeper may grant a token. It must be
// called with the lock.
func (t *Taker) refusal(now time.Time, a *accountState, c Class) (Refusal, bool) {
	r := Refusal{Unavailable: true}
	var earliest time.Time
	for i := range a.parts {
		p := &a.parts[i]
		until, unavailable := p.refusedUntil[c], false
		if now.Before(p.unavailableUntil) {
			until, unavailable = p.unavailableUntil, true
		}
		if !now.Before(until) {
			return Refusal{}, false
		}
		// A part that is used up tells more than one that can't be asked.
		better := unavailable == r.Unavailable && (earliest.IsZero() || until.Before(earliest))
		if better || r.Unavailable && !unavailable {
			earliest = until
			r = Refusal{
				Unavailable: unavailable, RetryAfter: until.Sub(now),
				Part: t.parts[i], Keeper: p.keeper.VM, ListAge: p.listAge,
			}
			if unavailable {
				r.Reason = p.reason
			}
		}
	}
	return r, true
}
