package sequencer

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/effect"
	"github.com/sassafrasspur/sassafrasspur/internal/failure"
	"github.com/sassafrasspur/sassafrasspur/internal/message"
	"github.com/sassafrasspur/sassafrasspur/internal/program"
	"github.com/sassafrasspur/sassafrasspur/internal/record"
)

// openShard starts to serve a shard. A shard with spans to replay was taken
// over from an owner that did not hand it over.
func (s *Sequencer) openShard(m message.ShardOpened) []effect.Effect {
	handedOver := len(m.Row.Spans) == 0
	m.Programs.Recover(handedOver)
	on := &shard{
		id: m.Shard, epoch: m.Epoch, row: m.Row, programs: m.Programs,
		active: map[ident.ProgramID]*active{}, restingSince: map[ident.ProgramID]time.Time{},
	}
	s.shards[m.Shard] = on
	effects := one(s.checkpoint(on))
	for _, id := range slices.Sorted(maps.Keys(on.programs)) {
		state := on.programs[id]
		if state.Ended {
			effects = append(effects, s.releaseAll(on, state)...)
		}
		for _, call := range slices.Sorted(maps.Keys(state.Calls)) {
			if state.Calls[call].Status == program.Unknown {
				if handedOver {
					s.holdUnsettled(on, id, call)
				}
				effects = append(effects, effect.Send{Message: lookUp(on, state, call)})
			}
		}
	}
	return effects
}

// holdUnsettled reserves what a call with an unknown outcome may have spent. At
// a takeover that is part of the allowance, which counts as spent as a whole.
func (s *Sequencer) holdUnsettled(on *shard, id ident.ProgramID, call ident.CallID) {
	need := record.Allowance{Calls: 1}
	on.activity(id).unsettled[call] = need
	root := on.activity(id.Root())
	root.reserved = add(root.reserved, need)
}

// closeShard prepares a handover: calls that run are finished, new ones wait
// until the shard has its next owner or the window is over.
func (s *Sequencer) closeShard(now time.Time, m message.ShardClosing) []effect.Effect {
	on, ok := s.shards[m.Shard]
	if !ok {
		return nil
	}
	on.closing, on.closeUntil = true, now.Add(m.Window)
	return append(s.drain(on), effect.WakeAt{Time: on.closeUntil})
}

// reopen serves shards again whose calls did not end within the window, so that
// one slow call does not hold up all programs of its shard.
func (s *Sequencer) reopen(now time.Time) []effect.Effect {
	var effects []effect.Effect
	for _, id := range slices.Sorted(maps.Keys(s.shards)) {
		on := s.shards[id]
		if !on.closing || on.drained {
			continue
		}
		if now.Before(on.closeUntil) {
			effects = append(effects, effect.WakeAt{Time: on.closeUntil})
			continue
		}
		on.closing = false
		parked := on.parked
		on.parked = nil
		effects = append(effects, effect.Send{Message: message.ShardReopened{Shard: id}})
		for _, m := range parked {
			effects = append(effects, s.arrive(now, m)...)
		}
	}
	return effects
}

// drain writes the checkpoint that ends a handover when nothing is under way.
func (s *Sequencer) drain(on *shard) []effect.Effect {
	if !on.closing || on.drained || !on.idle() {
		return nil
	}
	on.drained = true
	return one(s.checkpoint(on))
}

// dropShard ends the work on a shard that has another owner. What still waits for
// a commit is given up: the commit may come too late for the new owner.
func (s *Sequencer) dropShard(id ident.Shard) []effect.Effect {
	on, ok := s.shards[id]
	if !ok {
		return nil
	}
	delete(s.shards, id)
	var effects []effect.Effect
	for _, token := range slices.Sorted(maps.Keys(s.waits)) {
		w := s.waits[token]
		if subject := w.subject(); subject != "" && subject.Shard(s.count) == id {
			delete(s.waits, token)
			effects = append(effects, giveUp(w)...)
		}
	}
	return append(effects, on.giveUp()...)
}

func (s *Sequencer) checkpointIfDue(on *shard) []effect.Effect {
	if on.sinceCheckpoint < s.checkpointEvery || on.checkpointing || on.closing {
		return nil
	}
	return one(s.checkpoint(on))
}

// checkpointAll writes the rows of all shards from time to time, so that the
// journal that a takeover has to replay is bounded in time as well.
func (s *Sequencer) checkpointAll(now time.Time) []effect.Effect {
	if now.Before(s.checkpointAt) {
		return one(effect.WakeAt{Time: s.checkpointAt})
	}
	s.checkpointAt = now.Add(s.checkpointInterval)
	effects := one(effect.WakeAt{Time: s.checkpointAt})
	for _, id := range slices.Sorted(maps.Keys(s.shards)) {
		on := s.shards[id]
		if !on.checkpointing && !on.closing {
			s.remove(now, on)
			effects = append(effects, s.checkpoint(on))
		}
	}
	return effects
}

// checkpoint hands a copy of the shard's durable state to the journal, with the
// journal position that the copy covers.
func (s *Sequencer) checkpoint(on *shard) effect.Effect {
	on.checkpointing = true
	on.pending++
	row := on.row
	unchanged := on.sinceCheckpoint == 0 && len(row.Spans) == 0 && row.Checkpoint != ""
	on.sinceCheckpoint = 0
	row.Shard, row.Epoch, row.Covered, row.Spans = on.id, on.epoch, s.applied, nil
	c := &message.Checkpoint{}
	if !unchanged {
		row.Checkpoint = fmt.Sprintf("checkpoint/%d/%d-%d", on.id, on.epoch, row.Version+1)
		c.Programs = on.programs.Clone()
	}
	c.Row = row
	s.lastToken++
	s.waits[s.lastToken] = checkpointing{shard: on.id, checkpoint: c}
	return effect.Send{Message: message.Append{Token: s.lastToken, Checkpoint: c}}
}

func (s *Sequencer) checkpointDone(w checkpointing) []effect.Effect {
	on, ok := s.shards[w.shard]
	if !ok {
		return nil
	}
	on.pending--
	on.checkpointing = false
	on.row = w.checkpoint.Row
	on.row.Version++
	if on.drained {
		return one(effect.Send{Message: message.ShardDrained{Shard: w.shard}})
	}
	return s.drain(on)
}

// fenced drops everything: another node has closed this node's row. Writes that
// were under way may or may not have taken effect before that.
func (s *Sequencer) fenced() []effect.Effect {
	var effects []effect.Effect
	for _, token := range slices.Sorted(maps.Keys(s.waits)) {
		effects = append(effects, giveUp(s.waits[token])...)
	}
	for _, id := range slices.Sorted(maps.Keys(s.shards)) {
		effects = append(effects, s.shards[id].giveUp()...)
	}
	s.waits = map[message.Token]wait{}
	s.shards = map[ident.Shard]*shard{}
	return effects
}

func (s *shard) giveUp() []effect.Effect {
	var effects []effect.Effect
	for _, m := range s.parked {
		effects = append(effects, refuse(m.Ticket, notOwner()))
	}
	for _, id := range slices.Sorted(maps.Keys(s.active)) {
		effects = append(effects, s.active[id].giveUp()...)
	}
	return effects
}

func (a *active) giveUp() []effect.Effect {
	var effects []effect.Effect
	for _, m := range a.parked {
		effects = append(effects, refuse(m.Ticket, notOwner()))
	}
	if a.running == nil {
		return effects
	}
	for _, ticket := range a.running.joined {
		effects = append(effects, refuse(ticket, notDurable()))
	}
	if !a.running.started {
		effects = append(effects, refuse(a.running.arrived.Ticket, notOwner()))
	}
	return effects
}

func giveUp(w wait) []effect.Effect {
	switch w := w.(type) {
	case acknowledgement:
		switch r := w.record.(type) {
		case record.Intended:
			return one(refuse(w.ticket, unknownOutcome(r.Request.Call)))
		case record.Cancelled:
			return one(refuse(w.ticket, unknownOutcome(r.Call)))
		}
		return one(refuse(w.ticket, notDurable()))
	case completion:
		return one(refuse(w.ticket, notDurable()))
	case resolution:
		return one(refuse(w.ticket, notDurable()))
	case opening:
		return one(refuse(w.ticket, notDurable()))
	case ending:
		return one(refuse(w.ticket, notDurable()))
	}
	return nil
}

func notDurable() *failure.Error {
	err := failure.New(failure.NotDurable, "it is not known whether the request was recorded; repeat it with the same call id")
	err.RetryAfter = backoff
	return err
}
