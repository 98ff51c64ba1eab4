package record

import (
	"time"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

// Record is one durable event of a program. The interface is sealed: the
// variants are the types of this package.
type Record interface {
	// Subject is the program that the record belongs to.
	Subject() ident.ProgramID
	sealed()
}

// Budget limits a program and all of its sub-agents.
type Budget struct {
	Calls  unit.Calls  `json:"calls"`
	Tokens unit.Tokens `json:"tokens"`
	// Expires is the wall-clock time after which no call starts.
	Expires time.Time `json:"expires"`
}

// Usage is what a call spent.
type Usage struct {
	Calls        unit.Calls  `json:"calls"`
	PromptTokens unit.Tokens `json:"prompt_tokens"`
	CachedTokens unit.Tokens `json:"cached_tokens"`
	OutputTokens unit.Tokens `json:"output_tokens"`
}

// Tokens returns the tokens that count against the budget.
func (u Usage) Tokens() unit.Tokens { return u.PromptTokens + u.OutputTokens }

// Answer is the whole answer to a call.
type Answer struct {
	Body string `json:"body"`
	// Failed is true if the upstream ran the call and answered with an error.
	Failed bool  `json:"failed"`
	Usage  Usage `json:"usage"`
}

// Request is what a caller asked for in one call.
type Request struct {
	Call      ident.CallID    `json:"call"`
	Position  ident.Position  `json:"position"`
	Pool      ident.PoolID    `json:"pool"`
	Operation ident.Operation `json:"operation"`
	Body      string          `json:"body"`
	MaxTokens unit.Tokens     `json:"max_tokens"`
}

// Amount is a part of a budget.
type Amount struct {
	Calls  unit.Calls  `json:"calls"`
	Tokens unit.Tokens `json:"tokens"`
}

// Add returns the sum of two amounts.
func (a Amount) Add(b Amount) Amount {
	return Amount{Calls: a.Calls + b.Calls, Tokens: a.Tokens + b.Tokens}
}

// Holder is the process that works on an attempt. Once it has ended, nobody will
// record the attempt's end.
type Holder struct {
	VM      ident.VMID      `json:"vm"`
	Process ident.ProcessID `json:"process"`
}

// Opened starts a program.
type Opened struct {
	Program ident.ProgramID `json:"program"`
	Team    ident.TeamID    `json:"team"`
	Class   ident.Class     `json:"class"`
	// Budget is set for root programs only.
	Budget Budget `json:"budget"`
}

// Started precedes each attempt of a call. What the attempt may spend at most
// is reserved until its end is recorded.
type Started struct {
	Program    ident.ProgramID `json:"program"`
	Request    Request         `json:"request"`
	BodyHash   uint64          `json:"body_hash"`
	Attempt    ident.Attempt   `json:"attempt"`
	Need       Amount          `json:"need"`
	Repeatable bool            `json:"repeatable"`
	Holder     Holder          `json:"holder"`
}

// Intended precedes the dispatch of a call that must not be repeated.
type Intended struct {
	Program  ident.ProgramID  `json:"program"`
	Call     ident.CallID     `json:"call"`
	Attempt  ident.Attempt    `json:"attempt"`
	Upstream ident.UpstreamID `json:"upstream"`
}

// Cancelled says that an intended attempt was not dispatched to the upstream
// and never will be. The attempt goes on.
type Cancelled struct {
	Program ident.ProgramID `json:"program"`
	Call    ident.CallID    `json:"call"`
	Attempt ident.Attempt   `json:"attempt"`
}

// Failed ends an attempt without an answer. The call may be started again.
type Failed struct {
	Program ident.ProgramID `json:"program"`
	Call    ident.CallID    `json:"call"`
	Attempt ident.Attempt   `json:"attempt"`
	// Dispatched is true if the attempt may have run.
	Dispatched bool `json:"dispatched"`
	// Usage is what the attempt spent at most.
	Usage Usage `json:"usage"`
	// Upstream may hold engine memory of the program; empty if none does.
	Upstream ident.UpstreamID `json:"upstream"`
}

// Doubted ends an intended attempt without an answer. The call may have run and
// must not be started again.
type Doubted struct {
	Program ident.ProgramID `json:"program"`
	Call    ident.CallID    `json:"call"`
	Attempt ident.Attempt   `json:"attempt"`
}

// Completed holds the whole answer of a call.
type Completed struct {
	Program  ident.ProgramID  `json:"program"`
	Call     ident.CallID     `json:"call"`
	Attempt  ident.Attempt    `json:"attempt"`
	Upstream ident.UpstreamID `json:"upstream"`
	Answer   Answer           `json:"answer"`
	// Resident is true if the upstream holds engine memory of the program.
	Resident bool `json:"resident"`
}

// Resolved settles an unknown outcome.
type Resolved struct {
	Program ident.ProgramID `json:"program"`
	Call    ident.CallID    `json:"call"`
	// Ran is true if the call ran; Answer is its answer then.
	Ran    bool   `json:"ran"`
	Answer Answer `json:"answer"`
	// By names the look-up or the operator's plan that settled it.
	By string `json:"by"`
}

// Ended ends a program. Its engine memory is to be released.
type Ended struct {
	Program ident.ProgramID `json:"program"`
	Reason  string          `json:"reason"`
}

// Released says that an engine confirmed the release of a program's memory.
type Released struct {
	Program  ident.ProgramID  `json:"program"`
	Upstream ident.UpstreamID `json:"upstream"`
}

// Subject returns the program of the record.
func (r Opened) Subject() ident.ProgramID { return r.Program }

// Subject returns the program of the record.
func (r Started) Subject() ident.ProgramID { return r.Program }

// Subject returns the program of the record.
func (r Intended) Subject() ident.ProgramID { return r.Program }

// Subject returns the program of the record.
func (r Cancelled) Subject() ident.ProgramID { return r.Program }

// Subject returns the program of the record.
func (r Failed) Subject() ident.ProgramID { return r.Program }

// Subject returns the program of the record.
func (r Doubted) Subject() ident.ProgramID { return r.Program }

// Subject returns the program of the record.
func (r Completed) Subject() ident.ProgramID { return r.Program }

// Subject returns the program of the record.
func (r Resolved) Subject() ident.ProgramID { return r.Program }

// Subject returns the program of the record.
func (r Ended) Subject() ident.ProgramID { return r.Program }

// Subject returns the program of the record.
func (r Released) Subject() ident.ProgramID { return r.Program }

func (Opened) sealed()    {}
func (Started) sealed()   {}
func (Intended) sealed()  {}
func (Cancelled) sealed() {}
func (Failed) sealed()    {}
func (Doubted) sealed()   {}
func (Completed) sealed() {}
func (Resolved) sealed()  {}
func (Ended) sealed()     {}
func (Released) sealed()  {}

// AttemptID names one attempt of a call.
type AttemptID struct {
	Program ident.ProgramID
	Call    ident.CallID
	Attempt ident.Attempt
}
