package program

import (
	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/record"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

// CallStatus is the durable status of a call.
type CallStatus string

// Statuses of a call.
const (
	// Intended calls have a durable intent and no outcome yet.
	Intended CallStatus = "intended"
	// Unknown calls have an intent whose process is gone.
	Unknown CallStatus = "unknown"
	// Done calls have a durable answer.
	Done CallStatus = "done"
)

// Turn is one completed call of the history.
type Turn struct {
	Call      ident.CallID    `json:"call"`
	Position  ident.Position  `json:"position"`
	Pool      ident.PoolID    `json:"pool"`
	Operation ident.Operation `json:"operation"`
	Body      string          `json:"body"`
	Attempt   ident.Attempt   `json:"attempt"`
	Answer    record.Answer   `json:"answer"`
}

// Call is the entry of a call in its program's call table.
type Call struct {
	Position ident.Position   `json:"position"`
	BodyHash uint64           `json:"body_hash"`
	Status   CallStatus       `json:"status"`
	Attempt  ident.Attempt    `json:"attempt"`
	Upstream ident.UpstreamID `json:"upstream"`
	Epoch    ident.Epoch      `json:"epoch"`
	Request  record.Request   `json:"request"`
}

// State is the durable state of one program.
type State struct {
	ID    ident.ProgramID       `json:"id"`
	Team  ident.TeamID          `json:"team"`
	Class ident.Class           `json:"class"`
	Calls map[ident.CallID]Call `json:"calls"`
	Turns []Turn                `json:"turns"`
	// Budget, Allowance and Spent are kept at the root for the whole tree.
	Budget    record.Budget    `json:"budget"`
	Allowance record.Allowance `json:"allowance"`
	Spent     record.Allowance `json:"spent"`
	// HistoryTokens is the length of the history as the engines counted it.
	HistoryTokens unit.Tokens `json:"history_tokens"`
	// Residents are the engines that may hold memory of the program.
	Residents map[ident.UpstreamID]unit.Tokens `json:"residents"`
	Ended     bool                             `json:"ended"`
	Reason    string                           `json:"reason"`
}

// Next is the position of the call that may start next.
func (s *State) Next() ident.Position { return ident.Position(len(s.Turns) + 1) }

// Open returns the call that has an intent and no answer, if there is one.
func (s *State) Open() (ident.CallID, Call, bool) {
	for id, call := range s.Calls {
		if call.Status != Done {
			return id, call, true
		}
	}
	return "", Call{}, false
}

// View is a copy of a program's state for the caller.
type View struct {
	State
	// Root is the state of the program that holds the budget.
	Root State
	// Running is true while a call of the program is under way.
	Running bool
}
