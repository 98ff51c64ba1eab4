// Package effectrunner executes the effects that need I/O.
//
// Each effect runs in its own goroutine and reports its result as a message. The
// controllers limit the number of concurrent effects: at any time there is at most one
// read of each table and one probe of each upstream.
package effectrunner

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/committer"
	"github.com/sassafrasspur/sassafrasspur/internal/effect"
	"github.com/sassafrasspur/sassafrasspur/internal/message"
	"github.com/sassafrasspur/sassafrasspur/internal/outcome"
	"github.com/sassafrasspur/sassafrasspur/internal/record"
	"github.com/sassafrasspur/sassafrasspur/internal/sequencer"
)

// Store executes the effects that need only the platform's store or other entry VMs.
type Store interface {
	Perform(e effect.Effect, post func(message.Message))
}

// Programs stores the records of programs.
type Programs interface {
	Do(ctx context.Context, r sequencer.Request) (outcome.Outcome, error)
	Releasable(ctx context.Context, id ident.ProgramID, upstream ident.UpstreamID) (committer.Release, bool, error)
}

// Prober queries the state of upstreams and sends orders to them.
type Prober interface {
	ReadLoad(ctx context.Context, e effect.ReadLoad) message.UpstreamReported
	ReadCache(ctx context.Context, e effect.ReadCache) message.CacheRead
	Release(ctx context.Context, e effect.Release) message.ReleaseDone
	// LookUp returns the answer to a call, or false if the upstream has none.
	LookUp(ctx context.Context, e effect.LookUp) (record.Answer, bool, error)
	Order(ctx context.Context, e effect.Order) message.OrderDone
}

// effectTimeout bounds one effect. Each of the upstream and store calls that an effect
// consists of has a limit of at most 10 s.
const effectTimeout = 30 * time.Second

// Effectrunner executes effects.
type Effectrunner struct {
	store    Store
	programs Programs
	prober   Prober
	cancel   func(ident.Grant)
	report   func(error)
}

// New returns an effect runner. The function cancel stops the dispatch that uses a grant.
// Errors that are not returned in a message are passed to report.
func New(store Store, programs Programs, prober Prober, cancel func(ident.Grant), report func(error)) *Effectrunner {
	return &Effectrunner{store: store, programs: programs, prober: prober, cancel: cancel, report: report}
}

// Perform starts an effect and returns immediately. The result is posted later.
func (r *Effectrunner) Perform(e effect.Effect, post func(message.Message)) {
	switch e.(type) {
	case effect.ReadRows, effect.WatchRows, effect.WriteRows, effect.FetchUpstreams, effect.FetchMembers:
		r.store.Perform(e, post)
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), effectTimeout)
		defer cancel()
		r.run(ctx, e, post)
	}()
}

func (r *Effectrunner) run(ctx context.Context, e effect.Effect, post func(message.Message)) {
	switch e := e.(type) {
	case effect.CancelGrant:
		r.cancel(e.Grant)
	case effect.ReadLoad:
		post(r.prober.ReadLoad(ctx, e))
	case effect.ReadCache:
		post(r.prober.ReadCache(ctx, e))
	case effect.CheckCachedPrograms:
		r.checkCachedPrograms(ctx, e, post)
	case effect.Release:
		post(r.release(ctx, e))
	case effect.LookUp:
		post(r.lookUp(ctx, e))
	case effect.Order:
		post(r.prober.Order(ctx, e))
	}
}

// checkCachedPrograms compares the programs in an engine's memory with their records,
// and posts a message for each one whose memory is no longer needed.
func (r *Effectrunner) checkCachedPrograms(ctx context.Context, e effect.CheckCachedPrograms, post func(message.Message)) {
	for _, id := range e.Programs {
		release, releasable, err := r.programs.Releasable(ctx, id, e.Upstream)
		if err != nil {
			r.report(errors.Annotatef(err, "check whether program %s still needs its memory at %s", id, e.Upstream))
			continue
		}
		if releasable {
			post(message.ReleaseRequested{Program: id, Upstream: e.Upstream, Epoch: release.Epoch})
		}
	}
}

// release frees engine memory and records the release. If recording fails, the release
// is repeated, which has no further effect.
func (r *Effectrunner) release(ctx context.Context, e effect.Release) message.ReleaseDone {
	done := r.prober.Release(ctx, e)
	if done.Err == nil {
		_, done.Err = r.programs.Do(ctx, sequencer.Release{Program: e.Program, Upstream: e.Upstream})
	}
	return done
}

// lookUp settles an unknown outcome with the result that the upstream has recorded. A
// missing result settles nothing, since a paused process may still send the call.
func (r *Effectrunner) lookUp(ctx context.Context, e effect.LookUp) message.LookUpDone {
	done := message.LookUpDone{Program: e.Program, Call: e.Call}
	answer, found, err := r.prober.LookUp(ctx, e)
	if err == nil && found {
		_, err = r.programs.Do(ctx, sequencer.Resolve{Program: e.Program, Call: e.Call, Ran: true, Answer: answer, By: "look-up"})
		done.Recorded = err == nil
	}
	if err != nil {
		r.report(errors.Annotatef(err, "look up the outcome of call %s of program %s", e.Call, e.Program))
	}
	return done
}
