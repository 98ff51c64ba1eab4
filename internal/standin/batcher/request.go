package batcher

import (
	"slices"
	"time"

	"github.com/sassafrasspur/sassafrasspur/unit"
)

func (b *Batcher) submit(now time.Time, c Submit) Reply {
	known, ok := b.requests[c.ID]
	switch {
	case ok && c.Resume:
		if known.Digest != c.Digest || c.ResumeFrom > known.total {
			return RequestMismatch{}
		}
		return b.attach(known, c.Progress, false)
	case c.Resume && c.ResumeFrom > 0:
		return RequestUnknown{}
	case b.leaving:
		return Leaving{}
	case len(b.running) >= b.slots && len(b.waiting) >= b.queueLimit:
		return QueueFull{}
	case ok:
		// A known request that is sent again without resume is recomputed.
		b.cancel(known)
	}
	r := &request{Submit: c, total: b.answerTokens(c), streams: map[StreamID]chan Progress{}}
	b.requests[c.ID] = r
	b.enqueue(r)
	if len(b.running) < b.slots {
		b.admit(now)
	}
	return b.attach(r, c.Progress, true)
}

// admit starts waiting requests without delaying a step that is already
// scheduled.
func (b *Batcher) admit(now time.Time) {
	scheduled := b.nextStep
	b.schedule(now)
	if !scheduled.IsZero() && scheduled.Before(b.nextStep) {
		b.nextStep = scheduled
	}
}

func (b *Batcher) answerTokens(c Submit) unit.Tokens {
	shortest := max(1, unit.Tokens(float64(b.shortest)*float64(c.MaxTokens)))
	if shortest >= c.MaxTokens {
		return max(1, c.MaxTokens)
	}
	return shortest + unit.Tokens(c.Digest)%(c.MaxTokens-shortest+1)
}

func (b *Batcher) attach(r *request, progress chan Progress, started bool) Reply {
	b.lastStream++
	r.streams[b.lastStream] = progress
	r.detachedAt = time.Time{}
	r.notify()
	return Accepted{Stream: b.lastStream, Total: r.total, Started: started}
}

func (b *Batcher) detach(now time.Time, c Detach) {
	r, ok := b.requests[c.ID]
	if !ok {
		return
	}
	if _, ok := r.streams[c.Stream]; !ok {
		return
	}
	delete(r.streams, c.Stream)
	if len(r.streams) == 0 && r.phase < phaseFinished {
		r.detachedAt = now
		b.lingering = append(b.lingering, deadline{time: now.Add(b.linger), request: r})
	}
}

// cancel ends a request and removes it, so that it can't be resumed.
func (b *Batcher) cancel(r *request) {
	if r == nil {
		return
	}
	if b.requests[r.ID] == r {
		delete(b.requests, r.ID)
	}
	switch r.phase {
	case phaseWaiting:
		b.waiting = slices.DeleteFunc(b.waiting, func(other *request) bool { return other == r })
	case phaseRunning:
		b.running = slices.DeleteFunc(b.running, func(other *request) bool { return other == r })
		b.cache.Unpin(r.Program)
	case phaseFinished, phaseCancelled:
		return
	}
	r.phase = phaseCancelled
	r.notify()
}

// notify sends the current progress to all streams and replaces progress that a
// stream has not read. Only the batcher's goroutine sends, so a channel has room
// after the receive.
func (r *request) notify() {
	p := Progress{
		Produced: r.produced, Cached: r.cached,
		Finished: r.phase == phaseFinished, Cancelled: r.phase == phaseCancelled,
	}
	for _, stream := range r.streams {
		select {
		case <-stream:
		default:
		}
		stream <- p
	}
}
