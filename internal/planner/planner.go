package planner

import (
	"fmt"
	"slices"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/configuration"
	"github.com/sassafrasspur/sassafrasspur/internal/failure"
	"github.com/sassafrasspur/sassafrasspur/internal/intent"
)

// Planner computes plans. The result depends only on the team and the
// arguments, so a stored intent always yields the same plan.
type Planner struct {
	// Team is the team of the operator who requests the plan. If it is empty,
	// ownership is not checked.
	Team ident.TeamID
}

// Plan computes the plan of an intent. It does not modify current. Errors have
// the kind failure.InvalidRequest or failure.Forbidden. The caller sets the
// plan's id.
func (p Planner) Plan(current *configuration.Configuration, wanted intent.Intent) (Plan, error) {
	d := &draft{team: p.Team, next: clone(current), plan: Plan{Base: current.Version}}
	if err := d.apply(wanted); err != nil {
		return Plan{}, err
	}
	if len(d.plan.Steps) == 0 {
		return Plan{}, invalidf("the intent is empty; add at least one [[intent]] table")
	}
	if err := validate(d.next); err != nil {
		return Plan{}, err
	}
	if d.changed {
		d.addNotPromised("The configuration is in force everywhere within 7 s only while the platform is available; a node that is cut off refuses new work instead.")
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

func invalidf(format string, args ...any) error {
	return failure.Refusal(failure.InvalidRequest, 0, format, args...)
}

func (d *draft) addStep(format string, args ...any) {
	d.plan.Steps = append(d.plan.Steps, fmt.Sprintf(format, args...))
}

func (d *draft) addChange(team ident.TeamID, format string, args ...any) {
	d.plan.Changes = append(d.plan.Changes, Change{Team: team, Text: fmt.Sprintf(format, args...)})
}

func (d *draft) addCost(format string, args ...any) {
	d.plan.Costs = appendUnique(d.plan.Costs, fmt.Sprintf(format, args...))
}

func (d *draft) addNotPromised(format string, args ...any) {
	d.plan.NotPromised = appendUnique(d.plan.NotPromised, fmt.Sprintf(format, args...))
}

func appendUnique(list []string, text string) []string {
	if slices.Contains(list, text) {
		return list
	}
	return append(list, text)
}

func (d *draft) apply(wanted intent.Intent) error {
	if err := d.authorize(wanted); err != nil {
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
		d.addStep("Set the cost weights from (%s) to (%s).", describeWeights(d.next.Weights), describeWeights(w.Weights))
		d.addChange("", "calls are placed with the new weights")
		d.addNotPromised("The effect of weights on latency and recomputation is not predicted.")
		d.next.Weights = w.Weights
		return nil
	case intent.SetDrain:
		d.changed = true
		return d.setDrain(w)
	case intent.SetBudget:
		d.changed = true
		return d.setBudget(w)
	case intent.Resolve:
		return d.resolve(w)
	case intent.Load:
		return d.load(w)
	case intent.SetRole:
		return d.setRole(w)
	default:
		return invalidf("unknown intent type %T; use one of the documented kinds", wanted)
	}
}

func (d *draft) setDrain(w intent.SetDrain) error {
	i := slices.IndexFunc(d.next.Upstreams, func(u configuration.Upstream) bool { return u.ID == w.Upstream })
	if i < 0 {
		return notFound("upstream", string(w.Upstream))
	}
	u := &d.next.Upstreams[i]
	u.Drain = w.Drain
	if !w.Drain {
		d.addStep("Send new work to upstream %s again.", u.ID)
		d.addChangeForUsers(*u, "pool %s gains upstream %s with %d slots", u.Pool, u.ID, u.Slots)
		return nil
	}
	d.addStep("Stop sending new work to upstream %s.", u.ID)
	d.addChangeForUsers(*u, "pool %s loses upstream %s with %d slots", u.Pool, u.ID, u.Slots)
	d.addLossCosts(*u)
	d.addNotPromised("Calls on upstream %s are not interrupted, so the time until it is idle is not promised.", u.ID)
	return nil
}

func (d *draft) setBudget(w intent.SetBudget) error {
	i := slices.IndexFunc(d.next.Teams, func(t configuration.Team) bool { return t.ID == w.Team })
	if i < 0 {
		return notFound("team", string(w.Team))
	}
	t := &d.next.Teams[i]
	old := *t
	t.MaxTokens, t.MaxCalls = w.MaxTokens, w.MaxCalls
	d.addStep("Change team %s from (%s) to (%s).", t.ID, describeTeam(old), describeTeam(*t))
	d.addChange(t.ID, "a program may ask for at most %d tokens and %d calls", t.MaxTokens, t.MaxCalls)
	d.addNotPromised("Programs that are open keep the budget with which they were opened.")
	return nil
}

func (d *draft) resolve(w intent.Resolve) error {
	if w.Program == "" || w.Call == "" {
		return invalidf("the intent to resolve a call needs a program and a call; list the open calls of the program to find them")
	}
	if w.Ran {
		d.addStep("Record that call %s of program %s ran, with the given answer.", w.Call, w.Program)
		d.addCost("The given answer becomes part of the history of program %s and can't be changed.", w.Program)
	} else {
		d.addStep("Record that call %s of program %s did not run.", w.Call, w.Program)
		d.addCost("If the call did run after all, its repeat runs it a second time; confirm only what the service's own records show.")
	}
	d.addChange("", "program %s can continue after call %s", w.Program, w.Call)
	d.addNotPromised("The order is refused if the outcome of call %s is settled before the confirmation.", w.Call)
	d.plan.Orders = append(d.plan.Orders, ResolveOrder(w))
	return nil
}

func (d *draft) load(w intent.Load) error {
	u, err := d.engineUpstream(w.Upstream)
	if err != nil {
		return err
	}
	if w.Model == "" {
		return invalidf("a load on upstream %s has no model; name one", w.Upstream)
	}
	if w.Adapter == "" {
		d.addStep("Load model %s on upstream %s.", w.Model, u.ID)
		d.addCost("Upstream %s may drop its cached prefixes while it loads; they are computed again.", u.ID)
	} else {
		d.addStep("Load adapter %s of model %s on upstream %s.", w.Adapter, w.Model, u.ID)
	}
	d.addChangeForUsers(u, "upstream %s of pool %s offers the loaded model", u.ID, u.Pool)
	d.addNotPromised("The time that upstream %s needs to load is not known.", u.ID)
	order := configuration.Order{Upstream: u.ID, Kind: configuration.LoadModel, Name: w.Model}
	if w.Adapter != "" {
		order.Kind, order.Name = configuration.LoadAdapter, w.Model+"/"+w.Adapter
	}
	d.setOrder(order)
	return nil
}

func (d *draft) setRole(w intent.SetRole) error {
	u, err := d.engineUpstream(w.Upstream)
	if err != nil {
		return err
	}
	if w.Role == "" {
		return invalidf("a change of role of upstream %s has no role; name one", w.Upstream)
	}
	d.addStep("Change the role of upstream %s to %s.", u.ID, w.Role)
	d.addChangeForUsers(u, "upstream %s of pool %s has the role %s", u.ID, u.Pool, w.Role)
	d.addCost("Upstream %s may drop its cached prefixes when its role changes; they are computed again.", u.ID)
	d.addNotPromised("An engine that does not know the role %s refuses the order.", w.Role)
	d.setOrder(configuration.Order{Upstream: u.ID, Kind: configuration.SetRole, Name: w.Role})
	return nil
}

// engineUpstream returns an upstream, which must belong to an engine pool.
func (d *draft) engineUpstream(id ident.UpstreamID) (configuration.Upstream, error) {
	u, ok := d.next.Upstream(id)
	if !ok {
		return u, notFound("upstream", string(id))
	}
	if pool, _ := d.next.Pool(u.Pool); pool.Kind != configuration.EnginePool {
		return u, invalidf("upstream %s is not an engine; models and roles belong to upstreams of engine pools", id)
	}
	return u, nil
}

// addChangeForUsers adds a change for the owner of an upstream and for each of
// its borrowers.
func (d *draft) addChangeForUsers(u configuration.Upstream, format string, args ...any) {
	d.addChange(u.Team, format, args...)
	for _, loan := range u.Loans {
		d.addChange(loan.Borrower, format, args...)
	}
}

// addLossCosts adds the costs of taking an upstream out of service.
func (d *draft) addLossCosts(u configuration.Upstream) {
	left := 0
	for _, other := range d.next.Upstreams {
		if other.ID != u.ID && other.Pool == u.Pool && !other.Drain {
			left += other.Slots
		}
	}
	if left == 0 {
		d.addCost("Pool %s has no other upstream that takes work: its calls are refused.", u.Pool)
	} else {
		d.addCost("Pool %s has %d slots left without upstream %s.", u.Pool, left, u.ID)
	}
	if pool, ok := d.next.Pool(u.Pool); ok && pool.Kind == configuration.EnginePool {
		d.addCost("Prefixes that are cached on upstream %s are computed again elsewhere.", u.ID)
	}
}
