package sequencer

import (
	"time"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/effect"
	"github.com/sassafrasspur/sassafrasspur/internal/failure"
	"github.com/sassafrasspur/sassafrasspur/internal/message"
	"github.com/sassafrasspur/sassafrasspur/internal/outcome"
	"github.com/sassafrasspur/sassafrasspur/internal/program"
	"github.com/sassafrasspur/sassafrasspur/internal/record"
	"github.com/sassafrasspur/sassafrasspur/internal/reserver"
)

// current returns a program's running call if it is the given attempt.
func (s *Sequencer) current(id message.AttemptID) (*shard, *program.State, *active, bool) {
	on, state, activity := s.find(id.Program, "")
	if state == nil || activity.running == nil {
		return on, state, activity, false
	}
	r := activity.running
	same := r.arrived.Request.Call == id.Call && r.attempt == id.Attempt && on.epoch == id.Epoch
	return on, state, activity, same && r.started && !r.finishing
}

// intend records that a call is about to be dispatched.
func (s *Sequencer) intend(now time.Time, m message.IntentRequested) []effect.Effect {
	on, _, activity, ok := s.current(m.AttemptID)
	if !ok || !now.Before(s.leaseUntil) {
		// Nothing was handed to the journal, so that the call can't run.
		return one(refuse(m.Ticket, failure.Refusal(failure.PlatformUnavailable, backoff,
			"the lease of this VM has lapsed before the dispatch; repeat the call with the same call id")))
	}
	r := activity.running
	r.intended, r.durableIntent = true, false
	intended := record.Intended{
		Program:  m.Program,
		Request:  r.arrived.Request,
		BodyHash: r.arrived.BodyHash,
		Attempt:  m.Attempt,
		Upstream: m.Upstream,
		Epoch:    on.epoch,
	}
	return one(s.record(on, acknowledgement{record: intended, ticket: m.Ticket}, intended))
}

// cancel records that an intended call was not dispatched and never will be.
func (s *Sequencer) cancel(m message.CancelRequested) []effect.Effect {
	on, _, _, ok := s.current(m.AttemptID)
	if !ok {
		return one(refuse(m.Ticket, unknownOutcome(m.Call)))
	}
	cancelled := record.Cancelled{Program: m.Program, Call: m.Call, Attempt: m.Attempt}
	return one(s.record(on, acknowledgement{record: cancelled, ticket: m.Ticket}, cancelled))
}

// withdraw ends a call that was let run and was not dispatched.
func (s *Sequencer) withdraw(now time.Time, m message.CallWithdrawn) []effect.Effect {
	on, state, activity, ok := s.current(m.AttemptID)
	if !ok {
		return nil
	}
	return s.finish(now, on, state, activity, func(ticket ident.Ticket) effect.Effect {
		return refuse(ticket, m.Err)
	})
}

// fail ends an attempt without an answer.
func (s *Sequencer) fail(now time.Time, m message.CallFailed) []effect.Effect {
	on, state, activity, ok := s.current(m.AttemptID)
	if !ok {
		return nil
	}
	r := activity.running
	if r.intended && !r.durableIntent {
		// The intent may still become durable; until then the position is taken.
		r.failed = &m
		return nil
	}
	if r.arrived.Repeatable {
		return s.failRepeatable(now, m, on, state, activity)
	}
	if m.Withheld && r.durableIntent {
		r.failed = &m
		cancelled := record.Cancelled{Program: m.Program, Call: m.Call, Attempt: m.Attempt}
		return one(s.record(on, acknowledgement{record: cancelled}, cancelled))
	}
	if call, ok := state.Calls[m.Call]; ok && call.Status == program.Intended {
		call.Status = program.Unknown
		state.Calls[m.Call] = call
	}
	err := unknownOutcome(m.Call)
	effects := s.finish(now, on, state, activity, func(ticket ident.Ticket) effect.Effect {
		return refuse(ticket, err)
	})
	// The outcome is open, so that what the call may have spent stays reserved.
	root := on.activity(m.Program.Root())
	root.reserved = add(root.reserved, r.need)
	activity.unsettled[m.Call] = r.need
	return append(effects, effect.Send{Message: lookUp(on, state, m.Call)})
}

func (s *Sequencer) failRepeatable(now time.Time, m message.CallFailed, on *shard, state *program.State, activity *active) []effect.Effect {
	charge := s.charge(on, state, activity, m.Upstream, m.Usage)
	effects := s.finish(now, on, state, activity, func(ticket ident.Ticket) effect.Effect {
		return refuse(ticket, m.Err)
	})
	return append(effects, charge...)
}

// charge records what a failed attempt spent. Until the record is durable, its
// reservation is kept, so that the budget holds in between.
func (s *Sequencer) charge(on *shard, state *program.State, activity *active, upstream ident.UpstreamID, usage record.Usage) []effect.Effect {
	r := activity.running
	if upstream != "" && r.arrived.Engine {
		state.Residents[upstream] = max(state.Residents[upstream], 0)
	}
	if usage == (record.Usage{}) {
		return nil
	}
	root := on.activity(state.ID.Root())
	root.reserved = add(root.reserved, r.need)
	charged := record.Charged{Program: state.ID, Usage: usage}
	return one(s.record(on, acknowledgement{record: charged, release: r.need}, charged))
}

// retry charges a failed attempt and lets the same call run again, as far as
// the budget covers one more attempt. Those that joined the call go on waiting.
func (s *Sequencer) retry(now time.Time, m message.CallRetried) []effect.Effect {
	on, state, activity, ok := s.current(m.AttemptID)
	if !ok {
		return one(refuse(m.Ticket, notOwner()))
	}
	r := activity.running
	effects := s.charge(on, state, activity, m.Upstream, m.Usage)
	root := on.activity(state.ID.Root())
	root.reserved = subtract(root.reserved, r.need)
	activity.running = nil
	arrived := r.arrived
	arrived.Ticket = m.Ticket
	if state.Ended || activity.ending {
		effects = append(effects, s.turnAway(arrived, activity, failure.ProgramEnded, "program %s has ended; open a new one", m.Program))
	} else {
		effects = append(effects, s.reserve(now, arrived, on, state, activity)...)
	}
	if activity.running != nil {
		activity.running.joined = r.joined
		return effects
	}
	for _, ticket := range r.joined {
		effects = append(effects, refuse(ticket, notDurable()))
	}
	return append(effects, s.unpark(now, on, activity)...)
}

// complete records the whole answer of a call.
func (s *Sequencer) complete(m message.CallCompleted) []effect.Effect {
	on, state, activity, ok := s.current(m.AttemptID)
	if !ok {
		return s.late(m, on, state)
	}
	r := activity.running
	r.finishing = true
	root := on.programs[m.Program.Root()]
	completed := record.Completed{
		Program:   m.Program,
		Request:   r.arrived.Request,
		BodyHash:  r.arrived.BodyHash,
		Attempt:   m.Attempt,
		Upstream:  m.Upstream,
		Answer:    m.Answer,
		Resident:  m.Resident,
		Allowance: s.reserver.Next(s.account(on, root), r.need),
	}
	return one(s.record(on, completion{record: completed, ticket: m.Ticket}, completed))
}

// late settles an unknown outcome by an answer that came after its attempt was
// given up. The answer is not delivered to anyone who waits for another call.
func (s *Sequencer) late(m message.CallCompleted, on *shard, state *program.State) []effect.Effect {
	if state != nil && !on.drained {
		call, ok := state.Calls[m.Call]
		if ok && call.Status == program.Unknown && call.Attempt == m.Attempt && call.Epoch == m.Epoch {
			resolved := record.Resolved{Program: m.Program, Call: m.Call, Ran: true, Answer: m.Answer, By: "late answer"}
			return one(s.record(on, resolution{record: resolved, ticket: m.Ticket}, resolved))
		}
	}
	return one(refuse(m.Ticket, failure.New(failure.NotDurable,
		"the answer came after the attempt was given up; repeat the call with the same call id")))
}

// finish ends the running call, answers those that joined it, and lets the call
// that waits for its position arrive again.
func (s *Sequencer) finish(now time.Time, on *shard, state *program.State, activity *active, tell func(ident.Ticket) effect.Effect) []effect.Effect {
	r := activity.running
	activity.running = nil
	root := on.activity(state.ID.Root())
	root.reserved = subtract(root.reserved, r.need)
	var effects []effect.Effect
	for _, ticket := range r.joined {
		effects = append(effects, tell(ticket))
	}
	return append(effects, s.unpark(now, on, activity)...)
}

// unpark lets the calls that waited for the running one arrive again.
func (s *Sequencer) unpark(now time.Time, on *shard, activity *active) []effect.Effect {
	parked := activity.parked
	activity.parked = nil
	var effects []effect.Effect
	for _, arrived := range parked {
		effects = append(effects, s.arrive(now, arrived)...)
	}
	return append(effects, s.drain(on)...)
}

// abandon forgets a ticket that nobody waits for. If it was just let run,
// nobody will dispatch the call.
func (s *Sequencer) abandon(now time.Time, m message.WaitAbandoned) []effect.Effect {
	for _, on := range s.shards {
		on.parked = without(on.parked, m.Ticket)
		for id, activity := range on.active {
			activity.parked = without(activity.parked, m.Ticket)
			r := activity.running
			if r == nil || r.arrived.Ticket != m.Ticket || r.intended || r.finishing {
				continue
			}
			if !r.started {
				r.arrived.Ticket = 0
				continue
			}
			err := failure.New(failure.Overloaded, "the call was withdrawn before its dispatch; repeat it with the same call id")
			return s.withdraw(now, message.CallWithdrawn{
				AttemptID: message.AttemptID{Program: id, Call: r.arrived.Request.Call, Epoch: on.epoch, Attempt: r.attempt},
				Err:       err,
			})
		}
	}
	return nil
}

func without(arrivals []message.CallArrived, ticket ident.Ticket) []message.CallArrived {
	var kept []message.CallArrived
	for _, a := range arrivals {
		if a.Ticket != ticket {
			kept = append(kept, a)
		}
	}
	return kept
}

func (s *Sequencer) account(on *shard, root *program.State) reserver.Account {
	return reserver.Account{
		Budget:    root.Budget,
		Allowance: root.Allowance,
		Spent:     root.Spent,
		Reserved:  on.activity(root.ID).reserved,
	}
}

func lookUp(on *shard, state *program.State, id ident.CallID) message.LookUpWanted {
	call := state.Calls[id]
	return message.LookUpWanted{
		Team:     state.Team,
		Program:  state.ID,
		Call:     id,
		Attempt:  call.Attempt,
		Upstream: call.Upstream,
		Pool:     call.Request.Pool,
		Shard:    on.id,
	}
}

func shown(on *shard, state *program.State, activity *active) outcome.Outcome {
	return outcome.Shown{View: program.View{
		State:   state.Clone(),
		Root:    on.programs[state.ID.Root()].Clone(),
		Running: activity.running != nil,
	}}
}
