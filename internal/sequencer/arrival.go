package sequencer

import (
	"maps"
	"time"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/failure"
	"github.com/sassafrasspur/sassafrasspur/internal/outcome"
	"github.com/sassafrasspur/sassafrasspur/internal/program"
	"github.com/sassafrasspur/sassafrasspur/internal/record"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

// turnOverheadTokens bounds the tokens that rendering the turns adds to a
// prompt.
const turnOverheadTokens = 64

// arrive decides a call submitted by a caller.
func (s Sequencer) arrive(now time.Time, t program.Tree, a Arrive) Decision {
	state, ok := find(t, a.Program, a.Team)
	if !ok {
		err := notFound(a.Program)
		err.NotRun = a.First
		return refuse(err)
	}
	if call, ok := state.Calls[a.Request.Call]; ok {
		return s.decideDuplicate(now, t, state, call, a)
	}
	return s.admit(now, t, state, a)
}

// decideDuplicate decides a call whose ID is already recorded.
func (s Sequencer) decideDuplicate(now time.Time, t program.Tree, state *program.State, call program.Call, a Arrive) Decision {
	if call.BodyHash != a.BodyHash || call.Position != a.Request.Position {
		return refuse(failure.New(failure.CallMismatch,
			"call id %s was used with another body or position; use a new call id for a new call", a.Request.Call))
	}
	switch call.Status {
	case program.Done:
		turn := state.Turns[call.Position-1]
		return Answer{outcome.Replay{Attempt: turn.Attempt, Answer: turn.Answer}}
	case program.Unknown:
		return refuse(unknownOutcome(a.Request.Call))
	case program.Started, program.Intended:
		if s.alive(call.Holder) {
			return Wait{Attempt: call.Attempt}
		}
		if call.Status == program.Intended {
			return markInDoubt(a.Program, a.Request.Call, call, unknownOutcome(a.Request.Call))
		}
		return s.start(now, t, state, a, failOrphaned(a.Program, a.Request.Call, call))
	case program.Failed:
		if a.Awaited == call.Attempt && !call.Ran {
			// The caller may already have been told that the call did not run.
			return refuse(notDurable("the call was withdrawn before its dispatch"))
		}
		return s.admit(now, t, state, a)
	}
	return refuse(failure.New(failure.Internal, "call %s has unexpected status %q; report this", a.Request.Call, call.Status))
}

// markInDoubt records that the process of an intended call has ended, so that
// the outcome of the call is unknown.
func markInDoubt(id ident.ProgramID, callID ident.CallID, call program.Call, err *failure.Error) Decision {
	return Write{
		Records: []record.Record{record.Doubted{Program: id, Call: callID, Attempt: call.Attempt}},
		Outcome: outcome.Refused{Err: err},
	}
}

// failOrphaned returns the records that end a started attempt whose process has
// ended. A call that needs an intent and has none was not dispatched; any other
// call may have spent its whole reservation.
func failOrphaned(id ident.ProgramID, callID ident.CallID, call program.Call) []record.Record {
	failed := record.Failed{Program: id, Call: callID, Attempt: call.Attempt}
	if call.Repeatable {
		failed.Dispatched = true
		failed.Usage = record.Usage{Calls: call.Need.Calls, PromptTokens: call.Need.Tokens}
	}
	return []record.Record{failed}
}

// admit decides a call that has no attempt in progress.
func (s Sequencer) admit(now time.Time, t program.Tree, state *program.State, a Arrive) Decision {
	if state.Ended {
		return s.start(now, t, state, a, nil)
	}
	next := state.NextPosition()
	var before []record.Record
	if id, call, ok := state.OpenCall(); ok {
		inFlight := call.Status != program.Unknown && s.alive(call.Holder)
		switch {
		case inFlight && a.Request.Position == next+1:
			return Wait{}
		case inFlight:
			next++
		case call.Status == program.Started:
			before = failOrphaned(a.Program, id, call)
		default:
			refused := s.callRefusal(state, a, failure.OutcomeUnknown,
				"the outcome of call %s is unknown and later calls must wait; let an operator resolve it by a plan", id)
			if call.Status == program.Unknown {
				return refuse(refused)
			}
			return markInDoubt(a.Program, id, call, refused)
		}
	}
	if a.Request.Position > next {
		return s.refuseCall(state, a, failure.PositionGap, "the next position of program %s is %d; send the calls in order", a.Program, next)
	}
	if a.Request.Position < next {
		return s.refuseCall(state, a, failure.CallMismatch, "position %d is taken by another call id; the next position is %d", a.Request.Position, next)
	}
	return s.start(now, t, state, a, before)
}

// start reserves the maximum cost of a call and starts its next attempt. The
// records in before end an earlier attempt and are written first.
func (s Sequencer) start(now time.Time, t program.Tree, state *program.State, a Arrive, before []record.Record) Decision {
	if len(before) > 0 {
		t = t.Clone()
		for _, r := range before {
			t.Apply(r)
		}
		state = t[a.Program]
	}
	if state.Ended {
		return writeAndRefuse(before, s.callRefusal(state, a, failure.ProgramEnded, "program %s has ended (%s); open a new one", a.Program, state.Reason))
	}
	root := t[state.ID.Root()]
	need := worstCase(a, state)
	if limit, final := exhausted(root, t.Reserved(), need, now); limit != "" {
		if final {
			before = append(before, record.Ended{Program: root.ID, Reason: "budget exhausted: " + limit})
		}
		return writeAndRefuse(before, s.callRefusal(state, a, failure.BudgetExhausted,
			"the %s of the budget of program %s do not cover the call (spent: %d calls, %d tokens); open a program with a larger budget",
			limit, root.ID, root.Spent.Calls, root.Spent.Tokens))
	}
	call := state.Calls[a.Request.Call]
	started := record.Started{
		Program: a.Program, Request: a.Request, BodyHash: a.BodyHash, Attempt: call.Attempt + 1, Need: need,
		Repeatable: a.Repeatable, Holder: s.self,
	}
	return Write{Records: append(before, started), Outcome: outcome.Run{
		Attempt:         started.Attempt,
		Class:           state.Class,
		History:         state.Turns[:len(state.Turns):len(state.Turns)],
		HistoryTokens:   state.HistoryTokens,
		CachedTokens:    maps.Clone(state.Residents),
		AttainedService: root.Spent.Tokens,
		FirstAttempt:    a.First && !call.Ran,
	}}
}

// writeAndRefuse refuses a request after the records, if any, are durable.
func writeAndRefuse(records []record.Record, err *failure.Error) Decision {
	if len(records) == 0 {
		return refuse(err)
	}
	return Write{Records: records, Outcome: outcome.Refused{Err: err}}
}

// exhausted returns the name of the budget limit that a call would exceed, empty
// if the budget covers the call. It also reports whether the budget can cover no
// further call: the program is ended then, which stops agents that loop and
// releases engine memory.
func exhausted(root *program.State, reserved, need record.Amount, now time.Time) (limit string, final bool) {
	total := root.Spent.Add(reserved).Add(need)
	switch {
	case expired(root, now):
		return "time", true
	case total.Calls > root.Budget.Calls:
		return "calls", root.Spent.Calls >= root.Budget.Calls
	case total.Tokens > root.Budget.Tokens:
		return "tokens", root.Spent.Tokens >= root.Budget.Tokens
	}
	return "", false
}

// worstCase returns the maximum cost of a call. A token has at least one byte,
// so the byte length of text that no engine has counted yet bounds its tokens.
func worstCase(a Arrive, state *program.State) record.Amount {
	need := record.Amount{Calls: 1}
	if !a.Engine {
		return need
	}
	prompt := len(a.Request.Body)
	for i := len(state.Turns) - 1; i >= 0; i-- {
		turn := state.Turns[i]
		if turn.Answer.Usage.PromptTokens > 0 {
			break
		}
		prompt += len(turn.Body) + len(turn.Answer.Body)
	}
	need.Tokens = state.HistoryTokens + unit.Tokens(prompt+turnOverheadTokens) + a.Request.MaxTokens
	return need
}

// refuseCall refuses a call that is not started.
func (s Sequencer) refuseCall(state *program.State, a Arrive, kind failure.Kind, format string, args ...any) Decision {
	return refuse(s.callRefusal(state, a, kind, format, args...))
}

// callRefusal returns the error for a call that is not started. An earlier copy
// of the request may still reach another VM and start there, so the error says
// "not run" only if the caller states that this is the first submission.
func (s Sequencer) callRefusal(state *program.State, a Arrive, kind failure.Kind, format string, args ...any) *failure.Error {
	err := failure.New(kind, format, args...)
	err.NotRun = a.First && !state.Calls[a.Request.Call].Ran
	return err
}
