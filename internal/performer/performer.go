// Package performer carries out the effects that need I/O.
//
// Each effect runs in a goroutine of its own and reports its result as a
// message. The controllers bound the effects that are under way: there is one
// read of each table at a time, and one probe for each upstream.
package performer

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/bookkeeper"
	"github.com/sassafrasspur/sassafrasspur/internal/effect"
	"github.com/sassafrasspur/sassafrasspur/internal/message"
	"github.com/sassafrasspur/sassafrasspur/internal/outcome"
	"github.com/sassafrasspur/sassafrasspur/internal/record"
	"github.com/sassafrasspur/sassafrasspur/internal/sequencer"
)

// Store carries out the effects that need the platform's store alone.
type Store interface {
	Perform(e effect.Effect, post func(message.Message))
}

// Programs keeps the records of programs.
type Programs interface {
	Do(ctx context.Context, r sequencer.Request) (outcome.Outcome, error)
	Unneeded(ctx context.Context, id ident.ProgramID, upstream ident.UpstreamID) (bookkeeper.Release, bool, error)
}

// Prober asks upstreams about themselves and gives them orders.
type Prober interface {
	ReadLoad(ctx context.Context, e effect.ReadLoad) message.UpstreamReported
	ReadCache(ctx context.Context, e effect.ReadCache) message.CacheRead
	Release(ctx context.Context, e effect.Release) message.ReleaseDone
	// LookUp returns the answer to a call, false if the upstream has none.
	LookUp(ctx context.Context, e effect.LookUp) (record.Answer, bool, error)
	Order(ctx context.Context, e effect.Order) message.OrderDone
}

// effectLimit bounds one effect: the calls of upstreams and of the store that it
// consists of have limits of 10 s at most.
const effectLimit = 30 * time.Second

// Performer carries out effects.
type Performer struct {
	store    Store
	programs Programs
	prober   Prober
	cancel   func(ident.Grant)
	report   func(error)
}

// New returns a performer. The function cancel stops the dispatch that uses a
// grant. Errors that no controller learns of are given to report.
func New(s Store, programs Programs, u Prober, cancel func(ident.Grant), report func(error)) *Performer {
	return &Performer{store: s, programs: programs, prober: u, cancel: cancel, report: report}
}

// Perform starts an effect and returns at once. Its result is posted.
func (p *Performer) Perform(e effect.Effect, post func(message.Message)) {
	switch e.(type) {
	case effect.ReadRows, effect.WatchRows, effect.WriteRows, effect.AskUpstreams, effect.AskMembers:
		p.store.Perform(e, post)
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), effectLimit)
		defer cancel()
		p.perform(ctx, e, post)
	}()
}

func (p *Performer) perform(ctx context.Context, e effect.Effect, post func(message.Message)) {
	switch e := e.(type) {
	case effect.CancelGrant:
		p.cancel(e.Grant)
	case effect.ReadLoad:
		post(p.prober.ReadLoad(ctx, e))
	case effect.ReadCache:
		post(p.prober.ReadCache(ctx, e))
	case effect.CheckMemory:
		p.checkMemory(ctx, e, post)
	case effect.Release:
		post(p.release(ctx, e))
	case effect.LookUp:
		post(p.lookUp(ctx, e))
	case effect.Order:
		post(p.prober.Order(ctx, e))
	}
}

// checkMemory compares programs that an engine holds with their records.
func (p *Performer) checkMemory(ctx context.Context, e effect.CheckMemory, post func(message.Message)) {
	for _, id := range e.Programs {
		release, unneeded, err := p.programs.Unneeded(ctx, id, e.Upstream)
		if err != nil {
			p.report(errors.Annotatef(err, "memory of %s at %s is compared later", id, e.Upstream))
			continue
		}
		if unneeded {
			post(message.ReleaseWanted{Program: id, Upstream: e.Upstream, Epoch: release.Epoch})
		}
	}
}

// release frees engine memory and records that. Without the record, the release
// is repeated, which changes nothing.
func (p *Performer) release(ctx context.Context, e effect.Release) message.ReleaseDone {
	done := p.prober.Release(ctx, e)
	if done.Err == nil {
		_, done.Err = p.programs.Do(ctx, sequencer.Release{Program: e.Program, Upstream: e.Upstream})
	}
	return done
}

// lookUp settles an unknown outcome by the upstream's own result. A result that
// is not found settles nothing: a frozen process may still send the call.
func (p *Performer) lookUp(ctx context.Context, e effect.LookUp) message.LookedUp {
	looked := message.LookedUp{Program: e.Program, Call: e.Call}
	answer, found, err := p.prober.LookUp(ctx, e)
	if err == nil && found {
		_, err = p.programs.Do(ctx, sequencer.Resolve{Program: e.Program, Call: e.Call, Ran: true, Answer: answer, By: "look-up"})
		looked.Settled = err == nil
	}
	if err != nil {
		p.report(errors.Annotatef(err, "call %s of %s is looked up again", e.Call, e.Program))
	}
	return looked
}
