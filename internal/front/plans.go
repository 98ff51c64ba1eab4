package front

import (
	"context"

	"github.com/sassafrasspur/sassafrasspur/gen/plans"
	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/failure"
	"github.com/sassafrasspur/sassafrasspur/internal/planner"
	"github.com/sassafrasspur/sassafrasspur/internal/program"
	"github.com/sassafrasspur/sassafrasspur/internal/request"
)

type planService struct{ *Front }

// Create computes a plan and stores it. Nothing else changes.
func (s *planService) Create(ctx context.Context, p *plans.CreatePayload) (*plans.Plan, error) {
	account, err := s.operator(ctx)
	if err != nil {
		return nil, err
	}
	plan, err := s.plans.Create(ctx, account.Team, p.Intent)
	if err != nil {
		return nil, asProblem(err)
	}
	if err := s.check(ctx, plan); err != nil {
		return nil, err
	}
	return encodePlan(plan, false), nil
}

// Show returns a stored plan.
func (s *planService) Show(ctx context.Context, p *plans.ShowPayload) (*plans.Plan, error) {
	account, err := s.operator(ctx)
	if err != nil {
		return nil, err
	}
	plan, confirmed, err := s.plans.Show(ctx, account.Team, ident.PlanID(p.Plan))
	if err != nil {
		return nil, asProblem(err)
	}
	return encodePlan(plan, confirmed), nil
}

// Confirm puts a plan in force and carries out its orders. A repeat after a
// failed order carries them out again.
func (s *planService) Confirm(ctx context.Context, p *plans.ConfirmPayload) (*plans.Plan, error) {
	account, err := s.operator(ctx)
	if err != nil {
		return nil, err
	}
	id := ident.PlanID(p.Plan)
	if err := s.reachable(ctx, account.Team, id); err != nil {
		return nil, asProblem(err)
	}
	plan, err := s.plans.Confirm(ctx, account.Team, id)
	if err != nil {
		return nil, asProblem(err)
	}
	for _, order := range plan.Orders {
		if err := s.carryOut(ctx, id, order); err != nil {
			p := *asProblem(err)
			p.Message = "the plan is confirmed, but an order failed: " + p.Message + "; repeat the confirmation to repeat the orders"
			// The plan took effect, whatever became of the order.
			p.NotRun = false
			return nil, &p
		}
	}
	return encodePlan(plan, true), nil
}

// check refuses a new plan that settles a call whose outcome is not unknown, or
// one of a program that the operator's team does not own.
func (s *planService) check(ctx context.Context, plan planner.Plan) error {
	for _, order := range plan.Orders {
		switch o := order.(type) {
		case planner.ResolveOrder:
			view, err := s.show(ctx, o.Program)
			if err != nil {
				return err
			}
			if call, ok := view.Calls[o.Call]; !ok || call.Status != program.Unknown {
				return asProblem(failure.Refusal(failure.InvalidRequest, 0,
					"the outcome of call %s of program %s is not unknown; look at the program's open calls", o.Call, o.Program))
			}
		}
	}
	return nil
}

// reachable refuses a plan before its confirmation if the programs that it
// settles can't be reached.
func (s *planService) reachable(ctx context.Context, team ident.TeamID, id ident.PlanID) error {
	plan, _, err := s.plans.Show(ctx, team, id)
	if err != nil {
		return err
	}
	for _, order := range plan.Orders {
		switch o := order.(type) {
		case planner.ResolveOrder:
			if _, err := s.show(ctx, o.Program); err != nil {
				return err
			}
		}
	}
	return nil
}

// carryOut carries out an order.
func (s *planService) carryOut(ctx context.Context, id ident.PlanID, order planner.Order) error {
	switch o := order.(type) {
	case planner.ResolveOrder:
		_, err := s.ask(ctx, request.Resolve{Program: o.Program, Call: o.Call, Ran: o.Ran, Answer: o.Answer, Plan: id})
		return err
	default:
		return failure.New(failure.Internal, "an order of type %T is not carried out; report this", order)
	}
}

func encodePlan(plan planner.Plan, confirmed bool) *plans.Plan {
	p := &plans.Plan{
		Plan:        string(plan.ID),
		Status:      "open",
		BaseVersion: uint64(plan.Base),
		NewVersion:  uint64(plan.Base + 1),
		Steps:       append([]string{}, plan.Steps...),
		Changes:     []*plans.TeamChange{},
		Costs:       append([]string{}, plan.Costs...),
		NotPromised: append([]string{}, plan.NotPromised...),
	}
	if confirmed {
		p.Status = "confirmed"
	}
	for _, change := range plan.Changes {
		p.Changes = append(p.Changes, &plans.TeamChange{Team: string(change.Team), Change: change.Text})
	}
	return p
}
