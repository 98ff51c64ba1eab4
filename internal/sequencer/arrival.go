package sequencer

import (
	"maps"
	"time"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/effect"
	"github.com/sassafrasspur/sassafrasspur/internal/failure"
	"github.com/sassafrasspur/sassafrasspur/internal/message"
	"github.com/sassafrasspur/sassafrasspur/internal/outcome"
	"github.com/sassafrasspur/sassafrasspur/internal/program"
	"github.com/sassafrasspur/sassafrasspur/internal/record"
	"github.com/sassafrasspur/sassafrasspur/internal/reserver"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

// arrive decides on a call that a caller sent.
func (s *Sequencer) arrive(now time.Time, m message.CallArrived) []effect.Effect {
	on, state, activity := s.find(m.Program, m.Team)
	switch {
	case on == nil:
		return one(refuse(m.Ticket, notOwner()))
	case !now.Before(s.leaseUntil):
		// Another node may own the shard by now and may have run the call.
		err := failure.New(failure.PlatformUnavailable, "the lease of this VM has lapsed; repeat the call with the same call id")
		err.NotRun, err.RetryAfter = m.First, backoff
		return one(refuse(m.Ticket, err))
	case on.closing:
		on.parked = append(on.parked, m)
		return nil
	case state == nil:
		return one(refuse(m.Ticket, notFound(m.Program)))
	}
	if effects, known := s.repeat(m, state, activity); known {
		return effects
	}
	return s.admit(now, m, on, state, activity)
}

// repeat answers a call whose id is known; it reports false if it is not.
func (s *Sequencer) repeat(m message.CallArrived, state *program.State, activity *active) ([]effect.Effect, bool) {
	if r := activity.running; r != nil && r.arrived.Request.Call == m.Request.Call {
		if r.arrived.BodyHash != m.BodyHash || r.arrived.Request.Position != m.Request.Position {
			return one(refuse(m.Ticket, mismatch(m))), true
		}
		r.joined = append(r.joined, m.Ticket)
		return nil, true
	}
	call, ok := state.Calls[m.Request.Call]
	if !ok {
		return nil, false
	}
	if call.BodyHash != m.BodyHash || call.Position != m.Request.Position {
		return one(refuse(m.Ticket, mismatch(m))), true
	}
	if call.Status != program.Done {
		return one(refuse(m.Ticket, unknownOutcome(m.Request.Call))), true
	}
	turn := state.Turns[call.Position-1]
	return one(answer(m.Ticket, outcome.Replay{Attempt: turn.Attempt, Answer: turn.Answer})), true
}

// admit decides on a call whose id is new.
func (s *Sequencer) admit(now time.Time, m message.CallArrived, on *shard, state *program.State, activity *active) []effect.Effect {
	if state.Ended || activity.ending {
		return one(s.turnAway(m, activity, failure.ProgramEnded, "program %s has ended (%s); open a new one", m.Program, state.Reason))
	}
	if id, _, open := state.Open(); open && activity.running == nil {
		return one(s.turnAway(m, activity, failure.OutcomeUnknown,
			"the outcome of call %s is unknown and later calls must wait; let an operator resolve it by a plan", id))
	}
	next := state.Next()
	if activity.running != nil && m.Request.Position == next+1 {
		activity.parked = append(activity.parked, m)
		return nil
	}
	if m.Request.Position > next {
		return one(s.turnAway(m, activity, failure.PositionGap, "the next position of program %s is %d; send the calls in order", m.Program, next))
	}
	if activity.running != nil {
		next++
	}
	if m.Request.Position < next {
		return one(s.turnAway(m, activity, failure.CallMismatch, "position %d is taken by another call id; the next position is %d", m.Request.Position, next))
	}
	return s.reserve(now, m, on, state, activity)
}

// reserve takes the worst case of a call from the budget and starts the call.
func (s *Sequencer) reserve(now time.Time, m message.CallArrived, on *shard, state *program.State, activity *active) []effect.Effect {
	root := on.programs[m.Program.Root()]
	rootActivity := on.activity(root.ID)
	need := worstCase(m, state)
	account := reserver.Account{Budget: root.Budget, Allowance: root.Allowance, Spent: root.Spent, Reserved: rootActivity.reserved}
	switch d := s.reserver.Decide(account, need, now).(type) {
	case reserver.Exhausted:
		return s.exhausted(m, d, on, root, activity)
	case reserver.Extend:
		activity.running = &running{arrived: m, need: need}
		rootActivity.reserved = add(rootActivity.reserved, need)
		extended := record.Extended{Program: root.ID, Allowance: d.Allowance}
		return one(s.record(on, extension{program: m.Program, record: extended, ticket: m.Ticket}, extended))
	case reserver.Reserve:
		activity.running = &running{arrived: m, need: need}
		rootActivity.reserved = add(rootActivity.reserved, need)
		return one(s.start(on, state, activity))
	}
	return nil
}

// start lets the running call of a program go on to an upstream.
func (s *Sequencer) start(on *shard, state *program.State, activity *active) effect.Effect {
	r := activity.running
	r.started = true
	fresh := !r.arrived.Repeatable || r.arrived.First && activity.attempts[r.arrived.Request.Call] == 0
	activity.attempts[r.arrived.Request.Call]++
	r.attempt = activity.attempts[r.arrived.Request.Call]
	return answer(r.arrived.Ticket, outcome.Run{
		Attempt:       r.attempt,
		Epoch:         on.epoch,
		Class:         state.Class,
		History:       state.Turns[:len(state.Turns):len(state.Turns)],
		HistoryTokens: state.HistoryTokens,
		Residents:     maps.Clone(state.Residents),
		Served:        on.programs[state.ID.Root()].Spent.Tokens,
		Fresh:         fresh,
	})
}

// exhausted refuses a call for its budget. If the budget covers no call at all,
// the program ends, so that a loop does not go on and engine memory is freed.
func (s *Sequencer) exhausted(m message.CallArrived, d reserver.Exhausted, on *shard, root *program.State, activity *active) []effect.Effect {
	effects := one(s.turnAway(m, activity, failure.BudgetExhausted,
		"the %s of the budget of program %s do not cover the call (spent: %d calls, %d tokens); open a program with a larger budget",
		d.Limit, root.ID, root.Spent.Calls, root.Spent.Tokens))
	if d.Final {
		effects = append(effects, s.end(on, root, 0, "budget exhausted: "+d.Limit)...)
	}
	return effects
}

// turnAway refuses a call that was not let run. The owner's lease is valid and
// the call has no intent, so that a call that may not be repeated has not run
// anywhere. A call that may be repeated leaves no durable trace before its
// answer; only the caller can say that it was never sent before.
func (s *Sequencer) turnAway(m message.CallArrived, activity *active, kind failure.Kind, format string, args ...any) effect.Effect {
	err := failure.New(kind, format, args...)
	err.NotRun = !m.Repeatable || m.First && activity.attempts[m.Request.Call] == 0
	return refuse(m.Ticket, err)
}

// worstCase returns what a call may spend at most. A token has at least one
// byte, so that the length of new text bounds its tokens.
func worstCase(m message.CallArrived, state *program.State) record.Allowance {
	need := record.Allowance{Calls: 1}
	if !m.Engine {
		return need
	}
	prompt := len(m.Request.Body)
	for i := len(state.Turns) - 1; i >= 0; i-- {
		turn := state.Turns[i]
		if turn.Answer.Usage.PromptTokens > 0 {
			break
		}
		prompt += len(turn.Body) + len(turn.Answer.Body)
	}
	need.Tokens = state.HistoryTokens + unit.Tokens(prompt+turnOverhead) + m.Request.MaxTokens
	return need
}

// turnOverhead bounds the tokens that the rendering of turns adds to a prompt.
const turnOverhead = 64

func add(a, b record.Allowance) record.Allowance {
	return record.Allowance{Calls: a.Calls + b.Calls, Tokens: a.Tokens + b.Tokens}
}

func subtract(a, b record.Allowance) record.Allowance {
	return record.Allowance{Calls: a.Calls - b.Calls, Tokens: a.Tokens - b.Tokens}
}

func mismatch(m message.CallArrived) *failure.Error {
	return failure.New(failure.CallMismatch, "call id %s was used with another body or position; use a new call id for a new call", m.Request.Call)
}

func unknownOutcome(call ident.CallID) *failure.Error {
	return failure.New(failure.OutcomeUnknown,
		"call %s was sent to its upstream and the outcome is unknown; do not send it under a new call id, let an operator resolve it by a plan", call)
}

func one(e effect.Effect) []effect.Effect { return []effect.Effect{e} }
