package sequencer

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/failure"
	"github.com/sassafrasspur/sassafrasspur/internal/outcome"
	"github.com/sassafrasspur/sassafrasspur/internal/program"
	"github.com/sassafrasspur/sassafrasspur/internal/record"
)

// retryDelay is the retry delay suggested by refusals for transient conditions.
const retryDelay = 500 * time.Millisecond

// Sequencer makes the decisions of one process.
type Sequencer struct {
	self  record.Holder
	alive func(record.Holder) bool
}

// New returns the sequencer of the process self. The function alive reports
// whether a process may still record the end of its attempts.
func New(self record.Holder, alive func(record.Holder) bool) Sequencer {
	return Sequencer{self: self, alive: alive}
}

// Decide returns the decision on a request, given the tree of its program. The
// tree is empty if the program does not exist; it is not modified.
func (s Sequencer) Decide(now time.Time, t program.Tree, r Request) Decision {
	switch r := r.(type) {
	case Open:
		return open(t, r)
	case OpenChild:
		return openChild(t, r)
	case Submit:
		return s.submit(now, t, r)
	case Intend:
		return s.intend(t, r)
	case Cancel:
		return s.cancel(t, r)
	case Complete:
		return s.complete(t, r)
	case Fail:
		return s.fail(t, r)
	case Withdraw:
		return s.withdraw(t, r)
	case End:
		return end(t, r)
	case Show:
		return s.show(now, t, r)
	case Resolve:
		return s.resolve(t, r)
	case Release:
		return release(t, r)
	}
	return refuse(failure.New(failure.Internal, "request type %T is not supported; report this", r))
}

func open(t program.Tree, r Open) Decision {
	if state, ok := t[r.Program]; ok {
		if state.Team != r.Team {
			return refuse(failure.New(failure.InvalidRequest, "program id %s is taken; choose another", r.Program))
		}
		return Answer{outcome.Opened{Program: r.Program}}
	}
	return Write{
		Records: []record.Record{record.Opened{Program: r.Program, Team: r.Team, Class: r.Class, Budget: r.Budget}},
		Outcome: outcome.Opened{Program: r.Program},
	}
}

func openChild(t program.Tree, r OpenChild) Decision {
	parent, ok := find(t, r.Parent, r.Team)
	switch {
	case !ok:
		return refuse(notFound(r.Parent))
	case parent.Ended:
		return refuse(failure.New(failure.ProgramEnded, "program %s has ended; open a new one", r.Parent))
	}
	if _, ok := t[r.Child]; ok {
		return Answer{outcome.Opened{Program: r.Child}}
	}
	return Write{
		Records: []record.Record{record.Opened{Program: r.Child, Team: parent.Team, Class: parent.Class}},
		Outcome: outcome.Opened{Program: r.Child},
	}
}

func end(t program.Tree, r End) Decision {
	state, ok := find(t, r.Program, r.Team)
	switch {
	case !ok:
		return refuse(notFound(r.Program))
	case state.Ended:
		return Answer{outcome.Ended{Program: r.Program}}
	}
	return Write{
		Records: []record.Record{record.Ended{Program: r.Program, Reason: r.Reason}},
		Outcome: outcome.Ended{Program: r.Program},
	}
}

// show returns a view of a program. It ends a program whose budget has expired,
// so that its engine memory is released even if no further call arrives.
func (s Sequencer) show(now time.Time, t program.Tree, r Show) Decision {
	state, ok := find(t, r.Program, r.Team)
	if !ok {
		return refuse(notFound(r.Program))
	}
	root := t[state.ID.Root()]
	if !root.Ended && expired(root, now) {
		ended := expiryRecord(root)
		after := t.Clone()
		after.Apply(ended)
		return Write{Records: []record.Record{ended}, Outcome: s.shownOutcome(after, r.Program)}
	}
	return Answer{s.shownOutcome(t, r.Program)}
}

// shownOutcome returns the view of a program. An intended call whose process has
// ended is shown with an unknown outcome although that is not recorded yet.
func (s Sequencer) shownOutcome(t program.Tree, id ident.ProgramID) outcome.Outcome {
	view := program.View{State: t[id].Clone(), Root: t[id.Root()].Clone(), Reserved: t.Reserved(), Running: s.running(t[id])}
	for id, call := range view.Calls {
		if call.Status == program.Intended && !s.alive(call.Holder) {
			call.Status = program.Unknown
			view.Calls[id] = call
		}
	}
	return outcome.Shown{View: view}
}

func release(t program.Tree, r Release) Decision {
	state, ok := t[r.Program]
	if !ok {
		return Answer{outcome.Durable{}}
	}
	if _, ok := state.CachedTokens[r.Upstream]; !ok {
		return Answer{outcome.Durable{}}
	}
	return Write{
		Records: []record.Record{record.Released{Program: r.Program, Upstream: r.Upstream}},
		Outcome: outcome.Durable{},
	}
}

// running reports whether a program has a call in progress.
func (s Sequencer) running(state *program.State) bool {
	_, call, ok := state.OpenCall()
	return ok && call.Status != program.Unknown && s.alive(call.Holder)
}

// find returns a program if it belongs to the team. An empty team matches any.
func find(t program.Tree, id ident.ProgramID, team ident.TeamID) (*program.State, bool) {
	state, ok := t[id]
	if !ok || team != "" && state.Team != team {
		return nil, false
	}
	return state, true
}

// expired reports whether the budget of a root program has expired.
func expired(root *program.State, now time.Time) bool {
	return !root.Budget.Expires.IsZero() && now.After(root.Budget.Expires)
}

// expiryRecord returns the record that ends a program whose budget has expired.
func expiryRecord(root *program.State) record.Record {
	return record.Ended{Program: root.ID, Reason: "budget exhausted: time"}
}

func sortedCachedUpstreams(state *program.State) []ident.UpstreamID {
	return slices.Sorted(maps.Keys(state.CachedTokens))
}

func refuse(err *failure.Error) Decision { return Answer{outcome.Refused{Err: err}} }

func notFound(id ident.ProgramID) *failure.Error {
	return failure.New(failure.NotFound, "there is no program %s of this team; open it first or check the id", id)
}

func unknownOutcome(call ident.CallID) *failure.Error {
	return failure.New(failure.OutcomeUnknown,
		"call %s was sent to its upstream and the outcome is unknown; do not send it under a new call id, let an operator resolve it by a plan", call)
}

// notDurable returns an error that asks the caller to repeat the request,
// because it is not known to be recorded.
func notDurable(format string, args ...any) *failure.Error {
	err := failure.New(failure.NotDurable, "%s; repeat the request with the same call id", fmt.Sprintf(format, args...))
	err.RetryAfter = retryDelay
	return err
}
