package sequencer

import (
	"maps"
	"slices"
	"time"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/effect"
	"github.com/sassafrasspur/sassafrasspur/internal/failure"
	"github.com/sassafrasspur/sassafrasspur/internal/message"
	"github.com/sassafrasspur/sassafrasspur/internal/outcome"
	"github.com/sassafrasspur/sassafrasspur/internal/program"
	"github.com/sassafrasspur/sassafrasspur/internal/record"
)

// wait is what happens when records are durable. The interface is sealed.
type wait interface {
	// subject is the program whose record is awaited.
	subject() ident.ProgramID
}

// extension starts a call when the allowance covers it.
type extension struct {
	program ident.ProgramID
	record  record.Extended
	ticket  ident.Ticket
}

// acknowledgement only answers the ticket, if there is one.
type acknowledgement struct {
	record record.Record
	ticket ident.Ticket
	// release is a reservation that the record replaces.
	release record.Allowance
}

// completion ends the running call with its answer.
type completion struct {
	record record.Completed
	ticket ident.Ticket
}

// resolution settles an unknown outcome.
type resolution struct {
	record record.Resolved
	ticket ident.Ticket
}

// opening answers with the new program.
type opening struct {
	record record.Opened
	ticket ident.Ticket
}

// ending answers with the ended program and starts the release of its memory.
type ending struct {
	record record.Ended
	ticket ident.Ticket
}

// checkpointing takes over the shard row that was written.
type checkpointing struct {
	shard      ident.Shard
	checkpoint *message.Checkpoint
}

func (w extension) subject() ident.ProgramID       { return w.record.Program }
func (w acknowledgement) subject() ident.ProgramID { return w.record.Subject() }
func (w completion) subject() ident.ProgramID      { return w.record.Program }
func (w resolution) subject() ident.ProgramID      { return w.record.Program }
func (w opening) subject() ident.ProgramID         { return w.record.Program }
func (w ending) subject() ident.ProgramID          { return w.record.Program }
func (w checkpointing) subject() ident.ProgramID   { return "" }

// durable applies the records of a commit and goes on with what waited for
// them. All are applied before anything goes on: a checkpoint that is taken then
// must hold every record up to the commit's journal position.
func (s *Sequencer) durable(now time.Time, m message.Durable) []effect.Effect {
	var done []wait
	for _, token := range m.Tokens {
		w, ok := s.waits[token]
		if !ok {
			continue
		}
		delete(s.waits, token)
		done = append(done, w)
		s.apply(w)
	}
	s.applied = m.Head
	var effects []effect.Effect
	for _, w := range done {
		if c, ok := w.(checkpointing); ok {
			effects = append(effects, s.checkpointDone(c)...)
			continue
		}
		on := s.shards[w.subject().Shard(s.count)]
		on.pending--
		on.sinceCheckpoint++
		effects = append(effects, s.proceed(now, on, w)...)
		effects = append(effects, s.checkpointIfDue(on)...)
		effects = append(effects, s.drain(on)...)
	}
	return effects
}

// apply changes the durable state by the record that was awaited.
func (s *Sequencer) apply(w wait) {
	var written record.Record
	switch w := w.(type) {
	case extension:
		written = w.record
	case acknowledgement:
		written = w.record
	case completion:
		written = w.record
	case resolution:
		written = w.record
	case opening:
		written = w.record
	case ending:
		written = w.record
	case checkpointing:
		return
	}
	s.shards[w.subject().Shard(s.count)].programs.Apply(written)
}

func (s *Sequencer) proceed(now time.Time, on *shard, w wait) []effect.Effect {
	switch w := w.(type) {
	case extension:
		return s.extended(now, on, w)
	case acknowledgement:
		root := on.activity(w.record.Subject().Root())
		root.reserved = subtract(root.reserved, w.release)
		return append(one(answer(w.ticket, outcome.Durable{})), s.intended(now, on, w.record)...)
	case completion:
		return s.completed(now, on, w)
	case resolution:
		s.settle(on, w.record)
		settled := message.OutcomeSettled{Program: w.record.Program, Call: w.record.Call}
		return []effect.Effect{answer(w.ticket, outcome.Durable{}), effect.Send{Message: settled}}
	case opening:
		return one(answer(w.ticket, outcome.Opened{Program: w.record.Program}))
	case ending:
		on.activity(w.record.Program).ending = false
		effects := one(answer(w.ticket, outcome.Ended{Program: w.record.Program}))
		return append(effects, s.releases(on, w.record.Program.Root())...)
	}
	return nil
}

// intended notes that the intent of a running call is durable, or cancelled.
func (s *Sequencer) intended(now time.Time, on *shard, written record.Record) []effect.Effect {
	if cancelled, ok := written.(record.Cancelled); ok {
		r := on.activity(cancelled.Program).running
		if r == nil || r.arrived.Request.Call != cancelled.Call {
			return nil
		}
		r.intended, r.durableIntent = false, false
		if r.failed == nil {
			return nil
		}
		// The attempt was withheld, so that the program can go on without an
		// operator; a repeat of the call runs it.
		return s.withdraw(now, message.CallWithdrawn{AttemptID: r.failed.AttemptID, Err: r.failed.Err})
	}
	intent, ok := written.(record.Intended)
	if !ok {
		return nil
	}
	r := on.activity(intent.Program).running
	if r == nil || r.arrived.Request.Call != intent.Request.Call {
		return nil
	}
	r.durableIntent = true
	if r.failed == nil {
		return nil
	}
	return s.fail(now, *r.failed)
}

// extended starts the call that waited for a larger allowance. If its caller
// has gone in the meantime, nobody would dispatch it, so that it is withdrawn.
func (s *Sequencer) extended(now time.Time, on *shard, w extension) []effect.Effect {
	state, activity := on.programs[w.program], on.activity(w.program)
	r := activity.running
	if r == nil || r.started {
		return nil
	}
	held := now.Before(s.leaseUntil)
	if r.arrived.Ticket != 0 && !state.Ended && held {
		return one(s.start(on, state, activity))
	}
	refused := refuse(r.arrived.Ticket, notDurable())
	if held {
		refused = s.turnAway(r.arrived, activity, failure.ProgramEnded, "program %s has ended; open a new one", w.program)
	}
	effects := s.finish(now, on, state, activity, func(ticket ident.Ticket) effect.Effect {
		err := failure.New(failure.Overloaded, "the call was withdrawn before its dispatch; repeat it with the same call id")
		err.RetryAfter = backoff
		return refuse(ticket, err)
	})
	return append(effects, refused)
}

func (s *Sequencer) completed(now time.Time, on *shard, w completion) []effect.Effect {
	state, activity := on.programs[w.record.Program], on.activity(w.record.Program)
	delete(activity.attempts, w.record.Request.Call)
	effects := one(answer(w.ticket, outcome.Durable{}))
	effects = append(effects, s.finish(now, on, state, activity, func(ticket ident.Ticket) effect.Effect {
		return answer(ticket, outcome.Replay{Attempt: w.record.Attempt, Answer: w.record.Answer})
	})...)
	if state.Ended {
		effects = append(effects, s.releases(on, state.ID.Root())...)
	}
	return effects
}

// settle frees what stayed reserved for a call with an unknown outcome.
func (s *Sequencer) settle(on *shard, r record.Resolved) {
	activity := on.activity(r.Program)
	need, ok := activity.unsettled[r.Call]
	if !ok {
		return
	}
	delete(activity.unsettled, r.Call)
	root := on.activity(r.Program.Root())
	root.reserved = subtract(root.reserved, need)
}

// releases asks for the release of the memory of the ended programs of a tree.
func (s *Sequencer) releases(on *shard, root ident.ProgramID) []effect.Effect {
	var effects []effect.Effect
	for _, id := range on.programs.Tree(root) {
		state := on.programs[id]
		if !state.Ended || on.activity(id).running != nil {
			continue
		}
		effects = append(effects, s.releaseAll(on, state)...)
	}
	return effects
}

func (s *Sequencer) releaseAll(on *shard, state *program.State) []effect.Effect {
	var effects []effect.Effect
	for _, upstream := range slices.Sorted(maps.Keys(state.Residents)) {
		effects = append(effects, effect.Send{Message: message.ReleaseWanted{
			Program: state.ID, Upstream: upstream, Shard: on.id, Epoch: on.epoch,
		}})
	}
	return effects
}
