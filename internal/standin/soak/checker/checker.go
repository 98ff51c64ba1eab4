// Package checker checks the guarantees of the system during a soak, from what
// callers and upstreams observed.
package checker

import (
	"fmt"
	"net/http"
	"sync"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

// Kind is the kind of a request. It determines whether the request may run more
// than once.
type Kind int

// Kinds of requests.
const (
	Idempotent Kind = iota
	NonIdempotent
	ResumableStream
	RetainedTurn
)

// Answer is the answer to a request as its caller observed it.
type Answer struct {
	// Status is 0 if the connection broke before the response headers.
	Status int
	// EndedCleanly is set if the body was received without an error.
	EndedCleanly bool
	Body         string
	Tokens       unit.Tokens
}

// SentRequest is a request as a caller sent it.
type SentRequest struct {
	ID      ident.RequestID
	Kind    Kind
	Program ident.ProgramID
	// Prompt is the body that the upstream must receive.
	Prompt string
	// WantBody is the body of a complete answer.
	WantBody string
	// PreviousComplete is set if the request continues a turn whose answer was
	// received completely.
	PreviousComplete bool
}

// Checker collects violations of the guarantees. It is safe for concurrent use,
// except for Finish, which is called last.
type Checker struct {
	mu             sync.Mutex
	sent           map[ident.RequestID]SentRequest
	refused        map[ident.RequestID]bool
	tokenLimits    map[ident.ProgramID]unit.Tokens
	receivedTokens map[ident.ProgramID]unit.Tokens
	violations     []string
	answers        map[int]int
}

// New returns a Checker without observations.
func New() *Checker {
	return &Checker{
		sent: map[ident.RequestID]SentRequest{}, refused: map[ident.RequestID]bool{},
		tokenLimits: map[ident.ProgramID]unit.Tokens{}, receivedTokens: map[ident.ProgramID]unit.Tokens{}, answers: map[int]int{},
	}
}

// AddViolation records the violation of a guarantee.
func (c *Checker) AddViolation(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// SetTokenLimit sets the number of tokens that a program's callers may receive:
// its budget plus the largest turn.
func (c *Checker) SetTokenLimit(p ident.ProgramID, limit unit.Tokens) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tokenLimits[p] = limit
}

// RecordRequest records a request. It must be called before the request is sent.
func (c *Checker) RecordRequest(s SentRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent[s.ID] = s
}

// RecordAnswer records and checks the answer to a request.
func (c *Checker) RecordAnswer(s SentRequest, a Answer) {
	c.mu.Lock()
	c.answers[a.Status]++
	if a.Status == http.StatusServiceUnavailable || a.Status == http.StatusPaymentRequired {
		c.refused[s.ID] = true
	}
	c.receivedTokens[s.Program] += a.Tokens
	over := s.Program != "" && c.receivedTokens[s.Program] > c.tokenLimits[s.Program]
	c.mu.Unlock()
	if over {
		c.AddViolation("budget exceeded: program %s received more tokens than its budget plus one turn", s.Program)
	}
	if a.Status == http.StatusOK && a.EndedCleanly && a.Body != s.WantBody {
		c.AddViolation("wrong answer: request %s was answered with %q, want %q", s.ID, a.Body, s.WantBody)
	}
	if a.Status == http.StatusNotFound && s.PreviousComplete {
		c.AddViolation("lost turn: the turn before request %s was answered completely and is not found", s.ID)
	}
}

// UpstreamRun is a request that an upstream ran.
type UpstreamRun struct {
	ID     ident.RequestID
	Prompt string
}

// Finish checks the requests that upstreams ran. It returns all violations and
// the number of answers by status.
func (c *Checker) Finish(runs []UpstreamRun) (violations []string, answers map[int]int) {
	runCount := map[ident.RequestID]int{}
	for _, run := range runs {
		runCount[run.ID]++
		sent, ok := c.sent[run.ID]
		switch {
		case !ok:
			c.AddViolation("unexpected run: request %s ran and was never sent", run.ID)
			continue
		case run.Prompt != sent.Prompt:
			c.AddViolation("wrong body: request %s ran with %q, want %q", run.ID, run.Prompt, sent.Prompt)
		}
		once := sent.Kind == NonIdempotent || sent.Kind == RetainedTurn
		if once && runCount[run.ID] == 2 {
			c.AddViolation("repeated run: request %s ran twice and may run only once", run.ID)
		}
		if c.refused[run.ID] {
			c.AddViolation("refused request ran: request %s was refused as not run", run.ID)
		}
	}
	return c.violations, c.answers
}
