package apiserver

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/sassafrasspur/sassafrasspur/gen/programs"
	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/chain"
	"github.com/sassafrasspur/sassafrasspur/internal/failure"
	"github.com/sassafrasspur/sassafrasspur/internal/outcome"
	"github.com/sassafrasspur/sassafrasspur/internal/program"
	"github.com/sassafrasspur/sassafrasspur/internal/record"
	"github.com/sassafrasspur/sassafrasspur/internal/request"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

type programService struct{ *Apiserver }

// Open opens a root program.
func (s *programService) Open(ctx context.Context, p *programs.OpenPayload) (*programs.ProgramRef, error) {
	id := ident.ProgramID(p.Program)
	_, err := s.runChain(ctx, request.Open{
		Program: id,
		Class:   ident.Class(p.Class),
		Budget: record.Budget{
			Calls:   unit.Calls(p.Budget.Calls),
			Tokens:  unit.Tokens(p.Budget.Tokens),
			Expires: s.timers.Now().Add(time.Duration(p.Budget.Seconds) * time.Second).UTC().Round(0),
		},
	})
	return encodeReference(id, err)
}

// Child opens a sub-agent.
func (s *programService) Child(ctx context.Context, p *programs.ChildPayload) (*programs.ProgramRef, error) {
	parent, child := ident.ProgramID(p.Program), ident.ProgramID(p.Child)
	number, ok := strings.CutPrefix(p.Child, p.Program+".")
	if !ok || strings.Contains(number, ".") {
		return nil, toProblem(failure.Refusal(failure.InvalidRequest, 0,
			"%s is not the id of a sub-agent of %s; use the parent's id, a dot and a number, for example %s", child, parent, parent.Child(1)))
	}
	_, err := s.runChain(ctx, request.OpenChild{Parent: parent, Child: child})
	return encodeReference(child, err)
}

// Call runs a call and streams its answer as server-sent events.
func (s *programService) Call(ctx context.Context, p *programs.CallPayload, stream programs.CallServerStream) error {
	call := ident.CallID(p.CallID)
	out := &sink{ctx: ctx, call: call, stream: stream}
	x := &chain.Exchange{
		Credential: credential(ctx),
		Request: request.Call{
			FirstSubmission: p.FirstSubmission,
			Program:         ident.ProgramID(p.Program),
			Request: record.Request{
				Call:      call,
				Position:  ident.Position(p.Position),
				Pool:      ident.PoolID(p.Pool),
				Operation: ident.Operation(p.Operation),
				Body:      p.Body,
				MaxTokens: unit.Tokens(p.MaxTokens),
			},
		},
		Sink: out,
	}
	return out.finish(s.filterChain(ctx, x))
}

// End ends a program.
func (s *programService) End(ctx context.Context, p *programs.EndPayload) (*programs.ProgramRef, error) {
	id := ident.ProgramID(p.Program)
	_, err := s.runChain(ctx, request.End{Program: id})
	return encodeReference(id, err)
}

// Show returns a program's turns, open calls and budget.
func (s *programService) Show(ctx context.Context, p *programs.ShowPayload) (*programs.Program, error) {
	view, err := s.showProgram(ctx, ident.ProgramID(p.Program))
	if err != nil {
		return nil, err
	}
	return encodeProgram(view), nil
}

// showProgram returns the view of a program. The chain refuses access to programs
// of other teams.
func (a *Apiserver) showProgram(ctx context.Context, id ident.ProgramID) (program.View, error) {
	reply, err := a.runChain(ctx, request.Show{Program: id})
	if err != nil {
		return program.View{}, err
	}
	shown, ok := reply.(outcome.Shown)
	if !ok {
		return program.View{}, toProblem(failure.New(failure.Internal, "unexpected reply of type %T to a request for a program; report this as a bug", reply))
	}
	return shown.View, nil
}

// runChain passes a request that is not a call through the chain and returns
// the reply.
func (a *Apiserver) runChain(ctx context.Context, r request.Request) (outcome.Outcome, error) {
	x := &chain.Exchange{Credential: credential(ctx), Request: r}
	if err := a.filterChain(ctx, x); err != nil {
		return nil, toProblem(err)
	}
	if refused, ok := x.Reply.(outcome.Refused); ok {
		return nil, toProblem(refused.Err)
	}
	return x.Reply, nil
}

func encodeReference(id ident.ProgramID, err error) (*programs.ProgramRef, error) {
	if err != nil {
		return nil, err
	}
	return &programs.ProgramRef{Program: string(id)}, nil
}

func encodeProgram(v program.View) *programs.Program {
	p := &programs.Program{
		Program: string(v.ID),
		Team:    string(v.Team),
		Class:   string(v.Class),
		Running: v.Running,
		Ended:   v.Ended,
		Reason:  v.Reason,
		Turns:   []*programs.Turn{},
		Budget: &programs.Limits{
			Calls:   int64(v.Root.Budget.Calls),
			Tokens:  int64(v.Root.Budget.Tokens),
			Expires: v.Root.Budget.Expires.UTC().Format(time.RFC3339),
		},
		Spent:     encodeSpending(v.Root.Spent),
		Allowance: encodeSpending(v.Root.Spent.Add(v.Reserved)),
		OpenCalls: []*programs.OpenCall{},
	}
	for _, turn := range v.Turns {
		p.Turns = append(p.Turns, &programs.Turn{
			CallID:    string(turn.Call),
			Position:  int(turn.Position),
			Pool:      string(turn.Pool),
			Operation: string(turn.Operation),
			Body:      turn.Body,
			Attempt:   int(turn.Attempt),
			Answer:    turn.Answer.Body,
			Failed:    turn.Answer.Failed,
			Usage:     encodeUsage(turn.Answer.Usage),
		})
	}
	for id, call := range v.Calls {
		if !call.Open() {
			continue
		}
		p.OpenCalls = append(p.OpenCalls, &programs.OpenCall{
			CallID:   string(id),
			Position: int(call.Position),
			Status:   string(call.Status),
			Attempt:  int(call.Attempt),
			Upstream: string(call.Upstream),
		})
	}
	slices.SortFunc(p.OpenCalls, func(a, b *programs.OpenCall) int { return strings.Compare(a.CallID, b.CallID) })
	return p
}

func encodeSpending(a record.Amount) *programs.Spending {
	return &programs.Spending{Calls: int64(a.Calls), Tokens: int64(a.Tokens)}
}

func encodeUsage(u record.Usage) *programs.Usage {
	return &programs.Usage{
		Calls:        int64(u.Calls),
		PromptTokens: int64(u.PromptTokens),
		CachedTokens: int64(u.CachedTokens),
		OutputTokens: int64(u.OutputTokens),
	}
}
