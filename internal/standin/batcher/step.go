package batcher

import (
	"sort"
	"time"

	"github.com/sassafrasspur/sassafrasspur/internal/standin/prefixcache"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

// Tick executes the decode steps and the expirations that are due. It returns
// the time of the next one.
func (b *Batcher) Tick(now time.Time) time.Time {
	for {
		next := b.next()
		if next.IsZero() || next.After(now) {
			return next
		}
		b.runDue(next)
		b.recordLoad(next)
	}
}

// next returns the time of the next step or expiration, or the zero time if
// there is none.
func (b *Batcher) next() time.Time {
	next := b.nextStep
	for _, deadlines := range [][]deadline{b.lingering, b.retained} {
		if len(deadlines) > 0 && (next.IsZero() || deadlines[0].time.Before(next)) {
			next = deadlines[0].time
		}
	}
	return next
}

func (b *Batcher) runDue(now time.Time) {
	for len(b.lingering) > 0 && !b.lingering[0].time.After(now) {
		r := b.lingering[0].request
		b.lingering = b.lingering[1:]
		// If a stream attached in the meantime, detachedAt was reset, and if it
		// ended again, its own deadline is further back in the list.
		if !r.detachedAt.IsZero() && !r.detachedAt.Add(b.linger).After(now) && r.phase < phaseFinished {
			b.cancel(r)
		}
	}
	for len(b.retained) > 0 && !b.retained[0].time.After(now) {
		r := b.retained[0].request
		b.retained = b.retained[1:]
		if b.requests[r.ID] == r {
			delete(b.requests, r.ID)
		}
	}
	if !b.nextStep.IsZero() && !b.nextStep.After(now) {
		b.step(now)
	}
}

// step produces one token for each running request whose prefill has ended.
func (b *Batcher) step(now time.Time) {
	stillRunning := b.running[:0]
	for _, r := range b.running {
		if !r.prefillEnd.After(now) {
			if r.produced == 0 {
				b.cache.Store(now, r.Program, r.Prompt)
			}
			r.produced++
			b.stats.OutputTokens++
			if r.produced >= r.total {
				b.finish(now, r)
			}
			r.notify()
		}
		if r.phase == phaseRunning {
			stillRunning = append(stillRunning, r)
		}
	}
	clear(b.running[len(stillRunning):])
	b.running = stillRunning
	b.schedule(now)
}

func (b *Batcher) finish(now time.Time, r *request) {
	r.phase = phaseFinished
	b.cache.Unpin(r.Program)
	tokens := append(make([]prefixcache.Token, 0, len(r.Prompt)+int(r.total)), r.Prompt...)
	for i := unit.Tokens(0); i < r.total; i++ {
		tokens = append(tokens, TokenOf(Word(r.Digest, i)))
	}
	b.cache.Store(now, r.Program, tokens)
	r.Prompt = nil
	b.retained = append(b.retained, deadline{time: now.Add(b.retention), request: r})
}

// schedule fills the batch from the queue and schedules the next step.
func (b *Batcher) schedule(now time.Time) {
	for len(b.running) < b.slots && len(b.waiting) > 0 {
		r := b.waiting[0]
		b.waiting[0] = nil
		b.waiting = b.waiting[1:]
		b.start(now, r)
	}
	if len(b.running) == 0 {
		b.nextStep = time.Time{}
		return
	}
	earliest := b.running[0].prefillEnd
	for _, r := range b.running {
		if r.prefillEnd.Before(earliest) {
			earliest = r.prefillEnd
		}
	}
	b.nextStep = now.Add(b.decodeBase + time.Duration(len(b.running))*b.decodeGrowth)
	if earliest.After(b.nextStep) {
		b.nextStep = earliest
	}
}

func (b *Batcher) start(now time.Time, r *request) {
	r.phase = phaseRunning
	r.cached = b.cache.Match(r.Program, r.Prompt)
	b.cache.Pin(r.Program)
	uncachedTokens := unit.Tokens(len(r.Prompt)) - r.cached
	b.stats.CachedTokens += r.cached
	b.stats.PrefillTokens += uncachedTokens
	r.prefillEnd = now
	if b.prefillRate > 0 {
		r.prefillEnd = now.Add(time.Duration(float64(uncachedTokens) / float64(b.prefillRate) * float64(time.Second)))
	}
	b.running = append(b.running, r)
}

// enqueue inserts a request behind those whose priority value is the same or
// lower; lower values are served first.
func (b *Batcher) enqueue(r *request) {
	i := sort.Search(len(b.waiting), func(i int) bool { return b.waiting[i].Priority > r.Priority })
	b.waiting = append(b.waiting, nil)
	copy(b.waiting[i+1:], b.waiting[i:])
	b.waiting[i] = r
}
