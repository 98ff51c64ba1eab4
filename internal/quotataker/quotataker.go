package quotataker

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/clientaccount"
	"github.com/sassafrasspur/sassafrasspur/internal/quotaassigner"
	"github.com/sassafrasspur/sassafrasspur/internal/quotakeeper"
	"github.com/sassafrasspur/sassafrasspur/internal/snapshot"
	"github.com/sassafrasspur/sassafrasspur/internal/timer"
)

const (
	// callTimeout bounds a call to a keeper: the round trip between regions, 24 ms, and
	// delays of a busy VM.
	callTimeout = 200 * time.Millisecond
	// silentDelay is the time for which a VM that did not answer is not asked.
	silentDelay = time.Second
	// unavailableDelay is the time for which a VM that is not the keeper of a part is not
	// asked for it. Lists of VMs differ for up to their interval.
	unavailableDelay = 250 * time.Millisecond
	// maxUnusedAge is the age up to which unused tokens are returned. It is below the limit
	// of the keepers by more than the duration of a call.
	maxUnusedAge = 350 * time.Millisecond
	// maxSpare bounds the tokens that are requested in advance.
	maxSpare = 16
	// spareShare is the share of the requests expected within the lifetime of a token for
	// which tokens are requested in advance.
	spareShare = 0.75
	// maxAccounts is the number of accounts above which those without requests for
	// idleAccountTime are removed.
	maxAccounts     = 1024
	idleAccountTime = time.Minute
)

// Class is the class of a request.
type Class int

// The classes of requests.
const (
	// First requests begin a program.
	First Class = iota
	// Further requests belong to a program that has begun.
	Further
	classes
)

// Peers asks other VMs for tokens.
type Peers interface {
	// TakeQuota sends a request to the VM at an address.
	TakeQuota(ctx context.Context, address string, r quotakeeper.Request) (quotakeeper.Answer, error)
}

// Local grants tokens of the parts that this VM keeps.
type Local interface {
	Take(r quotakeeper.Request) quotakeeper.Answer
}

// Taker holds the tokens of a VM. It is safe for concurrent use.
type Taker struct {
	self     ident.VMID
	parts    []ident.Region
	lifetime time.Duration
	local    Local
	peers    Peers
	timers   *timer.Service
	members  func() []snapshot.Member

	mu       sync.Mutex
	accounts map[ident.AccountID]*accountState
	// silentUntil has the times until which VMs that did not answer are not asked.
	silentUntil map[ident.VMID]time.Time
	// assigner is that of the list of members that begins with firstMember.
	assigner    *quotaassigner.Assigner
	firstMember *snapshot.Member
}

// New returns the taker of a VM. Parts has the parts of each quota in the order in which
// their keepers are asked, and members returns the VMs whose row was written recently.
func New(self ident.VMID, parts []ident.Region, lifetime time.Duration, local Local, peers Peers, timers *timer.Service, members func() []snapshot.Member) *Taker {
	return &Taker{
		self: self, parts: parts, lifetime: lifetime, local: local, peers: peers, timers: timers, members: members,
		accounts: map[ident.AccountID]*accountState{}, silentUntil: map[ident.VMID]time.Time{},
	}
}

// now returns the time by a clock that includes suspended time, so that a VM that resumes
// uses no old token.
func (t *Taker) now() time.Time { return time.Unix(0, int64(t.timers.Boot())) }

// Order returns the regions in the order in which a VM of a region asks the keepers of
// their parts: its own first, and the others in turn, so that VMs of different regions
// ask in different orders.
func Order(regions []ident.Region, own ident.Region) []ident.Region {
	i := max(slices.Index(regions, own), 0)
	return slices.Concat(regions[i:], regions[:i])
}

// accountState is what the taker knows about one account.
type accountState struct {
	id      ident.AccountID
	quota   clientaccount.Quota
	version ident.Version
	tokens  []token
	waiting []*Ticket
	// calling is true while a goroutine asks keepers for the account.
	calling bool
	parts   []partState
	usedAt  time.Time
	// assigner is the one by which the keepers of the parts were chosen.
	assigner *quotaassigner.Assigner
	// arrivals counts the requests of the current second, which began at secondAt, and
	// arrivalsBefore those of the one before.
	arrivals, arrivalsBefore int
	secondAt                 time.Time
}

// token permits one request until it expires.
type token struct {
	part      int
	requested time.Time
}

// partState is what the taker knows about one part of a quota.
type partState struct {
	// keeper is the VM that is asked, without an id if there is none, and listAge the age
	// of its list as of its last answer.
	keeper  snapshot.Member
	listAge time.Duration
	// refusedUntil has the times until which the keeper grants no token of a class.
	refusedUntil [classes]time.Time
	// unavailableUntil is the time until which the keeper can't grant, for a reason.
	unavailableUntil time.Time
	reason           quotakeeper.Reason
	// unused is the number of expired tokens, the oldest requested at unusedSince.
	unused      int
	unusedSince time.Time
}

// blocked reports whether the keeper need not be asked for a class.
func (p *partState) blocked(now time.Time, c Class) bool {
	return now.Before(p.unavailableUntil) || now.Before(p.refusedUntil[c])
}

// Take takes a token for a request of an account whose quota is that of a version of the
// configuration. It does not block; the ticket has the outcome.
func (t *Taker) Take(account *clientaccount.Account, version ident.Version, class Class) *Ticket {
	now := t.now()
	t.mu.Lock()
	defer t.mu.Unlock()
	a := t.account(now, account, version)
	a.countArrival(now)
	t.updateKeepers(a)
	ticket := &Ticket{taker: t, account: a, class: class}
	t.expire(now, a)
	if n := len(a.tokens); n > 0 {
		ticket.grant(a.tokens[0])
		a.tokens = slices.Delete(a.tokens, 0, 1)
		return ticket
	}
	if refusal, refused := t.refusal(now, a, class); refused {
		ticket.refusal = refusal
		ticket.state = refusedTicket
		return ticket
	}
	ticket.decided = make(chan struct{})
	a.waiting = append(a.waiting, ticket)
	if !a.calling {
		a.calling = true
		go t.serve(a)
	}
	return ticket
}

// account returns the state of an account with its newest known quota.
func (t *Taker) account(now time.Time, account *clientaccount.Account, version ident.Version) *accountState {
	a, ok := t.accounts[account.ID]
	if !ok {
		t.removeIdle(now)
		a = &accountState{id: account.ID, parts: make([]partState, len(t.parts))}
		t.accounts[account.ID] = a
	}
	if version >= a.version {
		if a.quota != account.Quota {
			// Refusals by the previous quota say nothing about the new one.
			for i := range a.parts {
				a.parts[i].refusedUntil = [classes]time.Time{}
			}
		}
		a.quota, a.version = account.Quota, version
	}
	a.usedAt = now
	return a
}

// removeIdle removes accounts without recent requests if there are many.
func (t *Taker) removeIdle(now time.Time) {
	if len(t.accounts) < maxAccounts {
		return
	}
	for id, a := range t.accounts {
		if !a.calling && now.Sub(a.usedAt) > idleAccountTime {
			delete(t.accounts, id)
		}
	}
}

// countArrival counts a request of the account.
func (a *accountState) countArrival(now time.Time) {
	if age := now.Sub(a.secondAt); age >= time.Second {
		a.arrivalsBefore, a.arrivals, a.secondAt = a.arrivals, 0, now
		if age >= 2*time.Second {
			a.arrivalsBefore = 0
		}
	}
	a.arrivals++
}

// expire removes expired tokens and counts them as unused.
func (t *Taker) expire(now time.Time, a *accountState) {
	a.tokens = slices.DeleteFunc(a.tokens, func(k token) bool {
		if !t.expired(now, k) {
			return false
		}
		a.parts[k.part].addUnused(k)
		return true
	})
}

func (t *Taker) expired(now time.Time, k token) bool { return now.Sub(k.requested) > t.lifetime }

// addUnused counts a token that expired without use.
func (p *partState) addUnused(k token) {
	if p.unused == 0 || k.requested.Before(p.unusedSince) {
		p.unusedSince = k.requested
	}
	p.unused++
}

// takeUnused returns the number of unused tokens to return, and resets it.
func (p *partState) takeUnused(now time.Time) int {
	n := p.unused
	p.unused = 0
	if now.Sub(p.unusedSince) > maxUnusedAge {
		return 0
	}
	return n
}

// updateKeepers sets the keepers of an account's parts by the newest list of VMs. What is
// known of a part does not hold for its next keeper.
func (t *Taker) updateKeepers(a *accountState) {
	members := t.members()
	if len(members) > 0 && t.firstMember != &members[0] {
		t.firstMember = &members[0]
		if next := quotaassigner.New(members); t.assigner == nil || !t.assigner.Equal(next) {
			t.assigner = next
		}
	}
	if t.assigner == a.assigner {
		return
	}
	a.assigner = t.assigner
	for i := range a.parts {
		keeper, _ := t.assigner.Keeper(a.id, t.parts[i])
		if p := &a.parts[i]; p.keeper.VM != keeper.VM || p.keeper.PeerAddress != keeper.PeerAddress {
			*p = partState{keeper: keeper}
		}
	}
}
