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

// submit decides a call submitted by a caller.
func (s Sequencer) submit(now time.Time, t program.Tree, r Submit) Decision {
	state, ok := find(t, r.Program, r.Team)
	if !ok {
		err := notFound(r.Program)
		err.NotRun = r.FirstSubmission
		return refuse(err)
	}
	if call, ok := state.Calls[r.Request.Call]; ok {
		return s.decideDuplicate(now, t, state, call, r)
	}
	return s.admit(now, t, state, r)
}

// decideDuplicate decides a call whose ID is already recorded.
func (s Sequencer) decideDuplicate(now time.Time, t program.Tree, state *program.State, call program.Call, r Submit) Decision {
	if call.BodyHash != r.BodyHash || call.Position != r.Request.Position {
		return refuse(failure.New(failure.CallMismatch,
			"call id %s was used with another body or position; use a new call id for a new call", r.Request.Call))
	}
	switch call.Status {
	case program.Done:
		turn := state.Turns[call.Position-1]
		return Answer{outcome.Replay{Attempt: turn.Attempt, Answer: turn.Answer}}
	case program.Unknown:
		return refuse(unknownOutcome(r.Request.Call))
	case program.Started, program.Intended:
		if s.alive(call.Holder) {
			return Wait{Attempt: call.Attempt}
		}
		if call.Status == program.Intended {
			return markInDoubt(r.Program, r.Request.Call, call, unknownOutcome(r.Request.Call))
		}
		return s.start(now, t, state, r, failOrphaned(r.Program, r.Request.Call, call))
	case program.Failed:
		if r.Awaited == call.Attempt && !call.Ran {
			// The caller may already have been told that the call did not run.
			return refuse(notDurable("the call was withdrawn before its dispatch"))
		}
		return s.admit(now, t, state, r)
	}
	return refuse(failure.New(failure.Internal, "call %s has unexpected status %q; report this", r.Request.Call, call.Status))
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
func (s Sequencer) admit(now time.Time, t program.Tree, state *program.State, r Submit) Decision {
	if state.Ended {
		return s.start(now, t, state, r, nil)
	}
	next := state.NextPosition()
	var before []record.Record
	if id, call, ok := state.OpenCall(); ok {
		inFlight := call.Status != program.Unknown && s.alive(call.Holder)
		switch {
		case inFlight && r.Request.Position == next+1:
			return Wait{}
		case inFlight:
			next++
		case call.Status == program.Started:
			before = failOrphaned(r.Program, id, call)
		default:
			refused := s.callRefusal(state, r, failure.OutcomeUnknown,
				"the outcome of call %s is unknown and later calls must wait; let an operator resolve it by a plan", id)
			if call.Status == program.Unknown {
				return refuse(refused)
			}
			return markInDoubt(r.Program, id, call, refused)
		}
	}
	if r.Request.Position > next {
		return s.refuseCall(state, r, failure.PositionGap, "the next position of program %s is %d; send the calls in order", r.Program, next)
	}
	if r.Request.Position < next {
		return s.refuseCall(state, r, failure.CallMismatch, "position %d is taken by another call id; the next position is %d", r.Request.Position, next)
	}
	return s.start(now, t, state, r, before)
}

// start reserves the maximum cost of a call and starts its next attempt. The
// records in before end an earlier attempt and are written first.
func (s Sequencer) start(now time.Time, t program.Tree, state *program.State, r Submit, before []record.Record) Decision {
	if len(before) > 0 {
		t = t.Clone()
		for _, r := range before {
			t.Apply(r)
		}
		state = t[r.Program]
	}
	if state.Ended {
		return writeAndRefuse(before, s.callRefusal(state, r, failure.ProgramEnded, "program %s has ended (%s); open a new one", r.Program, state.Reason))
	}
	root := t[state.ID.Root()]
	need := worstCase(r, state)
	if limit, final := exhausted(root, t.Reserved(), need, now); limit != "" {
		if final {
			before = append(before, record.Ended{Program: root.ID, Reason: "budget exhausted: " + limit})
		}
		return writeAndRefuse(before, s.callRefusal(state, r, failure.BudgetExhausted,
			"the %s of the budget of program %s do not cover the call (spent: %d calls, %d tokens); open a program with a larger budget",
			limit, root.ID, root.Spent.Calls, root.Spent.Tokens))
	}
	call := state.Calls[r.Request.Call]
	started := record.Started{
		Program: r.Program, Request: r.Request, BodyHash: r.BodyHash, Attempt: call.Attempt + 1, Need: need,
		Repeatable: r.Repeatable, Holder: s.self,
	}
	return Write{Records: append(before, started), Outcome: outcome.Run{
		Attempt:         started.Attempt,
		Class:           state.Class,
		History:         state.Turns[:len(state.Turns):len(state.Turns)],
		HistoryTokens:   state.HistoryTokens,
		CachedTokens:    maps.Clone(state.CachedTokens),
		AttainedService: root.Spent.Tokens,
		FirstAttempt:    r.FirstSubmission && !call.Ran,
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

// maxTokensPerCall bounds the limit that a call states, so that sums with it don't
// overflow. No budget covers a call of this size.
const maxTokensPerCall unit.Tokens = 1e12

// worstCase returns the maximum cost of a call. A token has at least one byte,
// so the byte length of text that no engine has counted yet bounds its tokens.
func worstCase(r Submit, state *program.State) record.Amount {
	need := record.Amount{Calls: 1}
	if !r.Engine {
		return need
	}
	prompt := len(r.Request.Body)
	for i := len(state.Turns) - 1; i >= 0; i-- {
		turn := state.Turns[i]
		if turn.Answer.Usage.PromptTokens > 0 {
			break
		}
		prompt += len(turn.Body) + len(turn.Answer.Body)
	}
	need.Tokens = state.HistoryTokens + unit.Tokens(prompt+turnOverheadTokens) + min(r.Request.MaxTokens, maxTokensPerCall)
	return need
}

// refuseCall refuses a call that is not started.
func (s Sequencer) refuseCall(state *program.State, r Submit, kind failure.Kind, format string, args ...any) Decision {
	return refuse(s.callRefusal(state, r, kind, format, args...))
}

// callRefusal returns the error for a call that is not started. An earlier copy
// of the request may still reach another VM and start there, so the error says
// "not run" only if the caller states that this is the first submission.
func (s Sequencer) callRefusal(state *program.State, r Submit, kind failure.Kind, format string, args ...any) *failure.Error {
	err := failure.New(kind, format, args...)
	err.NotRun = r.FirstSubmission && !state.Calls[r.Request.Call].Ran
	return err
}
