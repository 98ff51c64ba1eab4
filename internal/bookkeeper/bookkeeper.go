package bookkeeper

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
	// defaultStoreWait bounds the wait for the store. A call that is not answered
	// takes up to 0.6 s, so that three tries fit.
	defaultStoreWait = 2 * time.Second
	// defaultKeepWait bounds the wait for the record of an answer, which
	// exists in this process alone until then.
	defaultKeepWait = 10 * time.Second
	// waitInterval spaces the looks at a call that another VM runs.
	waitInterval = 200 * time.Millisecond
	// settleInterval spaces the tries to record the end of an attempt in the
	// background.
	settleInterval = time.Second
	// idleLimit is the time after which an unused tree is forgotten.
	idleLimit = time.Minute
	// retryDelay is what callers are told when the store can't be reached.
	retryDelay = time.Second
)

// Bookkeeper reads and changes trees. It may be used by several goroutines.
type Bookkeeper struct {
	store     rows.Store
	timers    *timer.Service
	sequencer sequencer.Sequencer
	storeWait time.Duration
	keep      time.Duration
	use       func(ident.ProgramID)
	release   func([]Release)
	report    func(error)
	settle    func(sequencer.Request)

	stop     context.Context
	settling sync.WaitGroup

	mu      sync.Mutex
	trees   map[ident.ProgramID]*tree
	sweptAt time.Time
}

// Release names engine memory that nobody needs any more.
type Release struct {
	sequencer.PendingRelease
	// Epoch grows with each change of the tree.
	Epoch ident.Epoch
}

// tree is what this process knows of a tree.
type tree struct {
	root ident.ProgramID
	// users and usedAt are guarded by the bookkeeper's mutex.
	users  int
	usedAt time.Time

	// turn is held by the goroutine that decides.
	turn chan struct{}
	// programs is never changed, but replaced.
	programs program.Tree
	// next is the number of the next batch, last the version of the one before.
	next ident.Sequence
	last rows.Version

	mu sync.Mutex
	// changed is closed when the tree has changed.
	changed chan struct{}
}

// Option changes how New builds a Bookkeeper.
type Option func(*Bookkeeper)

// WithStoreWait sets how long a request waits for the store, and how long the
// record of an answer does.
func WithStoreWait(usual, keep time.Duration) Option {
	return func(b *Bookkeeper) { b.storeWait, b.keep = usual, keep }
}

// WithUse sets what is told of each tree that has rows from now on.
func WithUse(use func(ident.ProgramID)) Option {
	return func(b *Bookkeeper) { b.use = use }
}

// WithRelease sets what is told of engine memory that is to be released.
func WithRelease(release func([]Release)) Option {
	return func(b *Bookkeeper) { b.release = release }
}

// WithReport sets what is told of errors that no caller learns of.
func WithReport(report func(error)) Option {
	return func(b *Bookkeeper) { b.report = report }
}

// WithSettle replaces the work in the background.
func WithSettle(settle func(sequencer.Request)) Option {
	return func(b *Bookkeeper) { b.settle = settle }
}

// New returns a bookkeeper whose background work ends with the context.
func New(ctx context.Context, store rows.Store, timers *timer.Service, s sequencer.Sequencer, options ...Option) *Bookkeeper {
	b := &Bookkeeper{
		store: store, timers: timers, sequencer: s, storeWait: defaultStoreWait, keep: defaultKeepWait,
		use: func(ident.ProgramID) {}, release: func([]Release) {}, report: func(error) {},
		stop: ctx, trees: map[ident.ProgramID]*tree{},
	}
	b.settle = b.settleLater
	for _, option := range options {
		option(b)
	}
	return b
}

// Do decides a request and records what follows from it. A refusal is returned
// as an error of package failure. A request that waits for a call under way
// waits until the context ends.
func (b *Bookkeeper) Do(ctx context.Context, r sequencer.Request) (outcome.Outcome, error) {
	t := b.acquire(r.Subject().Root())
	defer b.yield(t)
	d := &deciding{bookkeeper: b, tree: t, request: r, pauses: backoff.New(b.timers)}
	o, err := d.run(ctx)
	if err != nil {
		d.abandon()
		return nil, err
	}
	switch o := o.(type) {
	case outcome.Refused:
		return nil, o.Err
	case outcome.Shown:
		o.View.Epoch = d.epoch
		return o, nil
	}
	return o, nil
}

// Settle records the end of an attempt in the background, until it is recorded
// or the process stops.
func (b *Bookkeeper) Settle(r sequencer.Request) { b.settle(r) }

func (b *Bookkeeper) settleLater(r sequencer.Request) {
	b.settling.Go(func() {
		for {
			_, err := b.Do(b.stop, r)
			if err == nil || failure.Is(err, failure.NotDurable) {
				return
			}
			b.report(errors.Annotatef(err, "the end of an attempt of %s is recorded later", r.Subject()))
			wait := b.timers.After(settleInterval)
			select {
			case <-wait.C:
			case <-b.stop.Done():
				wait.Cancel()
				return
			}
		}
	})
}

// Settled waits until the background work is done or the context ends.
func (b *Bookkeeper) Settled(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		b.settling.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// removedEpoch is above the epochs of all trees, so that the memory of a tree that
// was removed can be released.
const removedEpoch ident.Epoch = 1 << 32

// Unneeded returns the release of engine memory if, by its newest state in the
// store, the program does not need it. A program that is not known has ended and
// was removed.
func (b *Bookkeeper) Unneeded(ctx context.Context, id ident.ProgramID, upstream ident.UpstreamID) (Release, bool, error) {
	wanted := Release{PendingRelease: sequencer.PendingRelease{Program: id, Upstream: upstream}, Epoch: removedEpoch}
	shown, err := b.Do(ctx, sequencer.Show{Program: id})
	if failure.Is(err, failure.NotFound) {
		return wanted, true, nil
	}
	if err != nil {
		return wanted, false, err
	}
	view, ok := shown.(outcome.Shown)
	if !ok {
		return wanted, false, errors.Errorf("outcome %T of a look at %s", shown, id)
	}
	wanted.Epoch = view.View.Epoch
	return wanted, view.View.Ended && !view.View.Running, nil
}

func (b *Bookkeeper) acquire(root ident.ProgramID) *tree {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.timers.Now()
	if now.Sub(b.sweptAt) > idleLimit/4 {
		b.sweptAt = now
		for id, t := range b.trees {
			if t.users == 0 && now.Sub(t.usedAt) > idleLimit {
				delete(b.trees, id)
			}
		}
	}
	t, ok := b.trees[root]
	if !ok {
		t = &tree{root: root, turn: make(chan struct{}, 1), programs: program.Tree{}, next: 1, changed: make(chan struct{})}
		b.trees[root] = t
	}
	t.users++
	return t
}

func (b *Bookkeeper) yield(t *tree) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t.users--
	t.usedAt = b.timers.Now()
}

// lock waits for the tree's turn.
func (t *tree) lock(ctx context.Context) error {
	select {
	case t.turn <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (t *tree) unlock() { <-t.turn }

// watch returns a channel that is closed at the next change.
func (t *tree) watch() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

// advance takes a batch over.
func (t *tree) advance(after program.Tree, version rows.Version) {
	t.programs, t.last = after, version
	t.next++
	t.mu.Lock()
	defer t.mu.Unlock()
	close(t.changed)
	t.changed = make(chan struct{})
}

// reset forgets the tree, which is read again as a whole.
func (t *tree) reset() { t.programs, t.next, t.last = program.Tree{}, 1, 0 }

// apply returns the tree after some records.
func apply(t program.Tree, records []record.Record) program.Tree {
	after := t.Clone()
	for _, r := range records {
		after.Apply(r)
	}
	return after
}

func newWrite() string { return uuid.NewString() }
