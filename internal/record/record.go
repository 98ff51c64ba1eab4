package record

import (
	"time"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

// Record is a durable event of a program. The interface is sealed: its variants
// are the types of this package.
type Record interface {
	// Subject returns the program that the record belongs to.
	Subject() ident.ProgramID
	sealed()
}

// Budget limits what a program and all of its sub-agents may spend.
type Budget struct {
	Calls  unit.Calls  `json:"calls"`
	Tokens unit.Tokens `json:"tokens"`
	// Expires is the wall-clock time after which no call is started. The zero time
	// means no limit.
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

// Answer is the complete answer to a call.
type Answer struct {
	Body string `json:"body"`
	// Failed is true if the upstream ran the call and answered with an error.
	Failed bool  `json:"failed"`
	Usage  Usage `json:"usage"`
}

// Request is the content of a call as submitted by the caller.
type Request struct {
	Call      ident.CallID    `json:"call"`
	Position  ident.Position  `json:"position"`
	Pool      ident.PoolID    `json:"pool"`
	Operation ident.Operation `json:"operation"`
	Body      string          `json:"body"`
	MaxTokens unit.Tokens     `json:"max_tokens"`
}

// Amount is an amount of calls and tokens of a budget.
type Amount struct {
	Calls  unit.Calls  `json:"calls"`
	Tokens unit.Tokens `json:"tokens"`
}

// Add returns the sum of two amounts.
func (a Amount) Add(b Amount) Amount {
	return Amount{Calls: a.Calls + b.Calls, Tokens: a.Tokens + b.Tokens}
}

// Holder is the process that runs an attempt. If it ends before the end of the
// attempt is recorded, the attempt is orphaned and never completes by itself.
type Holder struct {
	VM      ident.VMID      `json:"vm"`
	Process ident.ProcessID `json:"process"`
}

// Opened records that a program was opened.
type Opened struct {
	Program ident.ProgramID `json:"program"`
	Team    ident.TeamID    `json:"team"`
	Class   ident.Class     `json:"class"`
	// Budget is set for root programs only.
	Budget Budget `json:"budget"`
}

// Started records the start of an attempt, before it is dispatched. Its maximum
// cost, Need, is reserved until its end is recorded.
type Started struct {
	Program    ident.ProgramID `json:"program"`
	Request    Request         `json:"request"`
	BodyHash   uint64          `json:"body_hash"`
	Attempt    ident.Attempt   `json:"attempt"`
	Need       Amount          `json:"need"`
	Repeatable bool            `json:"repeatable"`
	Holder     Holder          `json:"holder"`
}

// Intended records the intent to dispatch a call that must not be repeated. It
// precedes the dispatch.
type Intended struct {
	Program  ident.ProgramID  `json:"program"`
	Call     ident.CallID     `json:"call"`
	Attempt  ident.Attempt    `json:"attempt"`
	Upstream ident.UpstreamID `json:"upstream"`
}

// Cancelled revokes an intent: the attempt was not dispatched to the upstream and
// never will be. The attempt continues.
type Cancelled struct {
	Program ident.ProgramID `json:"program"`
	Call    ident.CallID    `json:"call"`
	Attempt ident.Attempt   `json:"attempt"`
}

// Failed records that an attempt ended without an answer. The call may be started
// again.
type Failed struct {
	Program ident.ProgramID `json:"program"`
	Call    ident.CallID    `json:"call"`
	Attempt ident.Attempt   `json:"attempt"`
	// Dispatched is true if the attempt may have run.
	Dispatched bool `json:"dispatched"`
	// Usage is an upper bound of what the attempt spent.
	Usage Usage `json:"usage"`
	// Upstream is the upstream that may hold engine memory of the program after
	// the attempt; empty if none does.
	Upstream ident.UpstreamID `json:"upstream"`
}

// Doubted marks an intended attempt that ended without an answer as in doubt: the
// call may have run, and must not be started again.
type Doubted struct {
	Program ident.ProgramID `json:"program"`
	Call    ident.CallID    `json:"call"`
	Attempt ident.Attempt   `json:"attempt"`
}

// Completed records the complete answer of a call.
type Completed struct {
	Program  ident.ProgramID  `json:"program"`
	Call     ident.CallID     `json:"call"`
	Attempt  ident.Attempt    `json:"attempt"`
	Upstream ident.UpstreamID `json:"upstream"`
	Answer   Answer           `json:"answer"`
	// Resident is true if the upstream holds engine memory of the program.
	Resident bool `json:"resident"`
}

// Resolved records the outcome of a call whose outcome was unknown.
type Resolved struct {
	Program ident.ProgramID `json:"program"`
	Call    ident.CallID    `json:"call"`
	// Ran is true if the call ran. Answer is set only in that case.
	Ran    bool   `json:"ran"`
	Answer Answer `json:"answer"`
	// By names the look-up or the operator's plan that settled the outcome.
	By string `json:"by"`
}

// Ended records the end of a program. Its engine memory must be released then.
type Ended struct {
	Program ident.ProgramID `json:"program"`
	Reason  string          `json:"reason"`
}

// Released records that an engine confirmed the release of a program's memory.
type Released struct {
	Program  ident.ProgramID  `json:"program"`
	Upstream ident.UpstreamID `json:"upstream"`
}

// Subject implements Record.
func (r Opened) Subject() ident.ProgramID { return r.Program }

// Subject implements Record.
func (r Started) Subject() ident.ProgramID { return r.Program }

// Subject implements Record.
func (r Intended) Subject() ident.ProgramID { return r.Program }

// Subject implements Record.
func (r Cancelled) Subject() ident.ProgramID { return r.Program }

// Subject implements Record.
func (r Failed) Subject() ident.ProgramID { return r.Program }

// Subject implements Record.
func (r Doubted) Subject() ident.ProgramID { return r.Program }

// Subject implements Record.
func (r Completed) Subject() ident.ProgramID { return r.Program }

// Subject implements Record.
func (r Resolved) Subject() ident.ProgramID { return r.Program }

// Subject implements Record.
func (r Ended) Subject() ident.ProgramID { return r.Program }

// Subject implements Record.
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

// AttemptID identifies an attempt of a call.
type AttemptID struct {
	Program ident.ProgramID
	Call    ident.CallID
	Attempt ident.Attempt
}
