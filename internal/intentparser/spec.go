package intentparser

import (
	"maps"
	"slices"
	"time"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/configuration"
	"github.com/sassafrasspur/sassafrasspur/internal/intent"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

// values holds the values of all keys that an intent can have.
type values struct {
	Kind                string
	ID                  string
	Pool                ident.PoolID
	PoolKind            configuration.PoolKind
	Idempotent          []ident.Operation
	LookUp              bool
	Fencing             bool
	Upstream            ident.UpstreamID
	Team                ident.TeamID
	Borrower            ident.TeamID
	Address             string
	Region              ident.Region
	Domain              ident.Domain
	Slots               int
	Share               unit.Ratio
	Reclaim             time.Duration
	Rank                int
	Essential           bool
	MaxTokens           unit.Tokens
	MaxCalls            unit.Calls
	RecomputedToken     time.Duration
	TransferredKilobyte time.Duration
	Program             ident.ProgramID
	Call                ident.CallID
	Ran                 bool
	Answer              string
	Model               string
	Adapter             string
	Role                string
}

// target returns a pointer to the field for a key. Every key in specs has a
// target.
func (r *values) target(key string) any {
	return map[string]any{
		"kind": &r.Kind, "id": &r.ID, "pool": &r.Pool, "pool_kind": &r.PoolKind, "idempotent": &r.Idempotent,
		"look_up": &r.LookUp, "fencing": &r.Fencing, "upstream": &r.Upstream, "team": &r.Team,
		"borrower": &r.Borrower, "address": &r.Address, "region": &r.Region, "domain": &r.Domain,
		"slots": &r.Slots, "share": &r.Share, "reclaim": &r.Reclaim, "rank": &r.Rank, "essential": &r.Essential,
		"max_tokens": &r.MaxTokens, "max_calls": &r.MaxCalls, "recomputed_token": &r.RecomputedToken,
		"transferred_kilobyte": &r.TransferredKilobyte, "program": &r.Program, "call": &r.Call, "ran": &r.Ran,
		"answer": &r.Answer, "model": &r.Model, "adapter": &r.Adapter, "role": &r.Role,
	}[key]
}

// spec defines the keys of a kind of intent and the intent that they build.
type spec struct {
	required []string
	optional []string
	build    func(values) intent.Intent
}

// objectSpec defines the same for a kind of object. ids are the keys that
// identify an object when it is removed.
type objectSpec struct {
	ids      []string
	required []string
	optional []string
	build    func(values) intent.Object
}

var objects = map[string]objectSpec{
	"team": {[]string{"id"}, []string{"max_tokens", "max_calls"}, nil, func(r values) intent.Object {
		return intent.Team{Team: configuration.Team{ID: ident.TeamID(r.ID), MaxTokens: r.MaxTokens, MaxCalls: r.MaxCalls}}
	}},
	"pool": {[]string{"id"}, []string{"pool_kind"}, []string{"idempotent", "look_up", "fencing"}, func(r values) intent.Object {
		return intent.Pool{Pool: configuration.Pool{ID: ident.PoolID(r.ID), Kind: r.PoolKind, Idempotent: r.Idempotent, LookUp: r.LookUp, Fencing: r.Fencing}}
	}},
	"upstream": {[]string{"id"}, []string{"pool", "team", "address", "region", "domain", "slots"}, nil, func(r values) intent.Object {
		return intent.Upstream{Upstream: configuration.Upstream{
			ID: ident.UpstreamID(r.ID), Pool: r.Pool, Team: r.Team, Address: r.Address,
			Region: r.Region, Domain: r.Domain, Slots: r.Slots,
		}}
	}},
	"class": {[]string{"id"}, []string{"rank"}, []string{"essential"}, func(r values) intent.Object {
		return intent.Class{Class: configuration.Class{ID: ident.Class(r.ID), Rank: r.Rank, Essential: r.Essential}}
	}},
	"loan": {[]string{"upstream", "borrower"}, []string{"share", "reclaim"}, nil, func(r values) intent.Object {
		return intent.Loan{Upstream: r.Upstream, Loan: configuration.Loan{Borrower: r.Borrower, Share: r.Share, Reclaim: r.Reclaim}}
	}},
}

var specs = allSpecs()

func allSpecs() map[string]spec {
	upstream := []string{"upstream"}
	all := map[string]spec{
		"set_weights": {[]string{"recomputed_token", "transferred_kilobyte"}, nil, func(r values) intent.Intent {
			return intent.SetWeights{Weights: configuration.Weights{RecomputedToken: r.RecomputedToken, TransferredKilobyte: r.TransferredKilobyte}}
		}},
		"drain_upstream": {upstream, nil, func(r values) intent.Intent {
			return intent.SetDrain{Upstream: r.Upstream, Drain: true}
		}},
		"undrain_upstream": {upstream, nil, func(r values) intent.Intent {
			return intent.SetDrain{Upstream: r.Upstream}
		}},
		"set_budget": {[]string{"team", "max_tokens", "max_calls"}, nil, func(r values) intent.Intent {
			return intent.SetBudget{Team: r.Team, MaxTokens: r.MaxTokens, MaxCalls: r.MaxCalls}
		}},
		"resolve_call": {[]string{"program", "call", "ran"}, []string{"answer"}, func(r values) intent.Intent {
			return intent.Resolve{Program: r.Program, Call: r.Call, Ran: r.Ran, Answer: r.Answer}
		}},
		"load_model": {[]string{"upstream", "model"}, nil, func(r values) intent.Intent {
			return intent.Load{Upstream: r.Upstream, Model: r.Model}
		}},
		"load_adapter": {[]string{"upstream", "model", "adapter"}, nil, func(r values) intent.Intent {
			return intent.Load{Upstream: r.Upstream, Model: r.Model, Adapter: r.Adapter}
		}},
		"set_role": {[]string{"upstream", "role"}, nil, func(r values) intent.Intent {
			return intent.SetRole{Upstream: r.Upstream, Role: r.Role}
		}},
	}
	for name, o := range objects {
		all["create_"+name] = spec{slices.Concat(o.ids, o.required), o.optional, func(r values) intent.Intent { return intent.Create{Object: o.build(r)} }}
		all["replace_"+name] = spec{slices.Concat(o.ids, o.required), o.optional, func(r values) intent.Intent { return intent.Replace{Object: o.build(r)} }}
		all["remove_"+name] = spec{o.ids, nil, func(r values) intent.Intent { return intent.Remove{Object: o.build(r)} }}
	}
	return all
}

// kinds returns the names of all kinds, sorted.
func kinds() []string { return slices.Sorted(maps.Keys(specs)) }
