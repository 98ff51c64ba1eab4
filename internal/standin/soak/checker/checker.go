// Package checker has the promises that a soak checks, from what callers and
// upstreams saw.
package checker

import (
	"fmt"
	"net/http"
	"sync"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

// Kind says what may be repeated.
type Kind int

// Kinds of requests.
const (
	Idempotent Kind = iota
	NonIdempotent
	ResumableStream
	RetainedTurn
)

// Answer is what a caller saw of one request.
type Answer struct {
	// Status is 0 if the connection broke before the head of an answer.
	Status int
	// Whole is set if the answer ended properly.
	Whole  bool
	Body   string
	Tokens unit.Tokens
}

// Sent is a request as a caller sent it.
type Sent struct {
	ID      ident.RequestID
	Kind    Kind
	Program ident.ProgramID
	// Prompt is what the upstream is to receive.
	Prompt string
	// Want is the body of a whole answer.
	Want string
	// Known is set if the turn continues a turn that was answered whole.
	Known bool
}

// Checker collects violations. It may be used by several goroutines.
type Checker struct {
	mu         sync.Mutex
	sent       map[ident.RequestID]Sent
	refused    map[ident.RequestID]bool
	budgets    map[ident.ProgramID]unit.Tokens
	handed     map[ident.ProgramID]unit.Tokens
	violations []string
	answers    map[int]int
}

// New returns a checker that has seen nothing.
func New() *Checker {
	return &Checker{
		sent: map[ident.RequestID]Sent{}, refused: map[ident.RequestID]bool{},
		budgets: map[ident.ProgramID]unit.Tokens{}, handed: map[ident.ProgramID]unit.Tokens{}, answers: map[int]int{},
	}
}

// Violate notes a broken promise.
func (c *Checker) Violate(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// Budget sets what a program's callers may receive: its budget and a turn.
func (c *Checker) Budget(p ident.ProgramID, most unit.Tokens) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.budgets[p] = most
}

// Send notes a request before it is sent.
func (c *Checker) Send(s Sent) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent[s.ID] = s
}

// Receive notes the answer to a request.
func (c *Checker) Receive(s Sent, a Answer) {
	c.mu.Lock()
	c.answers[a.Status]++
	if a.Status == http.StatusServiceUnavailable || a.Status == http.StatusPaymentRequired {
		c.refused[s.ID] = true
	}
	c.handed[s.Program] += a.Tokens
	over := s.Program != "" && c.handed[s.Program] > c.budgets[s.Program]
	c.mu.Unlock()
	if over {
		c.Violate("budget: program %s got more than its budget and a turn", s.Program)
	}
	if a.Status == http.StatusOK && a.Whole && a.Body != s.Want {
		c.Violate("mixed: request %s was answered %q, want %q", s.ID, a.Body, s.Want)
	}
	if a.Status == http.StatusNotFound && s.Known {
		c.Violate("lost: the turn before %s was answered whole and is not found", s.ID)
	}
}

// Ran is a request as an upstream ran it.
type Ran struct {
	ID     ident.RequestID
	Prompt string
}

// Finish checks what upstreams ran, and returns all violations and the number of
// answers by status.
func (c *Checker) Finish(runs []Ran) (violations []string, answers map[int]int) {
	count := map[ident.RequestID]int{}
	for _, run := range runs {
		count[run.ID]++
		sent, ok := c.sent[run.ID]
		switch {
		case !ok:
			c.Violate("unasked: %s was run and never sent", run.ID)
			continue
		case run.Prompt != sent.Prompt:
			c.Violate("unasked: %s was run with %q, want %q", run.ID, run.Prompt, sent.Prompt)
		}
		once := sent.Kind == NonIdempotent || sent.Kind == RetainedTurn
		if once && count[run.ID] == 2 {
			c.Violate("twice: %s may run once", run.ID)
		}
		if c.refused[run.ID] {
			c.Violate("refused: %s was refused as not run, and ran", run.ID)
		}
	}
	return c.violations, c.answers
}
