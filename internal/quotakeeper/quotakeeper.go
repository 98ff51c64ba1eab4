package quotakeeper

import (
	"time"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/quotaassigner"
)

const (
	// MaxListAge is the age of the list of VMs above which a VM grants nothing.
	MaxListAge = 7 * time.Second
	// maxListGap is the time between two lists above which other VMs may have been keepers
	// in between. Only a VM that was not on the list can become keeper, and its row stays
	// on the list for a minute after its last write.
	maxListGap = 45 * time.Second
	// HandoverDelay is the time for which a VM that is new on the list waits until the
	// previous keeper can no longer grant by an old list. The store answers from states
	// that are up to 3 s old.
	HandoverDelay = MaxListAge + 3*time.Second
	// historyRetention is how long superseded lists are kept. A part that was not used for
	// longer has a bucket that fills from the oldest list.
	historyRetention = time.Minute
	// sweepInterval is the interval at which buckets that are full, and therefore equal to
	// a new one, are removed.
	sweepInterval = 30 * time.Second
)

// Keeper holds the buckets of the parts that a VM keeps.
type Keeper struct {
	self   ident.VMID
	limits Limits
	parts  int
	// lists has the lists that this VM had without a gap, the newest last.
	lists []list
	// newest is the number of the newest list.
	newest int
	// asOf is the time of the newest list, zero before the first one.
	asOf    time.Time
	buckets map[partID]*bucket
	sweptAt time.Time
}

// list is a list of VMs that was received at a time. Lists are numbered; a number is left
// out at each gap.
type list struct {
	number int
	from   time.Time
	// restarted is true for the first list of a VM that was on the lists of others before
	// its process started. Its predecessor was the keeper of the same parts and has ended.
	restarted bool
	assigner  *quotaassigner.Assigner
}

type partID struct {
	account ident.AccountID
	part    ident.Region
}

// New returns the keeper of a VM. Each quota has a number of parts.
func New(self ident.VMID, parts int, limits Limits) *Keeper {
	return &Keeper{self: self, limits: limits, parts: max(parts, 1), buckets: map[partID]*bucket{}}
}

// UpdateList sets the list of VMs as of a time. Between two lists that are further apart
// than maxListGap, other VMs may have been keepers, so that the parts are then handed
// over as to a new keeper. The first list of a VM that was on the lists of others before
// its process started is marked as restarted.
func (k *Keeper) UpdateList(now, asOf time.Time, a *quotaassigner.Assigner, restarted bool) {
	if !asOf.After(k.asOf) {
		return
	}
	restarted = restarted && k.asOf.IsZero()
	if k.asOf.IsZero() || asOf.Sub(k.asOf) > maxListGap {
		k.lists = nil
		k.newest++
	}
	k.asOf = asOf
	if n := len(k.lists); n == 0 || !k.lists[n-1].assigner.Equal(a) {
		k.newest++
		k.lists = append(k.lists, list{number: k.newest, from: now, restarted: restarted, assigner: a})
	}
	for len(k.lists) > 1 && now.Sub(k.lists[1].from) > historyRetention {
		k.lists = k.lists[1:]
	}
	if now.Sub(k.sweptAt) >= sweepInterval {
		k.sweep(now)
	}
}

// sweep removes buckets that equal new ones.
func (k *Keeper) sweep(now time.Time) {
	k.sweptAt = now
	for id, b := range k.buckets {
		if now.Sub(b.handedOverAt) < k.limits.Window+k.limits.TokenLifetime() {
			continue
		}
		if !k.isNamed(id, b) {
			delete(k.buckets, id)
			continue
		}
		b.fill(now)
		if b.level >= b.capacity() && b.first+b.further < 1 {
			delete(k.buckets, id)
		}
	}
}

// isNamed reports whether the newest list names this VM as the keeper of a part. It
// empties the bucket if a list since its last use named another VM.
func (k *Keeper) isNamed(id partID, b *bucket) bool {
	if b.list == k.newest {
		return true
	}
	var since list
	for i := len(k.lists) - 1; i >= 0; i-- {
		l := k.lists[i]
		if l.number == b.list {
			b.list = k.newest
			return true
		}
		keeper, ok := l.assigner.Keeper(id.account, id.part)
		if !ok || keeper.VM != k.self {
			break
		}
		since = l
	}
	if since.assigner == nil {
		return false
	}
	b.list = k.newest
	b.reset(since)
	return true
}

// Take decides on a request.
func (k *Keeper) Take(now time.Time, r Request) Answer {
	if k.asOf.IsZero() {
		return Unavailable{Reason: ListTooOld, Retry: HandoverDelay}
	}
	age := now.Sub(k.asOf)
	if age > MaxListAge {
		return Unavailable{Reason: ListTooOld, Retry: HandoverDelay, ListAge: age}
	}
	id := partID{account: r.Account, part: r.Part}
	b, known := k.buckets[id]
	if !known {
		b = &bucket{limits: k.limits, parts: k.parts}
	}
	if !k.isNamed(id, b) {
		return Unavailable{Reason: NotKeeper, ListAge: age}
	}
	k.buckets[id] = b
	b.setQuota(r.quota(), r.Version)
	if now.Before(b.fullFrom) {
		return k.takeAsNew(now, b, r, age)
	}
	b.fill(now)
	b.returnUnused(now, r.Unused)
	g := b.grant(r)
	g.ListAge = age
	return g
}

// takeAsNew decides on a request to a new keeper. A VM that had no list before the one
// that names it, as after its start, grants nothing: when many VMs start together, each
// of them may know only itself.
func (k *Keeper) takeAsNew(now time.Time, b *bucket, r Request, age time.Duration) Answer {
	fullIn := b.fullFrom.Sub(now)
	if b.since.Sub(k.lists[0].from) < HandoverDelay && !k.lists[0].restarted {
		return Unavailable{Reason: NewKeeper, Retry: fullIn, ListAge: age}
	}
	g := b.grantAsNew(now, r)
	g.ListAge = age
	if g.First+g.Further == 0 {
		return Unavailable{Reason: NewKeeper, Retry: fullIn, ListAge: age}
	}
	if g.First < r.First {
		g.FirstRetry = fullIn
	}
	if g.Further < r.Further {
		g.FurtherRetry = fullIn
	}
	return g
}
