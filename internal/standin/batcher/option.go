package batcher

import (
	"time"

	"github.com/sassafrasspur/sassafrasspur/internal/standin/prefixcache"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

// Option configures a Batcher.
type Option func(*Batcher)

// WithSlots sets the largest batch size.
func WithSlots(n int) Option { return func(b *Batcher) { b.slots = n } }

// WithQueue sets the capacity of the queue.
func WithQueue(n int) Option { return func(b *Batcher) { b.queueLimit = n } }

// WithPrefill sets the prefill rate of each request in tokens per second; 0
// makes prefill immediate.
func WithPrefill(perSecond unit.Tokens) Option { return func(b *Batcher) { b.prefillRate = perSecond } }

// WithDecode sets the duration of a decode step: base plus growth for each
// request in the batch.
func WithDecode(base, growth time.Duration) Option {
	return func(b *Batcher) { b.decodeBase, b.decodeGrowth = base, growth }
}

// WithRetention sets how long a request can be resumed after it has finished.
func WithRetention(d time.Duration) Option { return func(b *Batcher) { b.retention = d } }

// WithLinger sets how long a request continues without a stream before it is
// cancelled.
func WithLinger(d time.Duration) Option { return func(b *Batcher) { b.linger = d } }

// WithLoadLag sets the delay of the load report.
func WithLoadLag(d time.Duration) Option { return func(b *Batcher) { b.loadLag = d } }

// WithFencing sets whether orders and releases with an outdated epoch are
// rejected.
func WithFencing(on bool) Option { return func(b *Batcher) { b.fencing = on } }

// WithCache replaces the default prefix cache.
func WithCache(c *prefixcache.Prefixcache) Option { return func(b *Batcher) { b.cache = c } }

// WithShortest sets the length of the shortest answers as a fraction of
// max_tokens. The length of an answer depends only on its prompt and max_tokens.
func WithShortest(r unit.Ratio) Option { return func(b *Batcher) { b.shortest = r } }
