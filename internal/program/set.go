package program

import (
	"maps"
	"slices"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/record"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

// Set holds the programs of one shard by their ids.
type Set map[ident.ProgramID]*State

// Apply changes the set by one record. Records of unknown programs are
// ignored: their program ended and was removed by an earlier checkpoint.
func (s Set) Apply(r record.Record) {
	if opened, ok := r.(record.Opened); ok {
		s.open(opened)
		return
	}
	state, ok := s[r.Subject()]
	if !ok {
		return
	}
	switch r := r.(type) {
	case record.Extended:
		state.Allowance = r.Allowance
	case record.Intended:
		state.intend(r)
	case record.Cancelled:
		if call, ok := state.Calls[r.Call]; ok && call.Attempt == r.Attempt && call.Status != Done {
			delete(state.Calls, r.Call)
		}
	case record.Completed:
		s.complete(state, r)
	case record.Resolved:
		s.resolve(state, r)
	case record.Charged:
		s.charge(state, r.Usage)
	case record.Ended:
		s.end(state, r.Reason)
	case record.Released:
		delete(state.Residents, r.Upstream)
	}
}

// Recover prepares a loaded state for its new owner. Intents without an answer
// are unknown, since the process that would have recorded the answer is gone.
// If the old owner did not hand over, the allowance that was not settled counts
// as spent: it may have been reserved for calls that no record tells of.
func (s Set) Recover(handedOver bool) {
	for _, state := range s {
		if !handedOver {
			state.Spent.Calls = max(state.Spent.Calls, state.Allowance.Calls)
			state.Spent.Tokens = max(state.Spent.Tokens, state.Allowance.Tokens)
		}
		for id, call := range state.Calls {
			if call.Status == Intended {
				call.Status = Unknown
				state.Calls[id] = call
			}
		}
	}
}

// Tree returns the ids of a root program and its sub-agents, sorted.
func (s Set) Tree(root ident.ProgramID) []ident.ProgramID {
	var ids []ident.ProgramID
	for id := range s {
		if id.Root() == root {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// Clone returns a copy that shares nothing that Apply changes.
func (s Set) Clone() Set {
	clone := make(Set, len(s))
	for id, state := range s {
		c := state.Clone()
		clone[id] = &c
	}
	return clone
}

// Clone returns a copy that shares nothing that Apply changes. Turns are only
// ever appended, so that the copy may share their array.
func (s *State) Clone() State {
	c := *s
	c.Calls = maps.Clone(s.Calls)
	c.Residents = maps.Clone(s.Residents)
	c.Turns = s.Turns[:len(s.Turns):len(s.Turns)]
	return c
}

func (s Set) open(r record.Opened) {
	if _, ok := s[r.Program]; ok {
		return
	}
	s[r.Program] = &State{
		ID:        r.Program,
		Team:      r.Team,
		Class:     r.Class,
		Budget:    r.Budget,
		Allowance: r.Allowance,
		Calls:     map[ident.CallID]Call{},
		Residents: map[ident.UpstreamID]unit.Tokens{},
	}
}

func (s *State) intend(r record.Intended) {
	s.Calls[r.Request.Call] = Call{
		Position: r.Request.Position,
		BodyHash: r.BodyHash,
		Status:   Intended,
		Attempt:  r.Attempt,
		Upstream: r.Upstream,
		Epoch:    r.Epoch,
		Request:  r.Request,
	}
}

func (s Set) complete(state *State, r record.Completed) {
	if call, ok := state.Calls[r.Request.Call]; ok && call.Status == Done {
		return
	}
	state.Calls[r.Request.Call] = Call{
		Position: r.Request.Position,
		BodyHash: r.BodyHash,
		Status:   Done,
		Attempt:  r.Attempt,
		Upstream: r.Upstream,
		Request:  r.Request,
	}
	s.addTurn(state, r.Request, r.Attempt, r.Answer)
	if r.Resident {
		state.HistoryTokens = r.Answer.Usage.Tokens()
		state.Residents[r.Upstream] = r.Answer.Usage.Tokens()
	}
	if root, ok := s[state.ID.Root()]; ok {
		root.Allowance.Calls = max(root.Allowance.Calls, r.Allowance.Calls)
		root.Allowance.Tokens = max(root.Allowance.Tokens, r.Allowance.Tokens)
	}
}

func (s Set) resolve(state *State, r record.Resolved) {
	call, ok := state.Calls[r.Call]
	if !ok || call.Status == Done {
		return
	}
	if !r.Ran {
		delete(state.Calls, r.Call)
		return
	}
	call.Status = Done
	state.Calls[r.Call] = call
	s.addTurn(state, call.Request, call.Attempt, r.Answer)
}

func (s Set) addTurn(state *State, request record.Request, attempt ident.Attempt, answer record.Answer) {
	state.Turns = append(state.Turns, Turn{
		Call:      request.Call,
		Position:  request.Position,
		Pool:      request.Pool,
		Operation: request.Operation,
		Body:      request.Body,
		Attempt:   attempt,
		Answer:    answer,
	})
	s.charge(state, answer.Usage)
}

func (s Set) charge(state *State, usage record.Usage) {
	if root, ok := s[state.ID.Root()]; ok {
		root.Spent.Calls += usage.Calls
		root.Spent.Tokens += usage.Tokens()
	}
}

func (s Set) end(state *State, reason string) {
	for _, id := range s.Tree(state.ID.Root()) {
		member := s[id]
		if member.ID != state.ID && !state.ID.IsRoot() {
			continue
		}
		member.Ended = true
		member.Reason = reason
	}
}
