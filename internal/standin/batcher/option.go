package batcher

import (
	"time"

	"github.com/sassafrasspur/sassafrasspur/internal/standin/cacher"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

// Option changes how New builds a Batcher.
type Option func(*Batcher)

// WithSlots sets the largest batch.
func WithSlots(n int) Option { return func(b *Batcher) { b.slots = n } }

// WithQueue sets how many requests may wait.
func WithQueue(n int) Option { return func(b *Batcher) { b.queueLimit = n } }

// WithPrefill sets the speed of prefill of each request, in tokens a second;
// 0 makes it immediate.
func WithPrefill(perSecond unit.Tokens) Option { return func(b *Batcher) { b.prefill = perSecond } }

// WithDecode sets the duration of a decode step: base, and growth for each
// request of the batch.
func WithDecode(base, growth time.Duration) Option {
	return func(b *Batcher) { b.decodeBase, b.decodeGrowth = base, growth }
}

// WithRetention sets how long a finished request can be resumed.
func WithRetention(d time.Duration) Option { return func(b *Batcher) { b.retention = d } }

// WithLinger sets how long a request without a stream goes on.
func WithLinger(d time.Duration) Option { return func(b *Batcher) { b.linger = d } }

// WithLoadLag sets the age of the load report.
func WithLoadLag(d time.Duration) Option { return func(b *Batcher) { b.loadLag = d } }

// WithFencing makes the engine reject orders and releases of old epochs.
func WithFencing(on bool) Option { return func(b *Batcher) { b.fencing = on } }

// WithCache sets the prefix cache.
func WithCache(c *cacher.Cacher) Option { return func(b *Batcher) { b.cache = c } }

// WithShortest sets the length of the shortest answers as a part of max_tokens.
// The length of an answer depends on its prompt only.
func WithShortest(r unit.Ratio) Option { return func(b *Batcher) { b.shortest = r } }
