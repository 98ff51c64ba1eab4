package planner

import (
	"fmt"
	"slices"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/configuration"
	"github.com/sassafrasspur/sassafrasspur/internal/failure"
	"github.com/sassafrasspur/sassafrasspur/internal/intent"
)

// Planner computes plans. Its methods depend on their arguments alone, so that
// a stored intent gives the same plan again.
type Planner struct {
	// Team is the team of the operator who wants the plan. Without it, nothing
	// that belongs to a team is refused.
	Team ident.TeamID
}

// Plan computes the plan of an intent. It does not change current. Errors have
// the kind failure.InvalidRequest or failure.Forbidden. The caller sets the plan's id.
func (p Planner) Plan(current *configuration.Configuration, wanted intent.Intent) (Plan, error) {
	d := &draft{team: p.Team, next: clone(current), plan: Plan{Base: current.Version}}
	if err := d.apply(wanted); err != nil {
		return Plan{}, err
	}
	if len(d.plan.Steps) == 0 {
		return Plan{}, invalid("the intent asks for nothing; give at least one [[intent]] table")
	}
	if err := validate(d.next); err != nil {
		return Plan{}, err
	}
	if d.changed {
		d.noPromise("The configuration is in force everywhere within 7 s only while the platform is available; a node that is cut off refuses new work instead.")
	}
	d.next.Version = current.Version + 1
	d.next.Plan = ""
	d.plan.Next = d.next
	return d.plan, nil
}

// draft is a plan under construction.
type draft struct {
	team    ident.TeamID
	next    *configuration.Configuration
	plan    Plan
	changed bool
}

func invalid(format string, args ...any) error {
	return failure.Refusal(failure.InvalidRequest, 0, format, args...)
}

func (d *draft) step(format string, args ...any) {
	d.plan.Steps = append(d.plan.Steps, fmt.Sprintf(format, args...))
}

func (d *draft) change(team ident.TeamID, format string, args ...any) {
	d.plan.Changes = append(d.plan.Changes, Change{Team: team, Text: fmt.Sprintf(format, args...)})
}

func (d *draft) cost(format string, args ...any) {
	d.plan.Costs = addOnce(d.plan.Costs, fmt.Sprintf(format, args...))
}

func (d *draft) noPromise(format string, args ...any) {
	d.plan.NotPromised = addOnce(d.plan.NotPromised, fmt.Sprintf(format, args...))
}

func addOnce(list []string, text string) []string {
	if slices.Contains(list, text) {
		return list
	}
	return append(list, text)
}

func (d *draft) apply(wanted intent.Intent) error {
	if err := d.permit(wanted); err != nil {
		return err
	}
	switch w := wanted.(type) {
	case intent.Batch:
		for _, each := range w.Intents {
			if err := d.apply(each); err != nil {
				return err
			}
		}
		return nil
	case intent.Create:
		d.changed = true
		return d.create(w.Object)
	case intent.Replace:
		d.changed = true
		return d.replace(w.Object)
	case intent.Remove:
		d.changed = true
		return d.remove(w.Object)
	case intent.SetWeights:
		d.changed = true
		d.step("Set the weights of waste from (%s) to (%s).", describeWeights(d.next.Weights), describeWeights(w.Weights))
		d.change("", "calls are placed by the new weights")
		d.noPromise("The effect of weights on latency and recomputation is not predicted.")
		d.next.Weights = w.Weights
		return nil
	case intent.SetDrain:
		d.changed = true
		return d.drain(w)
	case intent.SetBudget:
		d.changed = true
		return d.budget(w)
	case intent.Resolve:
		return d.resolve(w)
	case intent.Load:
		return d.load(w)
	case intent.SetRole:
		return d.role(w)
	default:
		return invalid("the intent %T is not known; use one of the documented kinds", wanted)
	}
}

func (d *draft) drain(w intent.SetDrain) error {
	i := slices.IndexFunc(d.next.Upstreams, func(u configuration.Upstream) bool { return u.ID == w.Upstream })
	if i < 0 {
		return missing("upstream", string(w.Upstream))
	}
	u := &d.next.Upstreams[i]
	u.Drain = w.Drain
	if !w.Drain {
		d.step("Send new work to upstream %s again.", u.ID)
		d.changeUsers(*u, "pool %s gains upstream %s with %d slots", u.Pool, u.ID, u.Slots)
		return nil
	}
	d.step("Stop sending new work to upstream %s.", u.ID)
	d.changeUsers(*u, "pool %s loses upstream %s with %d slots", u.Pool, u.ID, u.Slots)
	d.lose(*u)
	d.noPromise("Calls on upstream %s are not interrupted, so the time until it is idle is not promised.", u.ID)
	return nil
}

func (d *draft) budget(w intent.SetBudget) error {
	i := slices.IndexFunc(d.next.Teams, func(t configuration.Team) bool { return t.ID == w.Team })
	if i < 0 {
		return missing("team", string(w.Team))
	}
	t := &d.next.Teams[i]
	old := *t
	t.MaxTokens, t.MaxCalls = w.MaxTokens, w.MaxCalls
	d.step("Change team %s from (%s) to (%s).", t.ID, describeTeam(old), describeTeam(*t))
	d.change(t.ID, "a program may ask for at most %d tokens and %d calls", t.MaxTokens, t.MaxCalls)
	d.noPromise("Programs that are open keep the budget with which they were opened.")
	return nil
}

func (d *draft) resolve(w intent.Resolve) error {
	if w.Program == "" || w.Call == "" {
		return invalid("a call to resolve needs program and call; the program's open calls list them")
	}
	if w.Ran {
		d.step("Record that call %s of program %s ran, with the given answer.", w.Call, w.Program)
		d.cost("The given answer becomes part of the history of program %s and can't be changed.", w.Program)
	} else {
		d.step("Record that call %s of program %s did not run.", w.Call, w.Program)
		d.cost("If the call did run after all, its repeat runs it a second time; confirm only what the service's own records show.")
	}
	d.change("", "program %s can continue after call %s", w.Program, w.Call)
	d.noPromise("The order is refused if the outcome of call %s is settled before the confirmation.", w.Call)
	d.plan.Orders = append(d.plan.Orders, ResolveOrder(w))
	return nil
}

func (d *draft) load(w intent.Load) error {
	u, err := d.engine(w.Upstream)
	if err != nil {
		return err
	}
	if w.Model == "" {
		return invalid("a load on upstream %s needs a model; name the model", w.Upstream)
	}
	if w.Adapter == "" {
		d.step("Load model %s on upstream %s.", w.Model, u.ID)
		d.cost("Upstream %s may drop its cached prefixes while it loads; they are computed again.", u.ID)
	} else {
		d.step("Load adapter %s of model %s on upstream %s.", w.Adapter, w.Model, u.ID)
	}
	d.changeUsers(u, "upstream %s of pool %s offers the loaded model", u.ID, u.Pool)
	d.noPromise("The time that upstream %s needs to load is not known.", u.ID)
	order := configuration.Order{Upstream: u.ID, Kind: configuration.LoadModel, Name: w.Model}
	if w.Adapter != "" {
		order.Kind, order.Name = configuration.LoadAdapter, w.Model+"/"+w.Adapter
	}
	d.want(order)
	return nil
}

func (d *draft) role(w intent.SetRole) error {
	u, err := d.engine(w.Upstream)
	if err != nil {
		return err
	}
	if w.Role == "" {
		return invalid("a change of role of upstream %s needs a role; name the role", w.Upstream)
	}
	d.step("Change the role of upstream %s to %s.", u.ID, w.Role)
	d.changeUsers(u, "upstream %s of pool %s has the role %s", u.ID, u.Pool, w.Role)
	d.cost("Upstream %s may drop its cached prefixes when its role changes; they are computed again.", u.ID)
	d.noPromise("An engine that does not know the role %s refuses the order.", w.Role)
	d.want(configuration.Order{Upstream: u.ID, Kind: configuration.SetRole, Name: w.Role})
	return nil
}

// engine returns an upstream of a pool of engines.
func (d *draft) engine(id ident.UpstreamID) (configuration.Upstream, error) {
	u, ok := d.next.Upstream(id)
	if !ok {
		return u, missing("upstream", string(id))
	}
	if pool, _ := d.next.Pool(u.Pool); pool.Kind != configuration.EnginePool {
		return u, invalid("upstream %s is not an engine; models and roles belong to upstreams of engine pools", id)
	}
	return u, nil
}

// changeUsers reports a change to the owner of an upstream and its borrowers.
func (d *draft) changeUsers(u configuration.Upstream, format string, args ...any) {
	d.change(u.Team, format, args...)
	for _, loan := range u.Loans {
		d.change(loan.Borrower, format, args...)
	}
}

// lose reports what the loss of an upstream costs.
func (d *draft) lose(u configuration.Upstream) {
	left := 0
	for _, other := range d.next.Upstreams {
		if other.ID != u.ID && other.Pool == u.Pool && !other.Drain {
			left += other.Slots
		}
	}
	if left == 0 {
		d.cost("Pool %s has no other upstream that takes work: its calls are refused.", u.Pool)
	} else {
		d.cost("Pool %s has %d slots left without upstream %s.", u.Pool, left, u.ID)
	}
	if pool, ok := d.next.Pool(u.Pool); ok && pool.Kind == configuration.EnginePool {
		d.cost("Prefixes that are cached on upstream %s are computed again elsewhere.", u.ID)
	}
}
