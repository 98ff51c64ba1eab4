package quotakeeper

import (
	"math"
	"time"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/clientaccount"
)

const (
	// returnHorizon is the age up to which tokens may be returned.
	returnHorizon = 500 * time.Millisecond
	// plentyShare is the level, as a share of the capacity, above which spare tokens are
	// granted, and which programs under way are left at most.
	plentyShare = 0.5
	// reserveShare bounds the tokens kept for programs under way within the quota, as a
	// share of the capacity.
	reserveShare = 0.25
	// programHalfLife is the time after which a counted request weighs half in the number
	// of requests of a program.
	programHalfLife = time.Minute
	// maxFurther bounds the measured number of requests of a program after its first.
	maxFurther = 64
	// maxRetry bounds a stated retry delay.
	maxRetry = 10 * time.Second
	// minRetry is the shortest stated retry delay, so that an asker does not repeat a
	// request at once.
	minRetry = 10 * time.Millisecond
)

// bucket is the token bucket of one part.
type bucket struct {
	limits  Limits
	parts   int
	quota   clientaccount.Quota
	version ident.Version
	// since is the time from which all lists up to the one numbered list have named this
	// VM as keeper. list is 0 if there is none.
	since time.Time
	list  int
	// fullFrom is the time from which the part is granted in full.
	fullFrom time.Time
	// at is the time up to which the bucket has been filled.
	at    time.Time
	level float64
	// granted has the tokens granted in the current period of returnHorizon, which began
	// at periodAt, and in the one before it.
	granted, grantedBefore float64
	periodAt               time.Time
	// fullAt is the last time at which the bucket would have been full had no token
	// granted in the return horizon been used. Tokens granted before it can't be
	// returned: they would have overflowed.
	fullAt time.Time
	// shortAt is the last time at which a request was refused.
	shortAt time.Time
	// first and further count granted requests, with weights that halve each
	// programHalfLife.
	first, further float64
	// handedOver is the number of tokens granted as a new keeper, the last one at
	// handedOverAt.
	handedOver   float64
	handedOverAt time.Time
}

func (b *bucket) rate() float64     { return float64(b.quota.Rate) / float64(b.parts) }
func (b *bucket) capacity() float64 { return b.limits.capacity(b.quota, b.parts) }

// setQuota applies the quota of a version of the configuration, unless a newer one is
// known. A lower limit binds at once.
func (b *bucket) setQuota(q clientaccount.Quota, version ident.Version) {
	if version < b.version {
		return
	}
	b.quota, b.version = q, version
}

// reset empties the bucket for a VM that lists have named as keeper since a list.
func (b *bucket) reset(since list) {
	b.since, b.fullFrom = since.from, since.from.Add(HandoverDelay)
	if since.restarted {
		b.fullFrom = since.from
	}
	b.at = b.fullFrom
	b.periodAt, b.fullAt = b.at, b.at
	b.level, b.granted, b.grantedBefore, b.shortAt = 0, 0, 0, time.Time{}
}

// fill adds the tokens that have accrued.
func (b *bucket) fill(now time.Time) {
	elapsed := now.Sub(b.at)
	if elapsed < 0 {
		return
	}
	b.at = now
	b.level = min(b.level+b.rate()*elapsed.Seconds(), b.capacity())
	weight := math.Exp2(-elapsed.Seconds() / programHalfLife.Seconds())
	b.first, b.further = b.first*weight, b.further*weight
	if b.level+b.granted+b.grantedBefore >= b.capacity() {
		b.fullAt = now
	}
	if age := now.Sub(b.periodAt); age >= returnHorizon {
		b.grantedBefore, b.granted, b.periodAt = b.granted, 0, now
		if age >= 2*returnHorizon {
			b.grantedBefore = 0
		}
	}
}

// furtherPerProgram returns the number of requests that a program makes after its first.
// The additional program in the divisor makes a small sample count less.
func (b *bucket) furtherPerProgram() float64 {
	return min(b.further/(b.first+1), maxFurther)
}

// isShort reports whether the account exceeded the quota of the part recently: in the time
// in which two tokens accrue, and a second at least. Longer periods refuse new programs
// within the quota after a single refusal.
func (b *bucket) isShort() bool {
	return b.at.Sub(b.shortAt) < max(time.Second, b.timeToFill(2))
}

// reserve returns the tokens that are kept for programs under way. Within the quota it
// takes from the increase of the burst only, so that new programs have the whole
// configured burst.
func (b *bucket) reserve() float64 {
	if b.isShort() {
		return min(b.furtherPerProgram(), plentyShare*b.capacity(), b.capacity()-1)
	}
	increase := b.limits.burstIncrease() / float64(b.parts)
	return max(0, min(b.furtherPerProgram(), increase-1, reserveShare*b.capacity()))
}

// returnUnused adds tokens that were not used, if they can't have overflowed meanwhile.
func (b *bucket) returnUnused(now time.Time, n int) {
	if now.Sub(b.fullAt) <= returnHorizon {
		return
	}
	returned := min(float64(n), b.granted+b.grantedBefore)
	b.level += returned
	before := min(returned, b.grantedBefore)
	b.grantedBefore -= before
	b.granted -= returned - before
}

// grant grants the tokens of a request as far as the bucket allows. Programs under way
// come first.
func (b *bucket) grant(r Request) Granted {
	var g Granted
	g.Further = min(r.Further, int(b.level))
	b.level -= float64(g.Further)
	b.further += float64(g.Further)
	g.First = max(0, min(r.First, int(b.level-b.reserve())))
	b.level -= float64(g.First)
	b.first += float64(g.First)
	if g.First == r.First && g.Further == r.Further {
		g.Spare = min(r.Spare, max(0, int(b.level-plentyShare*b.capacity())))
		b.level -= float64(g.Spare)
	}
	b.granted += float64(g.First + g.Further + g.Spare)
	if g.First+g.Further < r.First+r.Further {
		b.shortAt = b.at
	}
	if g.Further < r.Further {
		g.FurtherRetry = b.timeToFill(1 - b.level)
	}
	if g.First < r.First {
		g.FirstRetry = b.timeToFill(1 + b.reserve() - b.level)
	}
	return g
}

// timeToFill returns the time in which a number of tokens accrue, between the bounds of a
// retry delay.
func (b *bucket) timeToFill(tokens float64) time.Duration {
	seconds := min(tokens/b.rate(), maxRetry.Seconds())
	return max(time.Duration(seconds*float64(time.Second)), minRetry)
}

// grantAsNew grants the tokens that a new keeper may grant before it knows that the
// previous one has stopped.
func (b *bucket) grantAsNew(now time.Time, r Request) Granted {
	if now.Sub(b.handedOverAt) >= b.limits.Window+b.limits.TokenLifetime() {
		b.handedOver = 0
	}
	left := int(b.limits.handoverAllowance(b.quota, b.parts) - b.handedOver)
	g := Granted{Further: min(r.Further, max(left, 0))}
	g.First = min(r.First, max(left-g.Further, 0))
	if n := g.First + g.Further; n > 0 {
		b.handedOver += float64(n)
		b.handedOverAt = now
	}
	return g
}
