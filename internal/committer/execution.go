package committer

import (
	"context"
	"slices"
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

// execution is the state of one request until it has an outcome.
type execution struct {
	committer *Committer
	tree      *tree
	request   sequencer.Request
	retries   *backoff.Backoff
	// unconfirmed maps the IDs of writes that the store did not answer to their
	// outcomes.
	unconfirmed map[string]outcome.Outcome
	// epoch is the number of the batch that follows the state that was decided on.
	epoch ident.Epoch
}

// tryResult is the result of one try. The interface is sealed: its variants are
// the types below.
type tryResult interface{ tryResult() }

// decided means that the request has an outcome.
type decided struct{ outcome outcome.Outcome }

// waiting means that the request depends on a call in progress.
type waiting struct {
	changed <-chan struct{}
	attempt ident.Attempt
}

// storeFailed means that a read or write of the store failed, or that the result
// of a write is unknown.
type storeFailed struct{ err error }

// conflicted means that another process has changed the tree since it was read.
type conflicted struct{}

func (decided) tryResult()     {}
func (waiting) tryResult()     {}
func (storeFailed) tryResult() {}
func (conflicted) tryResult()  {}

// run retries until there is an outcome. The time spent waiting for a call in
// progress does not count towards the time limit for the store.
func (e *execution) run(ctx context.Context) (outcome.Outcome, error) {
	timers := e.committer.timers
	deadline := timers.Now().Add(e.storeWait())
	for {
		if err := ctx.Err(); err != nil {
			return nil, err
		}
		result, err := e.try(ctx)
		if err != nil {
			return nil, err
		}
		switch result := result.(type) {
		case decided:
			return result.outcome, nil
		case conflicted:
		case storeFailed:
			if !timers.Now().Before(deadline) || !e.retries.Wait(ctx) {
				return nil, e.unavailable(result.err)
			}
		case waiting:
			e.wait(ctx, result)
			deadline = timers.Now().Add(e.storeWait())
		}
	}
}

// storeWait returns how long the request waits for the store.
func (e *execution) storeWait() time.Duration {
	switch e.request.(type) {
	case sequencer.Complete, sequencer.Fail, sequencer.Cancel:
		return e.committer.answerWait
	}
	return e.committer.storeWait
}

// wait waits until the tree has changed in this process, or until another process
// may have changed it.
func (e *execution) wait(ctx context.Context, w waiting) {
	if submit, ok := e.request.(sequencer.Submit); ok {
		submit.Awaited = w.attempt
		e.request = submit
	}
	pause := e.committer.timers.After(pollInterval)
	defer pause.Cancel()
	select {
	case <-w.changed:
	case <-pause.C:
	case <-ctx.Done():
	}
}

// unavailable returns the error for a request that the store did not answer in
// time. It says "not run" only if no attempt of the call can be recorded.
func (e *execution) unavailable(cause error) error {
	err := failure.New(failure.PlatformUnavailable, "the platform's store does not answer (%v); repeat the request with the same call id", errors.Cause(cause))
	err.RetryAfter = retryDelay
	if submit, ok := e.request.(sequencer.Submit); ok {
		err.NotRun = submit.FirstSubmission && len(e.unconfirmed) == 0
	}
	return err
}

// abandon ends the attempts that may have been recorded as started by a request
// that failed. Without their end, a repeated request would wait for them forever.
func (e *execution) abandon() {
	submit, ok := e.request.(sequencer.Submit)
	if !ok {
		return
	}
	for _, o := range e.unconfirmed {
		if run, ok := o.(outcome.Run); ok {
			e.committer.RecordInBackground(sequencer.Withdraw{AttemptID: record.AttemptID{
				Program: submit.Program, Call: submit.Request.Call, Attempt: run.Attempt,
			}})
		}
	}
}

// try decides the request once. A decision to write may be based on the cached
// state, since the write fails if the state is stale. Any other decision is made
// only on the state that was just read from the store.
func (e *execution) try(ctx context.Context) (tryResult, error) {
	t := e.tree
	if err := t.lock(ctx); err != nil {
		return nil, err
	}
	defer t.unlock()
	defer func() { e.epoch = ident.Epoch(t.nextSequence) }()
	fresh := false
	for {
		if len(e.unconfirmed) > 0 || fresh {
			o, err := e.read(ctx)
			if err != nil {
				return storeFailed{err}, permanentError(err)
			}
			if o != nil {
				return decided{o}, nil
			}
			fresh = true
		}
		now := e.committer.timers.Now()
		switch decision := e.committer.sequencer.Decide(now, t.programs, e.request).(type) {
		case sequencer.Write:
			return e.write(ctx, now, decision)
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

// permanentError returns err if retrying can't help, and nil if it says that the
// store is unavailable or that the result is unknown.
func permanentError(err error) error {
	if errors.Is(err, rows.ErrUnavailable) || errors.Is(err, rows.ErrOutcomeUnknown) {
		return nil
	}
	return err
}

// read applies the batches that were appended since the last read. If one of
// them is an unconfirmed write of this request, it returns the outcome of that
// write.
func (e *execution) read(ctx context.Context) (outcome.Outcome, error) {
	t := e.tree
	batches, err := readBatches(ctx, e.committer.store, t.root, t.nextSequence)
	if err != nil {
		return nil, err
	}
	var confirmed outcome.Outcome
	after := t.programs.Clone()
	for _, b := range batches {
		for _, r := range b.records {
			after.Apply(r)
		}
		t.advance(after, b.version)
		if o, ok := e.unconfirmed[b.writeID]; ok {
			confirmed = o
		}
	}
	if confirmed != nil {
		e.reportReleases()
	}
	return confirmed, nil
}

// write commits the records of a decision.
func (e *execution) write(ctx context.Context, now time.Time, decision sequencer.Write) (tryResult, error) {
	t := e.tree
	after := apply(t.programs, decision.Records)
	b := batch{writeID: newWriteID(), writtenAt: now, records: decision.Records}
	chunks, transaction, err := e.transaction(b, after)
	if err != nil {
		return nil, err
	}
	e.committer.onUse(t.root)
	for puts := range slices.Chunk(chunks, maxChunks) {
		// The rows count once the batch is appended, so that an unknown outcome is a failure.
		if _, err := e.committer.store.Commit(ctx, rows.Transaction{Puts: puts}); err != nil {
			return storeFailed{err}, permanentError(err)
		}
	}
	result, err := e.committer.store.Commit(ctx, transaction)
	switch {
	case errors.Is(err, rows.ErrOutcomeUnknown):
		if e.unconfirmed == nil {
			e.unconfirmed = map[string]outcome.Outcome{}
		}
		e.unconfirmed[b.writeID] = decision.Outcome
		return storeFailed{err}, nil
	case err != nil:
		return storeFailed{err}, permanentError(err)
	}
	switch result := result.(type) {
	case rows.Committed:
		t.advance(after, result.Version)
		e.reportReleases()
		return decided{decision.Outcome}, nil
	case rows.Conflict:
		sequenceBefore := t.nextSequence
		o, err := e.read(ctx)
		if err != nil {
			return storeFailed{err}, permanentError(err)
		}
		if o != nil {
			return decided{o}, nil
		}
		if t.nextSequence == sequenceBefore {
			// The conflict is not a newer batch, so the last batch is missing: the
			// tree was removed.
			t.reset()
		}
		return conflicted{}, nil
	}
	return nil, errors.Errorf("unexpected outcome %T of a transaction", result)
}

// transaction returns the transaction that appends a batch and updates the
// intents, and the chunks that have to be written before. Its conditions are that the
// batch does not exist and that the batch before it is unchanged.
func (e *execution) transaction(b batch, after program.Tree) ([]rows.Put, rows.Transaction, error) {
	t := e.tree
	chunks, puts, err := b.encode(t.root, t.nextSequence)
	if err != nil {
		return nil, rows.Transaction{}, err
	}
	intents, removes, err := intentChanges(t.programs, after, b.records)
	if err != nil {
		return nil, rows.Transaction{}, err
	}
	conditions := []rows.Condition{{ID: batchID(t.root, t.nextSequence)}}
	if t.nextSequence > 1 {
		conditions = append(conditions, rows.Condition{ID: batchID(t.root, t.nextSequence-1), Version: t.lastVersion})
	}
	return chunks, rows.Transaction{Conditions: conditions, Puts: append(puts, intents...), Removes: removes}, nil
}

// reportReleases reports the engine memory of ended programs that can be
// released.
func (e *execution) reportReleases() {
	pending := e.committer.sequencer.PendingReleases(e.tree.programs)
	if len(pending) == 0 {
		return
	}
	var releases []Release
	for _, p := range pending {
		releases = append(releases, Release{PendingRelease: p, Epoch: ident.Epoch(e.tree.nextSequence)})
	}
	e.committer.onRelease(releases)
}
