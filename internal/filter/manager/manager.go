// Package manager has the filter that opens, shows, ends and resolves programs.
// Calls are passed on to the next filter.
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

// Programs stores the records of programs.
type Programs interface {
	Do(ctx context.Context, r sequencer.Request) (outcome.Outcome, error)
}

// Manager serves requests that manage programs.
type Manager struct {
	programs Programs
	view     func() *snapshot.Snapshot
}

// New returns the filter.
func New(programs Programs, view func() *snapshot.Snapshot) *Manager {
	return &Manager{programs: programs, view: view}
}

// Serve answers all requests except calls.
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

// translate returns the request for the sequencer, or nil for a call.
func (m *Manager) translate(x *chain.Exchange) (sequencer.Request, error) {
	team := x.Account.Team
	switch r := x.Request.(type) {
	case request.Call:
		return nil, nil
	case request.Open:
		if err := m.validateOpen(team, r); err != nil {
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

// validateOpen checks the class and budget of a new program against the
// configuration.
func (m *Manager) validateOpen(team ident.TeamID, r request.Open) error {
	current := m.view().Configuration
	if current == nil {
		return failure.Refusal(failure.ConfigurationStale, 0, "this VM has no configuration yet; let an operator confirm a plan or ask another VM")
	}
	limits, ok := current.Team(team)
	if !ok {
		return failure.New(failure.Forbidden, "team %s is not in the configuration; let an operator add it by a plan", team)
	}
	if _, ok := current.Class(r.Class); !ok {
		return failure.New(failure.InvalidRequest, "there is no class %q; use one of %s", r.Class, classNames(current))
	}
	if r.Budget.Calls <= 0 || r.Budget.Tokens < 0 {
		return failure.New(failure.InvalidRequest, "the budget must allow at least one call and must not have a negative number of tokens")
	}
	if r.Budget.Calls > limits.MaxCalls || r.Budget.Tokens > limits.MaxTokens {
		return failure.New(failure.InvalidRequest, "team %s allows budgets up to %d calls and %d tokens; ask for less", team, limits.MaxCalls, limits.MaxTokens)
	}
	return nil
}

func classNames(c *configuration.Configuration) string {
	var names []string
	for _, class := range c.Classes {
		names = append(names, string(class.ID))
	}
	return strings.Join(names, ", ")
}
