// Package engine is a stand-in for a model engine.
//
// It serves OpenAI's completions API with server-sent events, and the load,
// cache and order requests of docs/protocols.md, on top of package batcher,
// whose state is owned by one goroutine. Answers depend only on the prompt:
// token i of an answer is batcher.Word(digest of the prompt, i).
package engine

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sassafrasspur/sassafrasspur/internal/standin/batcher"
	"github.com/sassafrasspur/sassafrasspur/internal/standin/injector"
	"github.com/sassafrasspur/sassafrasspur/internal/standin/prefixcache"
	"github.com/sassafrasspur/sassafrasspur/internal/standin/runner"
	"github.com/sassafrasspur/sassafrasspur/internal/timer"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

// Engine is a simulated model engine. It is safe for concurrent use.
type Engine struct {
	timers         *timer.Service
	batcherOptions []batcher.Option
	cacheOptions   []prefixcache.Option
	kvBytes        unit.Bytes

	runner    *runner.Runner[batcher.Command, batcher.Reply]
	injector  *injector.Injector
	handler   http.Handler
	exported  atomic.Int64
	closing   chan struct{}
	closeOnce sync.Once
}

// Option configures an Engine.
type Option func(*Engine)

func batcherOption(o batcher.Option) Option {
	return func(e *Engine) { e.batcherOptions = append(e.batcherOptions, o) }
}

func cacheOption(o prefixcache.Option) Option {
	return func(e *Engine) { e.cacheOptions = append(e.cacheOptions, o) }
}

// WithTimers sets the timer service.
func WithTimers(t *timer.Service) Option { return func(e *Engine) { e.timers = t } }

// WithSlots sets the largest batch size.
func WithSlots(n int) Option { return batcherOption(batcher.WithSlots(n)) }

// WithQueue sets the capacity of the queue.
func WithQueue(n int) Option { return batcherOption(batcher.WithQueue(n)) }

// WithPrefill sets the prefill rate of each request in tokens per second; 0
// makes prefill immediate.
func WithPrefill(perSecond unit.Tokens) Option { return batcherOption(batcher.WithPrefill(perSecond)) }

// WithDecode sets the duration of a decode step: base plus growth for each
// request in the batch.
func WithDecode(base, growth time.Duration) Option {
	return batcherOption(batcher.WithDecode(base, growth))
}

// WithRetention sets how long a request can be resumed after it has finished.
func WithRetention(d time.Duration) Option { return batcherOption(batcher.WithRetention(d)) }

// WithLinger sets how long a request continues after its client has
// disconnected.
func WithLinger(d time.Duration) Option { return batcherOption(batcher.WithLinger(d)) }

// WithLoadLag sets the delay of the load report.
func WithLoadLag(d time.Duration) Option { return batcherOption(batcher.WithLoadLag(d)) }

// WithFencing sets whether orders and releases with an outdated epoch are
// rejected.
func WithFencing(on bool) Option { return batcherOption(batcher.WithFencing(on)) }

// WithShortest sets the length of the shortest answers as a fraction of
// max_tokens.
func WithShortest(r unit.Ratio) Option { return batcherOption(batcher.WithShortest(r)) }

// WithCacheLimit sets the capacity of the prefix cache.
func WithCacheLimit(limit unit.Tokens) Option { return cacheOption(prefixcache.WithLimit(limit)) }

// WithEventLag sets the delay after which a cache event becomes visible.
func WithEventLag(d time.Duration) Option { return cacheOption(prefixcache.WithEventLag(d)) }

// WithGapEvery omits every n-th cache event; 0 omits none.
func WithGapEvery(n int) Option { return cacheOption(prefixcache.WithGapEvery(n)) }

// WithKVBytes sets the size of one token in an exported prefix; the minimum is 4.
func WithKVBytes(perToken unit.Bytes) Option {
	return func(e *Engine) { e.kvBytes = max(perToken, minKVBytes) }
}

// New starts an engine. Close stops it.
func New(options ...Option) *Engine {
	e := &Engine{timers: timer.New(), kvBytes: minKVBytes, closing: make(chan struct{})}
	for _, option := range options {
		option(e)
	}
	state := batcher.New(append(e.batcherOptions, batcher.WithCache(prefixcache.New(e.cacheOptions...)))...)
	e.runner = runner.New[batcher.Command, batcher.Reply](state, e.timers)
	e.injector = injector.New(injector.WithTimers(e.timers), injector.WithLeavingCallback(func(leaving bool) {
		e.runner.Ask(batcher.SetLeaving{Leaving: leaving})
	}))
	e.handler = e.injector.Filter(e.routes())
	return e
}

// Handler returns the HTTP handler of the engine.
func (e *Engine) Handler() http.Handler { return e.handler }

// Close aborts all streams and stops the goroutines of the engine.
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
