package front

import (
	"context"

	"github.com/sassafrasspur/sassafrasspur/gen/plans"
	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/failure"
	"github.com/sassafrasspur/sassafrasspur/internal/planner"
	"github.com/sassafrasspur/sassafrasspur/internal/request"
)

type planService struct{ *Front }

// Create computes a plan and stores it. Nothing else changes.
func (s *planService) Create(ctx context.Context, p *plans.CreatePayload) (*plans.Plan, error) {
	if err := s.operator(ctx); err != nil {
		return nil, err
	}
	plan, err := s.plans.Create(ctx, p.Intent)
	if err != nil {
		return nil, asProblem(err)
	}
	return encodePlan(plan, false), nil
}

// Show returns a stored plan.
func (s *planService) Show(ctx context.Context, p *plans.ShowPayload) (*plans.Plan, error) {
	if err := s.operator(ctx); err != nil {
		return nil, err
	}
	plan, confirmed, err := s.plans.Show(ctx, ident.PlanID(p.Plan))
	if err != nil {
		return nil, asProblem(err)
	}
	return encodePlan(plan, confirmed), nil
}

// Confirm puts a plan in force and carries out its orders. A repeat after a
// failed order carries them out again.
func (s *planService) Confirm(ctx context.Context, p *plans.ConfirmPayload) (*plans.Plan, error) {
	if err := s.operator(ctx); err != nil {
		return nil, err
	}
	id := ident.PlanID(p.Plan)
	if err := s.supported(ctx, id); err != nil {
		return nil, asProblem(err)
	}
	plan, err := s.plans.Confirm(ctx, id)
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

// supported refuses a plan before its confirmation if its orders can't be
// carried out here.
func (s *planService) supported(ctx context.Context, id ident.PlanID) error {
	if s.orders != nil {
		return nil
	}
	plan, _, err := s.plans.Show(ctx, id)
	if err != nil {
		return err
	}
	for _, order := range plan.Orders {
		switch order.(type) {
		case planner.ResolveOrder:
		default:
			return failure.Refusal(failure.InvalidRequest, 0, "plan %s has orders to upstreams, which this node can't send; load models and change roles at the upstream itself", id)
		}
	}
	return nil
}

func (s *planService) carryOut(ctx context.Context, id ident.PlanID, order planner.Order) error {
	switch order := order.(type) {
	case planner.ResolveOrder:
		_, err := s.ask(ctx, request.Resolve{
			Program: order.Program,
			Call:    order.Call,
			Ran:     order.Ran,
			Answer:  order.Answer,
			Plan:    id,
		})
		return err
	default:
		return s.orders(ctx, order)
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
