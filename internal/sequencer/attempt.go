package sequencer

import (
	"slices"

	"github.com/sassafrasspur/sassafrasspur/internal/failure"
	"github.com/sassafrasspur/sassafrasspur/internal/outcome"
	"github.com/sassafrasspur/sassafrasspur/internal/program"
	"github.com/sassafrasspur/sassafrasspur/internal/record"
)

// currentAttempt returns the call of an attempt and whether the attempt is the
// call's latest and belongs to this process. The holder is compared because two
// processes may have tried to start the same attempt, and only one succeeded.
func (s Sequencer) currentAttempt(t program.Tree, id record.AttemptID) (program.Call, bool) {
	state, ok := t[id.Program]
	if !ok {
		return program.Call{}, false
	}
	call, ok := state.Calls[id.Call]
	return call, ok && call.Attempt == id.Attempt && call.Holder == s.self
}

// intend records the intent to dispatch a call to an upstream.
func (s Sequencer) intend(t program.Tree, r Intend) Decision {
	call, isCurrent := s.currentAttempt(t, r.AttemptID)
	switch {
	case isCurrent && call.Status == program.Started:
		return Write{
			Records: []record.Record{record.Intended{Program: r.Program, Call: r.Call, Attempt: r.Attempt, Upstream: r.Upstream}},
			Outcome: outcome.Durable{},
		}
	case isCurrent && call.Status == program.Intended && call.Upstream == r.Upstream:
		return Answer{outcome.Durable{}}
	}
	return refuse(notDurable("another VM took over the call before it was dispatched"))
}

// cancel revokes an intent that was not dispatched. If another VM has marked the
// outcome of the attempt as unknown in the meantime, the attempt is failed.
func (s Sequencer) cancel(t program.Tree, r Cancel) Decision {
	call, isCurrent := s.currentAttempt(t, r.AttemptID)
	switch {
	case isCurrent && call.Status == program.Intended:
		return Write{
			Records: []record.Record{record.Cancelled{Program: r.Program, Call: r.Call, Attempt: r.Attempt}},
			Outcome: outcome.Durable{},
		}
	case isCurrent && call.Status == program.Started:
		return Answer{outcome.Durable{}}
	case isCurrent && call.Status == program.Unknown:
		return Write{
			Records: []record.Record{record.Failed{Program: r.Program, Call: r.Call, Attempt: r.Attempt}},
			Outcome: outcome.Refused{Err: notDurable("the attempt was given up")},
		}
	}
	return refuse(notDurable("the attempt was given up"))
}

// complete records an answer. A late answer settles an outcome that was marked
// as unknown; it is refused if the call was started again.
func (s Sequencer) complete(t program.Tree, r Complete) Decision {
	call, isCurrent := s.currentAttempt(t, r.AttemptID)
	switch {
	case isCurrent && call.Open():
		return Write{
			Records: []record.Record{record.Completed{
				Program: r.Program, Call: r.Call, Attempt: r.Attempt, Upstream: r.Upstream, Answer: r.Answer, Resident: r.Resident,
			}},
			Outcome: outcome.Durable{},
		}
	case isCurrent && call.Status == program.Done:
		return Answer{outcome.Durable{}}
	}
	return refuse(notDurable("the answer came after the attempt was given up"))
}

// fail ends an attempt that has no answer. The outcome becomes unknown if the
// call may have run and must not be repeated.
func (s Sequencer) fail(t program.Tree, r Fail) Decision {
	call, isCurrent := s.currentAttempt(t, r.AttemptID)
	switch {
	case !isCurrent:
		return refuse(notDurable("another VM took over the call"))
	case !call.Open():
		return Answer{outcome.Durable{}}
	}
	if r.Dispatched && !call.Repeatable {
		if call.Status == program.Unknown {
			return Answer{outcome.Durable{}}
		}
		return Write{
			Records: []record.Record{record.Doubted{Program: r.Program, Call: r.Call, Attempt: r.Attempt}},
			Outcome: outcome.Durable{},
		}
	}
	return Write{
		Records: []record.Record{record.Failed{
			Program: r.Program, Call: r.Call, Attempt: r.Attempt, Dispatched: r.Dispatched, Usage: r.Usage, Upstream: r.Upstream,
		}},
		Outcome: outcome.Durable{},
	}
}

// withdraw ends an attempt whose start may not have been recorded. If it is not
// recorded, an empty batch takes the sequence number that a late transaction
// would write, so that the transaction fails its conditions.
func (s Sequencer) withdraw(t program.Tree, r Withdraw) Decision {
	call, isCurrent := s.currentAttempt(t, r.AttemptID)
	if isCurrent && !call.Open() {
		return Answer{outcome.Durable{}}
	}
	var records []record.Record
	if isCurrent {
		records = append(records, record.Failed{Program: r.Program, Call: r.Call, Attempt: r.Attempt})
	}
	return Write{Records: records, Outcome: outcome.Durable{}}
}

// resolve settles an unknown outcome. It is idempotent for the same result,
// because the confirmation of a plan may be repeated.
func (s Sequencer) resolve(t program.Tree, r Resolve) Decision {
	state, ok := find(t, r.Program, r.Team)
	if !ok {
		return refuse(notFound(r.Program))
	}
	call, known := state.Calls[r.Call]
	if resolved(state, call, known, r) {
		return Answer{outcome.Durable{}}
	}
	orphaned := call.Status == program.Intended && !s.alive(call.Holder)
	if call.Status != program.Unknown && !orphaned {
		return refuse(failure.New(failure.InvalidRequest,
			"the outcome of call %s is not unknown; check the open calls of the program before settling it", r.Call))
	}
	return Write{
		Records: []record.Record{record.Resolved{Program: r.Program, Call: r.Call, Ran: r.Ran, Answer: r.Answer, By: r.By}},
		Outcome: outcome.Durable{},
	}
}

// resolved reports whether a call already has the requested outcome.
func resolved(state *program.State, call program.Call, known bool, r Resolve) bool {
	if !r.Ran {
		return !known || call.Status == program.Failed
	}
	return call.Status == program.Done && slices.ContainsFunc(state.Turns, func(turn program.Turn) bool {
		return turn.Call == r.Call && turn.Answer.Body == r.Answer.Body && !turn.Answer.Failed
	})
}
