// Package engine is the stand-in of a model engine.
//
// It serves OpenAI's completions with server-sent events and the orders of
// docs/protocols.md on top of package batcher, whose state one goroutine owns.
// Answers depend on the prompt only: word i of an answer is
// batcher.Word(digest of the prompt, i).
package engine

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sassafrasspur/sassafrasspur/internal/standin/batcher"
	"github.com/sassafrasspur/sassafrasspur/internal/standin/cacher"
	"github.com/sassafrasspur/sassafrasspur/internal/standin/injector"
	"github.com/sassafrasspur/sassafrasspur/internal/standin/runner"
	"github.com/sassafrasspur/sassafrasspur/internal/timer"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

// Engine is a model engine. It is safe for concurrent use.
type Engine struct {
	timers   *timer.Service
	batching []batcher.Option
	caching  []cacher.Option
	kvBytes  unit.Bytes

	runner    *runner.Runner[batcher.Command, batcher.Reply]
	injector  *injector.Injector
	handler   http.Handler
	exported  atomic.Int64
	closing   chan struct{}
	closeOnce sync.Once
}

// Option changes how New builds an Engine.
type Option func(*Engine)

func batching(o batcher.Option) Option {
	return func(e *Engine) { e.batching = append(e.batching, o) }
}

func caching(o cacher.Option) Option {
	return func(e *Engine) { e.caching = append(e.caching, o) }
}

// WithTimers sets the timer service.
func WithTimers(t *timer.Service) Option { return func(e *Engine) { e.timers = t } }

// WithSlots sets the largest batch.
func WithSlots(n int) Option { return batching(batcher.WithSlots(n)) }

// WithQueue sets how many requests may wait.
func WithQueue(n int) Option { return batching(batcher.WithQueue(n)) }

// WithPrefill sets the speed of prefill of each request in tokens a second; 0
// makes it immediate.
func WithPrefill(perSecond unit.Tokens) Option { return batching(batcher.WithPrefill(perSecond)) }

// WithDecode sets the duration of a decode step and its growth for each
// request of the batch.
func WithDecode(base, growth time.Duration) Option { return batching(batcher.WithDecode(base, growth)) }

// WithRetention sets how long a finished request can be resumed.
func WithRetention(d time.Duration) Option { return batching(batcher.WithRetention(d)) }

// WithLinger sets how long a request goes on after its client has gone.
func WithLinger(d time.Duration) Option { return batching(batcher.WithLinger(d)) }

// WithLoadLag sets the age of the load report.
func WithLoadLag(d time.Duration) Option { return batching(batcher.WithLoadLag(d)) }

// WithFencing makes the engine reject orders and releases of old epochs.
func WithFencing(on bool) Option { return batching(batcher.WithFencing(on)) }

// WithShortest sets the shortest answer as a part of max_tokens.
func WithShortest(r unit.Ratio) Option { return batching(batcher.WithShortest(r)) }

// WithCacheLimit sets the tokens that the prefix cache can hold.
func WithCacheLimit(limit unit.Tokens) Option { return caching(cacher.WithLimit(limit)) }

// WithEventLag sets the time until a cache event becomes visible.
func WithEventLag(d time.Duration) Option { return caching(cacher.WithEventLag(d)) }

// WithGapEvery leaves out every n-th cache event; 0 leaves out none.
func WithGapEvery(n int) Option { return caching(cacher.WithGapEvery(n)) }

// WithKVBytes sets the size of one token in an exported prefix, at least 4.
func WithKVBytes(perToken unit.Bytes) Option {
	return func(e *Engine) { e.kvBytes = max(perToken, minKVBytes) }
}

// New starts an engine. Close ends it.
func New(options ...Option) *Engine {
	e := &Engine{timers: timer.New(), kvBytes: minKVBytes, closing: make(chan struct{})}
	for _, option := range options {
		option(e)
	}
	state := batcher.New(append(e.batching, batcher.WithCache(cacher.New(e.caching...)))...)
	e.runner = runner.New[batcher.Command, batcher.Reply](state, e.timers)
	e.injector = injector.New(injector.WithTimers(e.timers), injector.WithLeavingCallback(func(leaving bool) {
		e.runner.Ask(batcher.SetLeaving{Leaving: leaving})
	}))
	e.handler = e.injector.Filter(e.routes())
	return e
}

// Handler returns the HTTP interface.
func (e *Engine) Handler() http.Handler { return e.handler }

// Close ends all streams and the goroutines of the engine.
func (e *Engine) Close() {
	e.closeOnce.Do(func() { close(e.closing) })
	e.runner.Close()
	e.injector.Close()
}

// Answer returns the first n tokens of the answer to a prompt, each followed
// by a space.
func Answer(prompt string, n unit.Tokens) string {
	digest := digestOf(prompt)
	var answer []byte
	for i := unit.Tokens(0); i < n; i++ {
		answer = append(append(answer, batcher.Word(digest, i)...), ' ')
	}
	return string(answer)
}

func digestOf(prompt string) batcher.Digest { return batcher.Digest(xxhash.Sum64String(prompt)) }

func (e *Engine) routes() *http.ServeMux {
	mux := http.NewServeMux()
	e.injector.Register(mux)
	mux.HandleFunc("POST /v1/completions", e.complete)
	mux.HandleFunc("POST /v1/completions/{request_id}/cancel", e.cancel)
	mux.HandleFunc("GET /load", e.load)
	mux.HandleFunc("GET /cache/programs", e.residents)
	mux.HandleFunc("GET /cache/events", e.events)
	mux.HandleFunc("POST /cache/release", e.release)
	mux.HandleFunc("POST /cache/export", e.export)
	mux.HandleFunc("POST /cache/import", e.importPrefix)
	mux.HandleFunc("POST /orders", e.order)
	mux.HandleFunc("GET "+injector.ControlPrefix+"stats", e.stats)
	mux.HandleFunc("GET "+injector.ControlPrefix+"orders", e.orders)
	return mux
}
