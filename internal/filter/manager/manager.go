// Package manager has the filter that serves requests about programs as a
// whole. Calls pass it.
package manager

import (
	"context"
	"strings"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/chain"
	"github.com/sassafrasspur/sassafrasspur/internal/configuration"
	"github.com/sassafrasspur/sassafrasspur/internal/failure"
	"github.com/sassafrasspur/sassafrasspur/internal/outcome"
	"github.com/sassafrasspur/sassafrasspur/internal/record"
	"github.com/sassafrasspur/sassafrasspur/internal/request"
	"github.com/sassafrasspur/sassafrasspur/internal/sequencer"
	"github.com/sassafrasspur/sassafrasspur/internal/snapshot"
)

// Programs keeps the records of programs.
type Programs interface {
	Do(ctx context.Context, r sequencer.Request) (outcome.Outcome, error)
}

// Manager opens, shows and ends programs.
type Manager struct {
	programs Programs
	view     func() *snapshot.Snapshot
}

// New returns the filter.
func New(programs Programs, view func() *snapshot.Snapshot) *Manager {
	return &Manager{programs: programs, view: view}
}

// Serve answers all requests but calls.
func (m *Manager) Serve(ctx context.Context, x *chain.Exchange, next chain.Handler) error {
	r, err := m.translate(x)
	if err != nil {
		return err
	}
	if r == nil {
		return next(ctx, x)
	}
	x.Reply, err = m.programs.Do(ctx, r)
	return err
}

// translate returns what is to be decided, nil for calls.
func (m *Manager) translate(x *chain.Exchange) (sequencer.Request, error) {
	team := x.Account.Team
	switch r := x.Request.(type) {
	case request.Call:
		return nil, nil
	case request.Open:
		if err := m.check(team, r); err != nil {
			return nil, err
		}
		return sequencer.Open{Program: r.Program, Team: team, Class: r.Class, Budget: r.Budget}, nil
	case request.OpenChild:
		if !strings.HasPrefix(string(r.Child), string(r.Parent)+".") {
			return nil, failure.New(failure.InvalidRequest, "child id %s must be %s, a dot and a number", r.Child, r.Parent)
		}
		return sequencer.OpenChild{Parent: r.Parent, Child: r.Child, Team: team}, nil
	case request.End:
		return sequencer.End{Program: r.Program, Team: team, Reason: "ended by the caller"}, nil
	case request.Show:
		return sequencer.Show{Program: r.Program, Team: team}, nil
	case request.Resolve:
		answer := record.Answer{Body: r.Answer, Usage: record.Usage{Calls: 1}}
		return sequencer.Resolve{Program: r.Program, Team: team, Call: r.Call, Ran: r.Ran, Answer: answer, By: string(r.Plan)}, nil
	}
	return nil, failure.New(failure.Internal, "request type %T is not served; report this", x.Request)
}

// check compares a new program with what its team and the classes allow.
func (m *Manager) check(team ident.TeamID, r request.Open) error {
	current := m.view().Configuration
	if current == nil {
		return failure.Refusal(failure.ConfigurationStale, 0, "this VM has no configuration yet; let an operator confirm a plan or ask another VM")
	}
	limits, ok := current.Team(team)
	if !ok {
		return failure.New(failure.Forbidden, "team %s is not in the configuration; let an operator add it by a plan", team)
	}
	if _, ok := current.Class(r.Class); !ok {
		return failure.New(failure.InvalidRequest, "there is no class %q; use one of %s", r.Class, classes(current))
	}
	if r.Budget.Calls <= 0 || r.Budget.Tokens < 0 {
		return failure.New(failure.InvalidRequest, "the budget needs at least one call and no negative number of tokens")
	}
	if r.Budget.Calls > limits.MaxCalls || r.Budget.Tokens > limits.MaxTokens {
		return failure.New(failure.InvalidRequest, "team %s allows budgets up to %d calls and %d tokens; ask for less", team, limits.MaxCalls, limits.MaxTokens)
	}
	return nil
}

func classes(c *configuration.Configuration) string {
	var names []string
	for _, class := range c.Classes {
		names = append(names, string(class.ID))
	}
	return strings.Join(names, ", ")
}
