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

// firstAllowanceShare is the part of a new budget's tokens that is taken ahead,
// so that the first call needs no further write before its dispatch. After a
// crash at most this part is lost before the first answer.
const firstAllowanceShare = 8

func (s *Sequencer) openProgram(m message.OpenProgram) []effect.Effect {
	on, ok := s.shards[m.Program.Shard(s.count)]
	if !ok || on.closing {
		return one(refuse(m.Ticket, notOwner()))
	}
	if state, ok := on.programs[m.Program]; ok {
		if state.Team != m.Team {
			return one(refuse(m.Ticket, failure.New(failure.InvalidRequest, "program id %s is taken; choose another", m.Program)))
		}
		return one(answer(m.Ticket, outcome.Opened{Program: m.Program}))
	}
	opened := record.Opened{
		Program: m.Program,
		Team:    m.Team,
		Class:   m.Class,
		Budget:  m.Budget,
		Allowance: record.Allowance{
			Calls:  min(m.Budget.Calls, 1),
			Tokens: m.Budget.Tokens / firstAllowanceShare,
		},
	}
	return one(s.record(on, opening{record: opened, ticket: m.Ticket}, opened))
}

func (s *Sequencer) openChild(m message.OpenChild) []effect.Effect {
	on, parent, _ := s.find(m.Parent, m.Team)
	switch {
	case on == nil || on.closing:
		return one(refuse(m.Ticket, notOwner()))
	case parent == nil:
		return one(refuse(m.Ticket, notFound(m.Parent)))
	case parent.Ended:
		return one(refuse(m.Ticket, failure.New(failure.ProgramEnded, "program %s has ended; open a new one", m.Parent)))
	}
	if _, ok := on.programs[m.Child]; ok {
		return one(answer(m.Ticket, outcome.Opened{Program: m.Child}))
	}
	opened := record.Opened{Program: m.Child, Team: parent.Team, Class: parent.Class}
	return one(s.record(on, opening{record: opened, ticket: m.Ticket}, opened))
}

func (s *Sequencer) endProgram(m message.EndProgram) []effect.Effect {
	on, state, _ := s.find(m.Program, m.Team)
	switch {
	case on == nil || on.closing:
		return one(refuse(m.Ticket, notOwner()))
	case state == nil:
		return one(refuse(m.Ticket, notFound(m.Program)))
	case state.Ended:
		return one(answer(m.Ticket, outcome.Ended{Program: m.Program}))
	}
	return s.end(on, state, m.Ticket, m.Reason)
}

func (s *Sequencer) end(on *shard, state *program.State, ticket ident.Ticket, reason string) []effect.Effect {
	on.activity(state.ID).ending = true
	ended := record.Ended{Program: state.ID, Reason: reason}
	return one(s.record(on, ending{record: ended, ticket: ticket}, ended))
}

func (s *Sequencer) showProgram(m message.ShowProgram) []effect.Effect {
	on, state, activity := s.find(m.Program, m.Team)
	if on == nil {
		return one(refuse(m.Ticket, notOwner()))
	}
	if state == nil {
		return one(refuse(m.Ticket, notFound(m.Program)))
	}
	return one(answer(m.Ticket, shown(on, state, activity)))
}

// resolve settles an unknown outcome on an operator's plan. A repeat with the
// same result succeeds, because a confirmation may be repeated.
func (s *Sequencer) resolve(m message.ResolveCall) []effect.Effect {
	on, state, activity := s.find(m.Program, m.Team)
	if on == nil || on.closing {
		return one(refuse(m.Ticket, notOwner()))
	}
	if state == nil {
		return one(refuse(m.Ticket, notFound(m.Program)))
	}
	if resolved(state, activity, m) {
		return one(answer(m.Ticket, outcome.Durable{}))
	}
	if call, ok := state.Calls[m.Call]; !ok || call.Status != program.Unknown {
		return one(refuse(m.Ticket, failure.New(failure.InvalidRequest,
			"the outcome of call %s is not unknown; look at the program before you settle it", m.Call)))
	}
	written := record.Resolved{Program: m.Program, Call: m.Call, Ran: m.Ran, Answer: m.Answer, By: m.By}
	return one(s.record(on, resolution{record: written, ticket: m.Ticket}, written))
}

// resolved reports whether a call stands as an operator wants to settle it.
func resolved(state *program.State, activity *active, m message.ResolveCall) bool {
	call, ok := state.Calls[m.Call]
	if !m.Ran {
		running := activity.running != nil && activity.running.arrived.Request.Call == m.Call
		return !ok && !running
	}
	return ok && call.Status == program.Done && slices.ContainsFunc(state.Turns, func(t program.Turn) bool {
		return t.Call == m.Call && t.Answer.Body == m.Answer.Body && !t.Answer.Failed
	})
}

// lookedUp settles an unknown outcome by the upstream's own result. A result
// that is not found settles nothing: a frozen process may still send the call.
func (s *Sequencer) lookedUp(m message.LookedUp) []effect.Effect {
	on, state, _ := s.find(m.Program, "")
	if state == nil || on.drained || m.Err != nil || !m.Found {
		return nil
	}
	if call, ok := state.Calls[m.Call]; !ok || call.Status != program.Unknown {
		return nil
	}
	resolved := record.Resolved{Program: m.Program, Call: m.Call, Ran: true, Answer: m.Answer, By: "look-up"}
	return one(s.record(on, resolution{record: resolved}, resolved))
}

// released notes that an engine holds no memory of a program any more.
func (s *Sequencer) released(m message.ReleaseConfirmed) []effect.Effect {
	on, state, _ := s.find(m.Program, "")
	if state == nil || on.drained {
		return nil
	}
	if _, ok := state.Residents[m.Upstream]; !ok {
		return nil
	}
	released := record.Released{Program: m.Program, Upstream: m.Upstream}
	return one(s.record(on, acknowledgement{record: released}, released))
}

// compareCache releases ended programs that an engine still holds, also if no
// record says that they were sent there. A program of an own shard that is not
// known has ended and was removed: none has calls before it is durable.
func (s *Sequencer) compareCache(m message.CacheRead) []effect.Effect {
	if m.Err != nil || !m.Complete {
		return nil
	}
	var effects []effect.Effect
	for _, id := range slices.Sorted(maps.Keys(m.Residents)) {
		on, state, activity := s.find(id, "")
		if on == nil || state != nil && (!state.Ended || activity.running != nil) {
			continue
		}
		effects = append(effects, effect.Send{Message: message.ReleaseWanted{
			Program: id, Upstream: m.Upstream, Shard: on.id, Epoch: on.epoch,
		}})
	}
	return effects
}

// expire ends programs whose time is over, also if no call arrives any more.
func (s *Sequencer) expire(now time.Time) []effect.Effect {
	if now.Before(s.expireAt) {
		return one(effect.WakeAt{Time: s.expireAt})
	}
	s.expireAt = now.Add(s.expiryInterval)
	effects := one(effect.WakeAt{Time: s.expireAt})
	for _, shard := range slices.Sorted(maps.Keys(s.shards)) {
		on := s.shards[shard]
		if on.closing {
			continue
		}
		for _, id := range expired(on, now) {
			effects = append(effects, s.end(on, on.programs[id], 0, "budget exhausted: time")...)
		}
	}
	return effects
}

// expired returns the root programs of a shard whose time is over and whose end
// is not recorded yet. Only these are sorted: the shard is searched each second.
func expired(on *shard, now time.Time) []ident.ProgramID {
	var ids []ident.ProgramID
	for id, state := range on.programs {
		over := !state.Budget.Expires.IsZero() && now.After(state.Budget.Expires)
		if over && !state.Ended && id.IsRoot() && !on.activity(id).ending {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}
