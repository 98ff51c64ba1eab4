package committer

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/backoff"
	"github.com/sassafrasspur/sassafrasspur/internal/failure"
	"github.com/sassafrasspur/sassafrasspur/internal/outcome"
	"github.com/sassafrasspur/sassafrasspur/internal/program"
	"github.com/sassafrasspur/sassafrasspur/internal/record"
	"github.com/sassafrasspur/sassafrasspur/internal/rows"
	"github.com/sassafrasspur/sassafrasspur/internal/sequencer"
	"github.com/sassafrasspur/sassafrasspur/internal/timer"
)

const (
	// defaultStoreWait bounds how long a request waits for the store. A store call
	// that is not answered takes up to 0.6 s, so three attempts fit.
	defaultStoreWait = 2 * time.Second
	// defaultAnswerWait bounds how long the result of an attempt waits for the
	// store. It is longer than defaultStoreWait because until an answer is
	// recorded, this process has the only copy.
	defaultAnswerWait = 10 * time.Second
	// pollInterval is the interval of reading a tree to detect the end of a call
	// that another VM runs.
	pollInterval = 200 * time.Millisecond
	// recordRetryInterval is the interval of background attempts to record the end
	// of an attempt.
	recordRetryInterval = time.Second
	// idleLimit is the time after which an unused tree is evicted from the cache.
	idleLimit = time.Minute
	// retryDelay is the retry delay suggested to callers when the store is
	// unavailable.
	retryDelay = time.Second
)

// Committer executes requests on trees of programs. It is safe for concurrent
// use.
type Committer struct {
	store      rows.Store
	timers     *timer.Service
	sequencer  sequencer.Sequencer
	storeWait  time.Duration
	answerWait time.Duration
	onUse      func(ident.ProgramID)
	onRelease  func([]Release)
	onError    func(error)
	recordEnd  func(sequencer.Request)

	backgroundCtx context.Context
	background    sync.WaitGroup

	mu        sync.Mutex
	trees     map[ident.ProgramID]*tree
	evictedAt time.Time
}

// Release identifies engine memory that can be released.
type Release struct {
	sequencer.PendingRelease
	// Epoch increases with each change of the tree.
	Epoch ident.Epoch
}

// tree is the cached state of one tree.
type tree struct {
	root ident.ProgramID
	// refs and usedAt are guarded by the committer's mutex.
	refs   int
	usedAt time.Time

	// sem has one slot, which is held by the goroutine that uses the fields below
	// it. Unlike a mutex, it can be waited for until a context ends.
	sem chan struct{}
	// programs is immutable; changes replace it.
	programs program.Tree
	// nextSequence is the number of the next batch, and lastVersion the version of
	// the batch before it.
	nextSequence ident.Sequence
	lastVersion  rows.Version

	mu sync.Mutex
	// changed is closed at the next change of the tree. It is guarded by mu.
	changed chan struct{}
}

// Option configures a Committer.
type Option func(*Committer)

// WithStoreWait sets how long a request waits for the store: answerWait applies
// to the requests Complete, Fail and Cancel, storeWait to all others.
func WithStoreWait(storeWait, answerWait time.Duration) Option {
	return func(c *Committer) { c.storeWait, c.answerWait = storeWait, answerWait }
}

// WithOnUse sets a function that is called with the root of a tree before each
// write to the tree, which then has rows in the store.
func WithOnUse(onUse func(ident.ProgramID)) Option {
	return func(c *Committer) { c.onUse = onUse }
}

// WithOnRelease sets a function that is called with engine memory that can be
// released.
func WithOnRelease(onRelease func([]Release)) Option {
	return func(c *Committer) { c.onRelease = onRelease }
}

// WithOnError sets a function that is called with errors of background work, which
// are not returned to a caller.
func WithOnError(onError func(error)) Option {
	return func(c *Committer) { c.onError = onError }
}

// WithBackgroundRecorder replaces the function that records the end of an attempt
// in the background.
func WithBackgroundRecorder(recordEnd func(sequencer.Request)) Option {
	return func(c *Committer) { c.recordEnd = recordEnd }
}

// New returns a committer whose background work stops when ctx is done.
func New(ctx context.Context, store rows.Store, timers *timer.Service, s sequencer.Sequencer, options ...Option) *Committer {
	c := &Committer{
		store: store, timers: timers, sequencer: s, storeWait: defaultStoreWait, answerWait: defaultAnswerWait,
		onUse: func(ident.ProgramID) {}, onRelease: func([]Release) {}, onError: func(error) {},
		backgroundCtx: ctx, trees: map[ident.ProgramID]*tree{},
	}
	c.recordEnd = c.recordUntilStored
	for _, option := range options {
		option(c)
	}
	return c
}

// Do decides a request and commits the records of the decision. A refusal is
// returned as an error of package failure. A request that depends on a call in
// progress waits until the call has ended or ctx is done.
func (c *Committer) Do(ctx context.Context, r sequencer.Request) (outcome.Outcome, error) {
	t := c.acquire(r.Subject().Root())
	defer c.release(t)
	e := &execution{committer: c, tree: t, request: r, retries: backoff.New(c.timers)}
	o, err := e.run(ctx)
	if err != nil {
		e.abandon()
		return nil, err
	}
	switch o := o.(type) {
	case outcome.Refused:
		return nil, o.Err
	case outcome.Shown:
		o.View.Epoch = e.epoch
		return o, nil
	}
	return o, nil
}

// RecordInBackground records the end of an attempt in the background. It retries
// until the end is recorded or the process stops.
func (c *Committer) RecordInBackground(r sequencer.Request) { c.recordEnd(r) }

func (c *Committer) recordUntilStored(r sequencer.Request) {
	c.background.Go(func() {
		for {
			_, err := c.Do(c.backgroundCtx, r)
			if err == nil || failure.Is(err, failure.NotDurable) {
				return
			}
			c.onError(errors.Annotatef(err, "the end of an attempt of program %s is not recorded yet; retrying in the background", r.Subject()))
			wait := c.timers.After(recordRetryInterval)
			select {
			case <-wait.C:
			case <-c.backgroundCtx.Done():
				wait.Cancel()
				return
			}
		}
	})
}

// WaitBackground waits until the background work has finished or ctx is done.
func (c *Committer) WaitBackground(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		c.background.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// removedEpoch is greater than the epoch of any tree, so that engine memory of a
// removed tree can be released.
const removedEpoch ident.Epoch = 1 << 32

// Releasable reports whether the engine memory of a program at an upstream can be
// released, according to the latest state of the program in the store, and
// returns the release. A program that the store doesn't have was removed after
// its end.
func (c *Committer) Releasable(ctx context.Context, id ident.ProgramID, upstream ident.UpstreamID) (Release, bool, error) {
	release := Release{PendingRelease: sequencer.PendingRelease{Program: id, Upstream: upstream}, Epoch: removedEpoch}
	shown, err := c.Do(ctx, sequencer.Show{Program: id})
	if failure.Is(err, failure.NotFound) {
		return release, true, nil
	}
	if err != nil {
		return release, false, err
	}
	view, ok := shown.(outcome.Shown)
	if !ok {
		return release, false, errors.Errorf("unexpected outcome %T of reading program %s", shown, id)
	}
	release.Epoch = view.View.Epoch
	return release, view.View.Ended && !view.View.Running, nil
}

// acquire returns the cached tree of a root program, or an empty one, and evicts
// idle trees. The tree is not evicted before it is passed to release.
func (c *Committer) acquire(root ident.ProgramID) *tree {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.timers.Now()
	if now.Sub(c.evictedAt) > idleLimit/4 {
		c.evictedAt = now
		for id, t := range c.trees {
			if t.refs == 0 && now.Sub(t.usedAt) > idleLimit {
				delete(c.trees, id)
			}
		}
	}
	t, ok := c.trees[root]
	if !ok {
		t = &tree{root: root, sem: make(chan struct{}, 1), programs: program.Tree{}, nextSequence: 1, changed: make(chan struct{})}
		c.trees[root] = t
	}
	t.refs++
	return t
}

func (c *Committer) release(t *tree) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t.refs--
	t.usedAt = c.timers.Now()
}

// lock acquires the semaphore of the tree unless ctx is done first.
func (t *tree) lock(ctx context.Context) error {
	select {
	case t.sem <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (t *tree) unlock() { <-t.sem }

// watch returns a channel that is closed at the next change of the tree.
func (t *tree) watch() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

// advance replaces the state by the one after the next batch.
func (t *tree) advance(after program.Tree, version rows.Version) {
	t.programs, t.lastVersion = after, version
	t.nextSequence++
	t.mu.Lock()
	defer t.mu.Unlock()
	close(t.changed)
	t.changed = make(chan struct{})
}

// reset discards the state, so that the next read starts at the first batch.
func (t *tree) reset() { t.programs, t.nextSequence, t.lastVersion = program.Tree{}, 1, 0 }

// apply returns a copy of a tree with the records applied.
func apply(t program.Tree, records []record.Record) program.Tree {
	after := t.Clone()
	for _, r := range records {
		after.Apply(r)
	}
	return after
}

func newWriteID() string { return uuid.NewString() }
