package program

import (
	"maps"
	"slices"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/record"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

// Tree maps the IDs of a root program and its sub-agents to their states.
type Tree map[ident.ProgramID]*State

// Apply applies one record to the tree. Records of programs that are not in the
// tree are ignored.
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
		state.updateCall(r.Call, r.Attempt, func(c *Call) { c.Status, c.Upstream = Intended, r.Upstream })
	case record.Cancelled:
		state.updateCall(r.Call, r.Attempt, func(c *Call) { c.Status, c.Upstream = Started, "" })
	case record.Doubted:
		state.updateCall(r.Call, r.Attempt, func(c *Call) { c.Status = Unknown })
	case record.Failed:
		t.fail(state, r)
	case record.Completed:
		t.complete(state, r)
	case record.Resolved:
		t.resolve(state, r)
	case record.Ended:
		t.end(state, r.Reason)
	case record.Released:
		delete(state.CachedTokens, r.Upstream)
	}
}

// IDs returns the sorted IDs of the programs.
func (t Tree) IDs() []ident.ProgramID { return slices.Sorted(maps.Keys(t)) }

// Reserved returns the maximum cost of the open calls, which include those with
// an unknown outcome.
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

// Clone returns a copy that is not affected when t is changed by Apply.
func (t Tree) Clone() Tree {
	clone := make(Tree, len(t))
	for id, state := range t {
		c := state.Clone()
		clone[id] = &c
	}
	return clone
}

// Clone returns a copy that is not affected when s is changed by Tree.Apply.
// Turns are append-only, so the copy shares their array and limits its capacity.
func (s *State) Clone() State {
	c := *s
	c.Calls = maps.Clone(s.Calls)
	c.CachedTokens = maps.Clone(s.CachedTokens)
	c.Turns = s.Turns[:len(s.Turns):len(s.Turns)]
	return c
}

func (t Tree) open(r record.Opened) {
	if _, ok := t[r.Program]; ok {
		return
	}
	t[r.Program] = &State{
		ID:           r.Program,
		Team:         r.Team,
		Class:        r.Class,
		Budget:       r.Budget,
		Calls:        map[ident.CallID]Call{},
		CachedTokens: map[ident.UpstreamID]unit.Tokens{},
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

// updateCall applies update to a call if the attempt is its latest and is open.
func (s *State) updateCall(id ident.CallID, attempt ident.Attempt, update func(*Call)) {
	call, ok := s.Calls[id]
	if !ok || call.Attempt != attempt || !call.Open() {
		return
	}
	update(&call)
	s.Calls[id] = call
}

func (t Tree) fail(state *State, r record.Failed) {
	state.updateCall(r.Call, r.Attempt, func(c *Call) {
		c.Status = Failed
		c.Ran = c.Ran || r.Dispatched
		t.charge(state, r.Usage)
		if _, known := state.CachedTokens[r.Upstream]; r.Upstream != "" && !known {
			state.CachedTokens[r.Upstream] = 0
		}
	})
}

func (t Tree) complete(state *State, r record.Completed) {
	state.updateCall(r.Call, r.Attempt, func(c *Call) {
		c.Status, c.Upstream = Done, r.Upstream
		t.addTurn(state, *c, r.Answer)
		if r.Resident {
			state.HistoryTokens = r.Answer.Usage.Tokens()
			state.CachedTokens[r.Upstream] = r.Answer.Usage.Tokens()
		}
	})
}

func (t Tree) resolve(state *State, r record.Resolved) {
	call, ok := state.Calls[r.Call]
	if !ok || !call.Open() {
		return
	}
	if !r.Ran {
		// The attempt number is kept, so that a new attempt gets a higher one and a
		// late answer of this attempt is refused.
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

// charge adds the usage to what the root program has spent.
func (t Tree) charge(state *State, usage record.Usage) {
	if root, ok := t[state.ID.Root()]; ok {
		root.Spent = root.Spent.Add(record.Amount{Calls: usage.Calls, Tokens: usage.Tokens()})
	}
}

// end ends a program. The end of a root program also ends its sub-agents.
func (t Tree) end(state *State, reason string) {
	for _, member := range t {
		if member.ID == state.ID || state.ID.IsRoot() {
			member.Ended, member.Reason = true, reason
		}
	}
}
