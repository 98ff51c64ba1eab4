package program

import (
	"maps"
	"slices"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/record"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

// Tree holds a root program and its sub-agents by their ids.
type Tree map[ident.ProgramID]*State

// Apply changes the tree by one record. Records of unknown programs are ignored.
func (t Tree) Apply(r record.Record) {
	if opened, ok := r.(record.Opened); ok {
		t.open(opened)
		return
	}
	state, ok := t[r.Subject()]
	if !ok {
		return
	}
	switch r := r.(type) {
	case record.Started:
		state.start(r)
	case record.Intended:
		state.change(r.Call, r.Attempt, func(c *Call) { c.Status, c.Upstream = Intended, r.Upstream })
	case record.Cancelled:
		state.change(r.Call, r.Attempt, func(c *Call) { c.Status, c.Upstream = Started, "" })
	case record.Doubted:
		state.change(r.Call, r.Attempt, func(c *Call) { c.Status = Unknown })
	case record.Failed:
		t.fail(state, r)
	case record.Completed:
		t.complete(state, r)
	case record.Resolved:
		t.resolve(state, r)
	case record.Ended:
		t.end(state, r.Reason)
	case record.Released:
		delete(state.Residents, r.Upstream)
	}
}

// IDs returns the ids of the programs, sorted.
func (t Tree) IDs() []ident.ProgramID { return slices.Sorted(maps.Keys(t)) }

// Reserved returns what the calls under way, and those whose outcome is unknown,
// may spend at most.
func (t Tree) Reserved() record.Amount {
	var sum record.Amount
	for _, state := range t {
		for _, call := range state.Calls {
			if call.Open() {
				sum = sum.Add(call.Need)
			}
		}
	}
	return sum
}

// Clone returns a copy that shares nothing that Apply changes.
func (t Tree) Clone() Tree {
	clone := make(Tree, len(t))
	for id, state := range t {
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

func (t Tree) open(r record.Opened) {
	if _, ok := t[r.Program]; ok {
		return
	}
	t[r.Program] = &State{
		ID:        r.Program,
		Team:      r.Team,
		Class:     r.Class,
		Budget:    r.Budget,
		Calls:     map[ident.CallID]Call{},
		Residents: map[ident.UpstreamID]unit.Tokens{},
	}
}

func (s *State) start(r record.Started) {
	s.Calls[r.Request.Call] = Call{
		Position:   r.Request.Position,
		BodyHash:   r.BodyHash,
		Status:     Started,
		Attempt:    r.Attempt,
		Need:       r.Need,
		Repeatable: r.Repeatable,
		Holder:     r.Holder,
		Ran:        s.Calls[r.Request.Call].Ran,
		Request:    r.Request,
	}
}

// change changes a call if the attempt is under way.
func (s *State) change(id ident.CallID, attempt ident.Attempt, by func(*Call)) {
	call, ok := s.Calls[id]
	if !ok || call.Attempt != attempt || !call.Open() {
		return
	}
	by(&call)
	s.Calls[id] = call
}

func (t Tree) fail(state *State, r record.Failed) {
	state.change(r.Call, r.Attempt, func(c *Call) {
		c.Status = Failed
		c.Ran = c.Ran || r.Dispatched
		t.charge(state, r.Usage)
		if _, known := state.Residents[r.Upstream]; r.Upstream != "" && !known {
			state.Residents[r.Upstream] = 0
		}
	})
}

func (t Tree) complete(state *State, r record.Completed) {
	state.change(r.Call, r.Attempt, func(c *Call) {
		c.Status, c.Upstream = Done, r.Upstream
		t.addTurn(state, *c, r.Answer)
		if r.Resident {
			state.HistoryTokens = r.Answer.Usage.Tokens()
			state.Residents[r.Upstream] = r.Answer.Usage.Tokens()
		}
	})
}

func (t Tree) resolve(state *State, r record.Resolved) {
	call, ok := state.Calls[r.Call]
	if !ok || !call.Open() {
		return
	}
	if !r.Ran {
		// The number of the attempt stays, so that a late answer of it is refused.
		call.Status = Failed
		state.Calls[r.Call] = call
		return
	}
	call.Status = Done
	state.Calls[r.Call] = call
	t.addTurn(state, call, r.Answer)
}

func (t Tree) addTurn(state *State, call Call, answer record.Answer) {
	state.Turns = append(state.Turns, Turn{
		Call:      call.Request.Call,
		Position:  call.Position,
		Pool:      call.Request.Pool,
		Operation: call.Request.Operation,
		Body:      call.Request.Body,
		Attempt:   call.Attempt,
		Answer:    answer,
	})
	t.charge(state, answer.Usage)
}

func (t Tree) charge(state *State, usage record.Usage) {
	if root, ok := t[state.ID.Root()]; ok {
		root.Spent = root.Spent.Add(record.Amount{Calls: usage.Calls, Tokens: usage.Tokens()})
	}
}

// end ends a program; a root program takes its sub-agents along.
func (t Tree) end(state *State, reason string) {
	for _, member := range t {
		if member.ID == state.ID || state.ID.IsRoot() {
			member.Ended, member.Reason = true, reason
		}
	}
}
