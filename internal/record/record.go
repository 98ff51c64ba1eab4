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

// Opened starts a program.
type Opened struct {
	Program ident.ProgramID `json:"program"`
	Team    ident.TeamID    `json:"team"`
	Class   ident.Class     `json:"class"`
	// Budget is set for root programs only.
	Budget Budget `json:"budget"`
	// Allowance is the part of the budget that is durably taken ahead.
	Allowance Allowance `json:"allowance"`
}

// Allowance is the cumulative part of the budget that may be spent or reserved
// without another durable record. After a crash, what was not settled of it
// counts as spent.
type Allowance struct {
	Calls  unit.Calls  `json:"calls"`
	Tokens unit.Tokens `json:"tokens"`
}

// Extended raises the allowance of a root program.
type Extended struct {
	Program   ident.ProgramID `json:"program"`
	Allowance Allowance       `json:"allowance"`
}

// Intended precedes the dispatch of a call that must not be repeated.
type Intended struct {
	Program  ident.ProgramID  `json:"program"`
	Request  Request          `json:"request"`
	BodyHash uint64           `json:"body_hash"`
	Attempt  ident.Attempt    `json:"attempt"`
	Upstream ident.UpstreamID `json:"upstream"`
	Epoch    ident.Epoch      `json:"epoch"`
}

// Cancelled says that an intended attempt was not dispatched and never will be.
type Cancelled struct {
	Program ident.ProgramID `json:"program"`
	Call    ident.CallID    `json:"call"`
	Attempt ident.Attempt   `json:"attempt"`
}

// Completed holds the request and the whole answer of a call.
type Completed struct {
	Program  ident.ProgramID  `json:"program"`
	Request  Request          `json:"request"`
	BodyHash uint64           `json:"body_hash"`
	Attempt  ident.Attempt    `json:"attempt"`
	Upstream ident.UpstreamID `json:"upstream"`
	Answer   Answer           `json:"answer"`
	// Resident is true if the upstream holds engine memory of the program.
	Resident bool `json:"resident"`
	// Allowance is the root program's allowance from now on.
	Allowance Allowance `json:"allowance"`
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

// Charged charges what an attempt without an answer spent.
type Charged struct {
	Program ident.ProgramID `json:"program"`
	Usage   Usage           `json:"usage"`
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
func (r Extended) Subject() ident.ProgramID { return r.Program }

// Subject returns the program of the record.
func (r Intended) Subject() ident.ProgramID { return r.Program }

// Subject returns the program of the record.
func (r Cancelled) Subject() ident.ProgramID { return r.Program }

// Subject returns the program of the record.
func (r Completed) Subject() ident.ProgramID { return r.Program }

// Subject returns the program of the record.
func (r Resolved) Subject() ident.ProgramID { return r.Program }

// Subject returns the program of the record.
func (r Charged) Subject() ident.ProgramID { return r.Program }

// Subject returns the program of the record.
func (r Ended) Subject() ident.ProgramID { return r.Program }

// Subject returns the program of the record.
func (r Released) Subject() ident.ProgramID { return r.Program }

func (Opened) sealed()    {}
func (Extended) sealed()  {}
func (Intended) sealed()  {}
func (Cancelled) sealed() {}
func (Completed) sealed() {}
func (Resolved) sealed()  {}
func (Charged) sealed()   {}
func (Ended) sealed()     {}
func (Released) sealed()  {}
