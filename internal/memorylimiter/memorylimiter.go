// Package memorylimiter bounds the memory that is held for requests.
package memorylimiter

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sassafrasspur/sassafrasspur/internal/evictor"
	"github.com/sassafrasspur/sassafrasspur/internal/failure"
	"github.com/sassafrasspur/sassafrasspur/internal/timer"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

const (
	// stallAfter is the time without progress after which a request counts as stalled.
	// Callers between regions send again after 25 ms, and after a lost packet within
	// half a second.
	stallAfter = time.Second
	// progressBytes is the memory that a request must gain to count as progressing. Single
	// bytes would otherwise keep a request from stalling.
	progressBytes unit.Bytes = 32 << 10
	// dropTimeout bounds the wait until dropped requests have returned their memory. It
	// takes milliseconds, unless the VM has no processor time.
	dropTimeout = 2 * time.Second
	// awaitInterval is the interval at which a wait for memory is decided again: requests
	// may stall meanwhile, which lets them be dropped.
	awaitInterval = 200 * time.Millisecond
	// minRetryDelay and retrySpread give the time after which refused callers return.
	minRetryDelay = 500 * time.Millisecond
	retrySpread   = time.Second
)

// Memorylimiter grants memory to claims. It is safe for concurrent use.
type Memorylimiter struct {
	limits evictor.Evictor
	timers *timer.Service
	random func() float64

	mu     sync.Mutex
	used   unit.Bytes
	nextID int64
	claims map[int64]*Claim
	// returned is closed and replaced when memory is returned, if a request waits for it.
	returned chan struct{}
	awaited  bool

	waiting atomic.Int64
}

// New returns a Memorylimiter for total bytes, of which large requests leave reserved
// bytes free. A request of up to small bytes is small. random returns numbers between 0
// and 1, by which the returns of refused callers are spread.
func New(total, reserved, small unit.Bytes, timers *timer.Service, random func() float64) *Memorylimiter {
	return &Memorylimiter{
		limits: evictor.Evictor{Total: total, Reserved: reserved, Small: small, StallAfter: stallAfter},
		timers: timers, random: random, claims: map[int64]*Claim{}, returned: make(chan struct{}),
	}
}

// Waiting returns the number of answers that wait for memory.
func (m *Memorylimiter) Waiting() int64 { return m.waiting.Load() }

// Claim is the memory of one request at a time, such as of those of one connection.
type Claim struct {
	limiter *Memorylimiter
	drop    func()
	// state is guarded by the limiter's lock. The id is 0 while the claim holds nothing.
	state evictor.Claim
	// moved is the memory gained or sent since the request last progressed.
	moved unit.Bytes
}

// NewClaim returns a claim that holds nothing. drop is called, without locks, if the
// request has to end so that its memory can be used by others; Release must follow.
func (m *Memorylimiter) NewClaim(drop func()) *Claim { return &Claim{limiter: m, drop: drop} }

// Used returns the memory of all claims.
func (m *Memorylimiter) Used() unit.Bytes {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.used
}

// Grow adds n bytes to the claim. It may wait for other requests that are dropped in its
// favour. The error is a refusal.
func (c *Claim) Grow(n unit.Bytes) error {
	m := c.limiter
	var timeout *timer.Subscription
	defer func() {
		if timeout != nil {
			timeout.Cancel()
		}
	}()
	for {
		drops, returned, refusal := m.try(c, n)
		if refusal != nil || returned == nil {
			return refusal
		}
		for _, d := range drops {
			d.drop()
		}
		if timeout == nil {
			timeout = m.timers.After(dropTimeout)
		}
		select {
		case <-returned:
		case <-timeout.C:
			return m.refusal()
		}
	}
}

// CanGrow reports whether there is room for n more bytes while no other request has any.
func (c *Claim) CanGrow(n unit.Bytes) bool {
	limits := c.limiter.limits
	held := c.held() + n
	return held <= limits.Small || held <= limits.Total-limits.Reserved
}

// Await adds n bytes to the claim as soon as there is room. The error is a refusal, after
// the end of the context or because the request was dropped.
func (c *Claim) Await(ctx context.Context, n unit.Bytes) error {
	c.limiter.waiting.Add(1)
	defer c.limiter.waiting.Add(-1)
	for {
		err := c.Grow(n)
		if err == nil || c.isDropped() {
			return err
		}
		wait := c.limiter.timers.After(awaitInterval)
		select {
		case <-wait.C:
		case <-ctx.Done():
			wait.Cancel()
			return err
		}
	}
}

// Cover makes the claim hold at least n bytes, without waiting for others.
func (c *Claim) Cover(n unit.Bytes) error {
	held := c.held()
	if held >= n {
		return nil
	}
	drops, returned, refusal := c.limiter.try(c, n-held)
	for _, d := range drops {
		d.drop()
	}
	if returned != nil {
		return c.limiter.refusal()
	}
	return refusal
}

// AwaitCover makes the claim hold at least n bytes, as soon as there is room. The error is a
// refusal, after the end of the context, or at once if there can never be room.
func (c *Claim) AwaitCover(ctx context.Context, n unit.Bytes) error {
	err := c.Cover(n)
	if err == nil || n > c.limiter.limits.Total || c.isDropped() {
		return err
	}
	return c.Await(ctx, n-c.held())
}

func (c *Claim) held() unit.Bytes {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	return c.state.Held
}

func (c *Claim) isDropped() bool {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	return c.state.Dropped
}

// try grants n bytes, or returns the claims to drop and the channel that is closed when
// memory is returned. Both are nil if the bytes are granted.
func (m *Memorylimiter) try(c *Claim, n unit.Bytes) ([]*Claim, <-chan struct{}, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.timers.Now()
	if c.state.Dropped {
		return nil, nil, m.refusal()
	}
	if c.state.ID == 0 {
		m.nextID++
		// A request may have entered a stage before it claimed anything.
		stage := c.state.Stage
		if stage == nil {
			stage = evictor.Receiving{}
		}
		c.state = evictor.Claim{ID: m.nextID, Started: now, Progressed: now, Stage: stage}
		c.moved = 0
		m.claims[c.state.ID] = c
	}
	switch decision := m.limits.Decide(now, c.state, n, m.used, m.states(n)).(type) {
	case evictor.Grant:
		c.state.Held += n
		m.used += n
		c.advance(now, n)
		return nil, nil, nil
	case evictor.Drop:
		var drops []*Claim
		for _, id := range decision.IDs {
			m.claims[id].state.Dropped = true
			drops = append(drops, m.claims[id])
		}
		if len(drops) > 0 {
			// A request that is dropped may itself wait for memory.
			m.wakeWaiting()
		}
		m.awaited = true
		return drops, m.returned, nil
	default:
		return nil, nil, m.refusal()
	}
}

// states returns all claims if n more bytes need a decision between them. There is
// usually room, and a VM has hundreds of connections.
func (m *Memorylimiter) states(n unit.Bytes) []evictor.Claim {
	if m.used+n <= m.limits.Total-m.limits.Reserved {
		return nil
	}
	states := make([]evictor.Claim, 0, len(m.claims))
	for _, c := range m.claims {
		states = append(states, c.state)
	}
	return states
}

// RetryDelay returns the time after which a refused caller should return.
func (m *Memorylimiter) RetryDelay() time.Duration {
	return minRetryDelay + time.Duration(m.random()*float64(retrySpread))
}

func (m *Memorylimiter) refusal() error {
	return failure.Refusal(failure.Overloaded, m.RetryDelay(), "the memory of this VM for requests is used up; repeat the request later or at another address")
}

// Enter sets the stage of the request, which counts as progress. The error is a refusal:
// the request was chosen to be dropped.
func (c *Claim) Enter(stage evictor.Stage) error {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	if c.state.Dropped {
		return c.limiter.refusal()
	}
	c.state.Stage, c.state.Progressed, c.moved = stage, c.limiter.timers.Now(), 0
	return nil
}

// Advance records that n bytes of an answer were sent.
func (c *Claim) Advance(n unit.Bytes) {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	c.advance(c.limiter.timers.Now(), n)
}

func (c *Claim) advance(now time.Time, n unit.Bytes) {
	if c.moved += n; c.moved >= progressBytes {
		c.state.Progressed, c.moved = now, 0
	}
}

// Shrink returns n bytes.
func (c *Claim) Shrink(n unit.Bytes) {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	c.limiter.giveBack(c, min(n, c.state.Held))
}

// Release returns all memory of the claim, which may then be used for another request.
func (c *Claim) Release() {
	m := c.limiter
	m.mu.Lock()
	defer m.mu.Unlock()
	if c.state.ID != 0 {
		delete(m.claims, c.state.ID)
		m.giveBack(c, c.state.Held)
	}
	c.state = evictor.Claim{}
}

func (m *Memorylimiter) giveBack(c *Claim, n unit.Bytes) {
	c.state.Held -= n
	m.used -= n
	m.wakeWaiting()
}

func (m *Memorylimiter) wakeWaiting() {
	if !m.awaited {
		return
	}
	m.awaited = false
	close(m.returned)
	m.returned = make(chan struct{})
}

type contextKey struct{}

// NewContext returns a context that carries the claim of a request.
func NewContext(ctx context.Context, c *Claim) context.Context {
	return context.WithValue(ctx, contextKey{}, c)
}

// FromContext returns the claim of a request, nil if its memory is not bounded.
func FromContext(ctx context.Context) *Claim {
	c, _ := ctx.Value(contextKey{}).(*Claim)
	return c
}
