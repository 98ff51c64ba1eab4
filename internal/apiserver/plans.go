package apiserver

import (
	"context"

	"github.com/sassafrasspur/sassafrasspur/gen/plans"
	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/failure"
	"github.com/sassafrasspur/sassafrasspur/internal/planner"
	"github.com/sassafrasspur/sassafrasspur/internal/program"
	"github.com/sassafrasspur/sassafrasspur/internal/request"
)

type planService struct{ *Apiserver }

// Create computes a plan and stores it. It does not take effect before it is
// confirmed.
func (s *planService) Create(ctx context.Context, p *plans.CreatePayload) (*plans.Plan, error) {
	account, err := s.operator(ctx)
	if err != nil {
		return nil, err
	}
	plan, err := s.plans.Create(ctx, account.Team, p.Intent)
	if err != nil {
		return nil, toProblem(err)
	}
	if err := s.validateOrders(ctx, plan); err != nil {
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
		return nil, toProblem(err)
	}
	return encodePlan(plan, confirmed), nil
}

// Confirm makes a plan effective and executes its orders. Confirming it again
// after an order failed executes them again.
func (s *planService) Confirm(ctx context.Context, p *plans.ConfirmPayload) (*plans.Plan, error) {
	account, err := s.operator(ctx)
	if err != nil {
		return nil, err
	}
	id := ident.PlanID(p.Plan)
	if err := s.checkReachable(ctx, account.Team, id); err != nil {
		return nil, toProblem(err)
	}
	plan, err := s.plans.Confirm(ctx, account.Team, id)
	if err != nil {
		return nil, toProblem(err)
	}
	for _, order := range plan.Orders {
		if err := s.execute(ctx, id, order); err != nil {
			p := *toProblem(err)
			p.Message = "the plan is confirmed, but an order failed: " + p.Message + "; confirm the plan again to repeat the orders"
			// The plan took effect, whether or not the order was executed.
			p.NotRun = false
			return nil, &p
		}
	}
	return encodePlan(plan, true), nil
}

// validateOrders returns an error if a new plan settles a call whose outcome is
// not unknown, or one of a program that the operator's team does not own.
func (s *planService) validateOrders(ctx context.Context, plan planner.Plan) error {
	for _, order := range plan.Orders {
		switch o := order.(type) {
		case planner.ResolveOrder:
			view, err := s.showProgram(ctx, o.Program)
			if err != nil {
				return err
			}
			if call, ok := view.Calls[o.Call]; !ok || call.Status != program.Unknown {
				return toProblem(failure.Refusal(failure.InvalidRequest, 0,
					"the outcome of call %s of program %s is not unknown; look at the program's open calls", o.Call, o.Program))
			}
		}
	}
	return nil
}

// checkReachable returns an error if a program with calls that the plan settles
// is unreachable, so that the plan is not confirmed.
func (s *planService) checkReachable(ctx context.Context, team ident.TeamID, id ident.PlanID) error {
	plan, _, err := s.plans.Show(ctx, team, id)
	if err != nil {
		return err
	}
	for _, order := range plan.Orders {
		switch o := order.(type) {
		case planner.ResolveOrder:
			if _, err := s.showProgram(ctx, o.Program); err != nil {
				return err
			}
		}
	}
	return nil
}

// execute executes an order of a confirmed plan.
func (s *planService) execute(ctx context.Context, id ident.PlanID, order planner.Order) error {
	switch o := order.(type) {
	case planner.ResolveOrder:
		_, err := s.runChain(ctx, request.Resolve{Program: o.Program, Call: o.Call, Ran: o.Ran, Answer: o.Answer, Plan: id})
		return err
	default:
		return failure.New(failure.Internal, "orders of type %T are not implemented; report this as a bug", order)
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
