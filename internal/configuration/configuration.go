package configuration

import (
	"slices"
	"time"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

// Configuration holds all settings that a confirmed plan can change.
type Configuration struct {
	Version   ident.Version `json:"version"`
	Plan      ident.PlanID  `json:"plan"`
	Teams     []Team        `json:"teams"`
	Pools     []Pool        `json:"pools"`
	Upstreams []Upstream    `json:"upstreams"`
	Classes   []Class       `json:"classes"`
	Weights   Weights       `json:"weights"`
	// Orders are the desired models, adapters and roles of engines, in the order
	// in which plans added them.
	Orders []Order `json:"orders,omitempty"`
}

// Team owns upstreams and limits the budget of its programs.
type Team struct {
	ID ident.TeamID `json:"id"`
	// MaxTokens and MaxCalls limit the budget that one program may request.
	MaxTokens unit.Tokens `json:"max_tokens"`
	MaxCalls  unit.Calls  `json:"max_calls"`
}

// PoolKind distinguishes pools of model engines from pools of plain services.
type PoolKind string

// Kinds of pools.
const (
	EnginePool  PoolKind = "engine"
	ServicePool PoolKind = "service"
)

// Pool is a set of interchangeable upstreams.
type Pool struct {
	ID   ident.PoolID `json:"id"`
	Kind PoolKind     `json:"kind"`
	// Idempotent lists the operations of a service that may be repeated. Any
	// other operation of a service is dispatched at most once.
	Idempotent []ident.Operation `json:"idempotent"`
	// LookUp is true if the service can return the result of a call by its id.
	LookUp bool `json:"look_up"`
	// Fencing is true if the pool's engines reject outdated fencing tokens.
	Fencing bool `json:"fencing"`
}

// Repeatable reports whether a call of operation may be dispatched again.
func (p Pool) Repeatable(operation ident.Operation) bool {
	return p.Kind == EnginePool || slices.Contains(p.Idempotent, operation)
}

// Upstream is one replica of a pool.
type Upstream struct {
	ID      ident.UpstreamID `json:"id"`
	Pool    ident.PoolID     `json:"pool"`
	Team    ident.TeamID     `json:"team"`
	Address string           `json:"address"`
	Region  ident.Region     `json:"region"`
	Domain  ident.Domain     `json:"domain"`
	// Slots is the number of calls that the upstream runs concurrently.
	Slots int `json:"slots"`
	// Drain is true if an operator requested that no new work be sent.
	Drain bool   `json:"drain"`
	Loans []Loan `json:"loans"`
}

// Loan is the permission of another team to use an upstream.
type Loan struct {
	Borrower ident.TeamID `json:"borrower"`
	// Share is the fraction of the slots that the borrower may hold.
	Share unit.Ratio `json:"share"`
	// Reclaim is the time within which the owner gets its slots back.
	Reclaim time.Duration `json:"reclaim"`
}

// Class is a priority class. Classes with a lower rank are served first.
type Class struct {
	ID   ident.Class `json:"id"`
	Rank int         `json:"rank"`
	// Essential is true if the limiter admits the class while it refuses others.
	Essential bool `json:"essential"`
}

// Weights convert recomputation and transfers to time, so that their cost can be
// added to latency.
type Weights struct {
	// RecomputedToken is the cost of recomputing one token.
	RecomputedToken time.Duration `json:"recomputed_token"`
	// TransferredKilobyte is the cost of 1,000 bytes of KV cache sent between
	// regions.
	TransferredKilobyte time.Duration `json:"transferred_kilobyte"`
}

// OrderKind is the kind of state that an order sets on an engine.
type OrderKind string

// Kinds of orders.
const (
	LoadModel   OrderKind = "load_model"
	LoadAdapter OrderKind = "load_adapter"
	SetRole     OrderKind = "set_role"
)

// Order is a desired state of an engine.
type Order struct {
	Upstream ident.UpstreamID `json:"upstream"`
	Kind     OrderKind        `json:"kind"`
	// Name is the model, the model and its adapter separated by a slash, or the
	// role.
	Name string `json:"name"`
	// Epoch is the fencing token: the version of the configuration that the
	// order's plan put in force. Engines reject an order that is older than one
	// that they have seen.
	Epoch ident.Epoch `json:"epoch"`
}

// Pool returns the pool with the given id.
func (c *Configuration) Pool(id ident.PoolID) (Pool, bool) {
	i := slices.IndexFunc(c.Pools, func(p Pool) bool { return p.ID == id })
	if i < 0 {
		return Pool{}, false
	}
	return c.Pools[i], true
}

// Team returns the team with the given id.
func (c *Configuration) Team(id ident.TeamID) (Team, bool) {
	i := slices.IndexFunc(c.Teams, func(t Team) bool { return t.ID == id })
	if i < 0 {
		return Team{}, false
	}
	return c.Teams[i], true
}

// Class returns the class with the given id.
func (c *Configuration) Class(id ident.Class) (Class, bool) {
	i := slices.IndexFunc(c.Classes, func(k Class) bool { return k.ID == id })
	if i < 0 {
		return Class{}, false
	}
	return c.Classes[i], true
}

// Upstream returns the upstream with the given id.
func (c *Configuration) Upstream(id ident.UpstreamID) (Upstream, bool) {
	i := slices.IndexFunc(c.Upstreams, func(u Upstream) bool { return u.ID == id })
	if i < 0 {
		return Upstream{}, false
	}
	return c.Upstreams[i], true
}
