package bookkeeper

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/backoff"
	"github.com/sassafrasspur/sassafrasspur/internal/failure"
	"github.com/sassafrasspur/sassafrasspur/internal/outcome"
	"github.com/sassafrasspur/sassafrasspur/internal/program"
	"github.com/sassafrasspur/sassafrasspur/internal/record"
	"github.com/sassafrasspur/sassafrasspur/internal/rows"
	"github.com/sassafrasspur/sassafrasspur/internal/sequencer"
)

// deciding is one request on its way to an outcome.
type deciding struct {
	bookkeeper *Bookkeeper
	tree       *tree
	request    sequencer.Request
	pauses     *backoff.Backoff
	// uncertain are the writes that were not answered, with their outcomes.
	uncertain map[string]outcome.Outcome
	// epoch is the number of the batch after the one that was decided on.
	epoch ident.Epoch
}

// step is the result of one try. The interface is sealed.
type step interface{ step() }

// decided is the end of the request.
type decided struct{ outcome outcome.Outcome }

// waiting says that a call under way decides.
type waiting struct {
	changed <-chan struct{}
	attempt ident.Attempt
}

// unanswered says that the store did not do what was asked, or that this is not
// known.
type unanswered struct{ err error }

// raced says that another process has changed the tree.
type raced struct{}

func (decided) step()    {}
func (waiting) step()    {}
func (unanswered) step() {}
func (raced) step()      {}

// run tries until there is an outcome. The time in which a call under way is
// waited for does not count against the wait for the store.
func (d *deciding) run(ctx context.Context) (outcome.Outcome, error) {
	timers := d.bookkeeper.timers
	deadline := timers.Now().Add(d.storeWait())
	for {
		if err := ctx.Err(); err != nil {
			return nil, err
		}
		s, err := d.try(ctx)
		if err != nil {
			return nil, err
		}
		switch s := s.(type) {
		case decided:
			return s.outcome, nil
		case raced:
		case unanswered:
			if !timers.Now().Before(deadline) || !d.pauses.Wait(ctx) {
				return nil, d.unavailable(s.err)
			}
		case waiting:
			d.wait(ctx, s)
			deadline = timers.Now().Add(d.storeWait())
		}
	}
}

// storeWait is how long the store is waited for.
func (d *deciding) storeWait() time.Duration {
	switch d.request.(type) {
	case sequencer.Complete, sequencer.Fail, sequencer.Cancel:
		return d.bookkeeper.keep
	}
	return d.bookkeeper.storeWait
}

func (d *deciding) wait(ctx context.Context, s waiting) {
	if arrived, ok := d.request.(sequencer.Arrive); ok {
		arrived.Awaited = s.attempt
		d.request = arrived
	}
	pause := d.bookkeeper.timers.After(waitInterval)
	defer pause.Cancel()
	select {
	case <-s.changed:
	case <-pause.C:
	case <-ctx.Done():
	}
}

// unavailable is what the caller is told when the store does not answer. A call
// has not run if no attempt of it can be on record.
func (d *deciding) unavailable(cause error) error {
	err := failure.New(failure.PlatformUnavailable, "the platform's store does not answer (%v); repeat the request with the same call id", errors.Cause(cause))
	err.RetryAfter = retryDelay
	if arrived, ok := d.request.(sequencer.Arrive); ok {
		err.NotRun = arrived.First && len(d.uncertain) == 0
	}
	return err
}

// abandon ends the attempts that may have been started although their request
// has failed.
func (d *deciding) abandon() {
	arrived, ok := d.request.(sequencer.Arrive)
	if !ok {
		return
	}
	for _, o := range d.uncertain {
		if run, ok := o.(outcome.Run); ok {
			d.bookkeeper.Settle(sequencer.Withdraw{AttemptID: record.AttemptID{
				Program: arrived.Program, Call: arrived.Request.Call, Attempt: run.Attempt,
			}})
		}
	}
}

// try decides on what is known. What is not written is decided on the newest
// state only.
func (d *deciding) try(ctx context.Context) (step, error) {
	t := d.tree
	if err := t.lock(ctx); err != nil {
		return nil, err
	}
	defer t.unlock()
	defer func() { d.epoch = ident.Epoch(t.next) }()
	fresh := false
	for {
		if len(d.uncertain) > 0 || fresh {
			o, err := d.read(ctx)
			if err != nil {
				return unanswered{err}, known(err)
			}
			if o != nil {
				return decided{o}, nil
			}
			fresh = true
		}
		now := d.bookkeeper.timers.Now()
		switch decision := d.bookkeeper.sequencer.Decide(now, t.programs, d.request).(type) {
		case sequencer.Write:
			return d.write(ctx, now, decision)
		case sequencer.Answer:
			if fresh {
				return decided{decision.Outcome}, nil
			}
		case sequencer.Wait:
			if fresh {
				return waiting{changed: t.watch(), attempt: decision.Attempt}, nil
			}
		}
		fresh = true
	}
}

// known returns an error that is not the store's, nil for those that are.
func known(err error) error {
	if errors.Is(err, rows.ErrUnavailable) || errors.Is(err, rows.ErrUnknown) {
		return nil
	}
	return err
}

// read takes over what was recorded since. It returns the outcome of an own
// write that was not answered.
func (d *deciding) read(ctx context.Context) (outcome.Outcome, error) {
	t := d.tree
	batches, err := readBatches(ctx, d.bookkeeper.store, t.root, t.next)
	if err != nil {
		return nil, err
	}
	var own outcome.Outcome
	after := t.programs.Clone()
	for _, b := range batches {
		for _, r := range b.records {
			after.Apply(r)
		}
		t.advance(after, b.version)
		if o, ok := d.uncertain[b.write]; ok {
			own = o
		}
	}
	if own != nil {
		d.recorded()
	}
	return own, nil
}

// write records a decision.
func (d *deciding) write(ctx context.Context, now time.Time, decision sequencer.Write) (step, error) {
	t := d.tree
	after := apply(t.programs, decision.Records)
	b := batch{write: newWrite(), at: now, records: decision.Records}
	transaction, err := d.transaction(b, after)
	if err != nil {
		return nil, err
	}
	d.bookkeeper.use(t.root)
	result, err := d.bookkeeper.store.Commit(ctx, transaction)
	switch {
	case errors.Is(err, rows.ErrUnknown):
		if d.uncertain == nil {
			d.uncertain = map[string]outcome.Outcome{}
		}
		d.uncertain[b.write] = decision.Outcome
		return unanswered{err}, nil
	case err != nil:
		return unanswered{err}, known(err)
	}
	switch result := result.(type) {
	case rows.Committed:
		t.advance(after, result.Version)
		d.recorded()
		return decided{decision.Outcome}, nil
	case rows.Conflict:
		before := t.next
		o, err := d.read(ctx)
		if err != nil {
			return unanswered{err}, known(err)
		}
		if o != nil {
			return decided{o}, nil
		}
		if t.next == before {
			// The last batch is gone: the tree was removed.
			t.reset()
		}
		return raced{}, nil
	}
	return nil, errors.Errorf("outcome %T of a transaction", result)
}

// transaction writes a batch after the last one.
func (d *deciding) transaction(b batch, after program.Tree) (rows.Transaction, error) {
	t := d.tree
	puts, err := b.encode(t.root, t.next)
	if err != nil {
		return rows.Transaction{}, err
	}
	intents, removes, err := indexIntents(t.programs, after, b.records)
	if err != nil {
		return rows.Transaction{}, err
	}
	conditions := []rows.Condition{{ID: batchID(t.root, t.next)}}
	if t.next > 1 {
		conditions = append(conditions, rows.Condition{ID: batchID(t.root, t.next-1), Version: t.last})
	}
	return rows.Transaction{Conditions: conditions, Puts: append(puts, intents...), Removes: removes}, nil
}

// recorded asks for the release of the memory of programs that have ended.
func (d *deciding) recorded() {
	wanted := d.bookkeeper.sequencer.PendingReleases(d.tree.programs)
	if len(wanted) == 0 {
		return
	}
	var releases []Release
	for _, w := range wanted {
		releases = append(releases, Release{PendingRelease: w, Epoch: ident.Epoch(d.tree.next)})
	}
	d.bookkeeper.release(releases)
}
