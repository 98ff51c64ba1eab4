// Package batcher is the state machine of the engine stand-in: continuous
// batching, the queue, the prefix cache and the orders of the control plane.
//
// Time advances in decode steps. In each step every request of the batch whose
// prefill has ended produces one token; requests join and leave the batch
// between steps. Overdue steps are executed as of the times at which they were
// due, so the result does not depend on when Tick is called. The package does
// no I/O: progress is sent to buffered channels.
package batcher

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/standin/delayer"
	"github.com/sassafrasspur/sassafrasspur/internal/standin/prefixcache"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

// Batcher is the state machine of an engine. It is not safe for concurrent use.
type Batcher struct {
	slots        int
	queueLimit   int
	prefillRate  unit.Tokens
	decodeBase   time.Duration
	decodeGrowth time.Duration
	retention    time.Duration
	linger       time.Duration
	loadLag      time.Duration
	fencing      bool
	shortest     unit.Ratio

	cache    *prefixcache.Prefixcache
	load     *delayer.Delayer[Load]
	leaving  bool
	requests map[RequestID]*request
	running  []*request
	waiting  []*request
	nextStep time.Time
	// lingering and retained are ordered by deadline, since all entries of a
	// list have the same delay.
	lingering  []deadline
	retained   []deadline
	lastStream StreamID
	epochs     map[string]ident.Epoch
	stats      Stats
}

type deadline struct {
	time    time.Time
	request *request
}

type phase int

const (
	phaseWaiting phase = iota
	phaseRunning
	phaseFinished
	phaseCancelled
)

type request struct {
	Submit
	phase      phase
	prefillEnd time.Time
	total      unit.Tokens
	produced   unit.Tokens
	cached     unit.Tokens
	streams    map[StreamID]chan Progress
	// detachedAt is when the last stream ended; zero while a stream is attached.
	detachedAt time.Time
}

// New returns an idle Batcher.
func New(options ...Option) *Batcher {
	b := &Batcher{
		slots: 16, queueLimit: 256, prefillRate: 8000,
		decodeBase: 20 * time.Millisecond, decodeGrowth: 500 * time.Microsecond,
		retention: 30 * time.Second, linger: 5 * time.Second, shortest: 1,
		requests: map[RequestID]*request{}, epochs: map[string]ident.Epoch{},
	}
	for _, option := range options {
		option(b)
	}
	if b.cache == nil {
		b.cache = prefixcache.New()
	}
	b.load = delayer.New(b.loadLag, Load{})
	return b
}

// Word returns the token of an answer at index, without the space that follows
// it.
func Word(prompt Digest, index unit.Tokens) string {
	return strconv.FormatUint(1<<32|uint64(prompt), 16)[1:] + "." + strconv.FormatInt(int64(index), 10)
}

// TokenOf returns the hash of a token's text.
func TokenOf(word string) prefixcache.Token { return prefixcache.Token(xxhash.Sum64String(word)) }

// Handle executes a command.
func (b *Batcher) Handle(now time.Time, c Command) Reply {
	reply := b.handle(now, c)
	b.recordLoad(now)
	return reply
}

func (b *Batcher) handle(now time.Time, c Command) Reply {
	switch c := c.(type) {
	case Submit:
		return b.submit(now, c)
	case Detach:
		b.detach(now, c)
	case Cancel:
		b.cancel(b.requests[c.ID])
	case SetLeaving:
		b.leaving = c.Leaving
	case Release:
		return b.release(now, c)
	case Export:
		return Exported{Tokens: b.cache.Export(c.Program)}
	case Import:
		b.cache.Store(now, c.Program, c.Tokens)
	case Order:
		return b.order(c)
	case ReadLoad:
		return b.load.Get(now)
	case ReadResidents:
		sequence, programs := b.cache.Residents()
		return Residents{Sequence: sequence, Programs: programs}
	case ReadEvents:
		return Events{Events: b.cache.Events(now, c.After)}
	case ReadStats:
		stats := b.stats
		stats.EvictedTokens = b.cache.EvictedTokens()
		stats.Orders = append([]Order{}, stats.Orders...)
		for _, r := range b.requests {
			stats.Streams += len(r.streams)
		}
		return stats
	}
	return Done{}
}

// fence records the epoch of a key. If a higher epoch was seen for the key, it
// returns that epoch and whether fencing rejects the command.
func (b *Batcher) fence(key string, epoch ident.Epoch) (ident.Epoch, bool) {
	if seen := b.epochs[key]; epoch < seen {
		return seen, b.fencing
	}
	b.epochs[key] = epoch
	return 0, false
}

func (b *Batcher) release(now time.Time, c Release) Reply {
	if seen, fenced := b.fence("program/"+string(c.Program), c.Epoch); fenced {
		b.stats.RejectedOrders++
		return Fenced{Seen: seen}
	}
	b.cache.Release(now, c.Program)
	return Done{}
}

func (b *Batcher) order(c Order) Reply {
	if seen, fenced := b.fence("name/"+c.Name, c.Epoch); fenced {
		b.stats.RejectedOrders++
		return Fenced{Seen: seen}
	}
	b.stats.Orders = append(b.stats.Orders, c)
	return Done{}
}

func (b *Batcher) recordLoad(now time.Time) {
	load := Load{Running: len(b.running), Waiting: len(b.waiting), Leaving: b.leaving}
	for _, r := range b.waiting {
		load.WaitingTokens += unit.Tokens(len(r.Prompt))
	}
	b.load.Set(now, load)
}
