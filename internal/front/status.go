package front

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/sassafrasspur/sassafrasspur/gen/addresses"
	"github.com/sassafrasspur/sassafrasspur/gen/status"
	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/addresser"
	"github.com/sassafrasspur/sassafrasspur/internal/assessor"
	"github.com/sassafrasspur/sassafrasspur/internal/cluster"
	"github.com/sassafrasspur/sassafrasspur/internal/failure"
	"github.com/sassafrasspur/sassafrasspur/internal/snapshot"
)

type addressService struct{ *Front }

// List returns addresses for an account.
func (s *addressService) List(ctx context.Context, p *addresses.ListPayload) (*addresses.ListResult, error) {
	account, err := s.account(ctx)
	if err != nil {
		return nil, err
	}
	id := account.ID
	if p.Account != nil && *p.Account != "" {
		id = ident.AccountID(*p.Account)
	}
	view := s.snapshots()
	if view == nil {
		view = &snapshot.Snapshot{}
	}
	chosen := s.addresser.Choose(addresser.View{
		Account: id,
		Now:     s.timers.Now(),
		Region:  view.Self.Region,
		Domain:  view.Self.Domain,
		Nodes:   nodes(view),
		Free:    s.free(),
	})
	if len(chosen) == 0 {
		return nil, asProblem(failure.Refusal(failure.ShuttingDown, startupRetry, "this node knows no live entry VM; ask another entry VM"))
	}
	result := &addresses.ListResult{RetentionSeconds: int64(s.addresser.Retention() / time.Second)}
	for _, a := range chosen {
		result.Addresses = append(result.Addresses, &addresses.Address{
			Address: a.Address,
			Region:  string(a.Region),
			Domain:  string(a.Domain),
			Weight:  float64(a.Weight),
		})
	}
	return result, nil
}

// nodes returns the rows of all nodes. The node's own row may be missing from
// the last read of the platform, and is older there than its own state.
func nodes(s *snapshot.Snapshot) []cluster.Node {
	list := slices.DeleteFunc(slices.Clone(s.Nodes), func(n cluster.Node) bool { return n.VM == s.Self.VM })
	if s.Self.VM != "" {
		self := s.Self
		if s.Draining && self.State == cluster.Live {
			self.State = cluster.Leaving
		}
		list = append(list, self)
	}
	slices.SortFunc(list, func(a, b cluster.Node) int { return cmp.Compare(a.VM, b.VM) })
	return list
}

type statusService struct{ *Front }

// maxUnknown bounds the calls in one status.
const maxUnknown = 100

// Show returns the state of the system as this node sees it.
func (s *statusService) Show(ctx context.Context, _ *status.ShowPayload) (*status.ShowResult, error) {
	account, err := s.operator(ctx)
	if err != nil {
		return nil, err
	}
	view, err := s.current()
	if err != nil {
		return nil, err
	}
	now := s.timers.Now()
	assessed := assessor.Assessor{}.Assess(now, view)
	result := &status.ShowResult{
		VM:                   string(view.Self.VM),
		Incarnation:          uint64(view.Self.Incarnation),
		State:                string(view.Self.State),
		Draining:             view.Draining,
		LeaseMs:              max(0, view.LeaseUntil.Sub(now).Milliseconds()),
		ConfigurationVersion: uint64(view.Configuration.Version),
		ConfigurationPlan:    string(view.Configuration.Plan),
		ConfigurationFresh:   now.Before(view.ConfigurationUntil),
		ConfigurationAgeMs:   max(0, now.Sub(view.ConfigurationAsOf).Milliseconds()),
		Shards:               len(view.Assignment.Owners),
		ShardsOwned:          len(view.Assignment.OwnedBy(view.Self.VM, view.Self.Incarnation)),
		ShardsServing:        view.Serving,
		ShardsWithoutOwner:   assessed.Orphans,
		VmsLive:              assessed.Live,
		VmsLeaving:           assessed.Departing,
		VmsLapsed:            assessed.Lapsed,
		Upstreams:            len(view.Configuration.Upstreams),
		Healthy:              assessed.Healthy,
		PlatformReachable:    assessed.PlatformReachable,
		OutcomesUnknown:      len(view.Unknown),
		Problems:             []*status.Finding{},
		Notes:                []*status.Finding{},
		UnknownCalls:         unknownCalls(view, account.Team),
		OpenOrders:           []*status.OpenOrder{},
	}
	for _, load := range view.UpstreamLoads {
		if load.Usable {
			result.UpstreamsUsable++
		}
	}
	for _, f := range assessed.Findings {
		found := &status.Finding{Kind: string(f.Kind), Text: f.Text, NextStep: f.Next}
		if f.Note {
			result.Notes = append(result.Notes, found)
		} else {
			result.Problems = append(result.Problems, found)
		}
	}
	for _, o := range view.OpenOrders {
		result.OpenOrders = append(result.OpenOrders, &status.OpenOrder{Upstream: string(o.Upstream), Kind: string(o.Kind), Name: o.Name})
	}
	return result, nil
}

// unknownCalls lists the calls of a team; operators do not see the programs of
// other teams.
func unknownCalls(view *snapshot.Snapshot, team ident.TeamID) []*status.UnknownCall {
	calls := []*status.UnknownCall{}
	for _, call := range view.Unknown {
		if call.Team == team && len(calls) < maxUnknown {
			calls = append(calls, &status.UnknownCall{Program: string(call.Program), CallID: string(call.Call)})
		}
	}
	return calls
}

// Upstreams returns the configured upstreams and this node's use of them.
func (s *statusService) Upstreams(ctx context.Context, _ *status.UpstreamsPayload) ([]*status.Upstream, error) {
	if _, err := s.operator(ctx); err != nil {
		return nil, err
	}
	view, err := s.current()
	if err != nil {
		return nil, err
	}
	loads := make(map[ident.UpstreamID]snapshot.UpstreamLoad, len(view.UpstreamLoads))
	for _, load := range view.UpstreamLoads {
		loads[load.Upstream] = load
	}
	result := make([]*status.Upstream, 0, len(view.Configuration.Upstreams))
	for _, u := range view.Configuration.Upstreams {
		load := loads[u.ID]
		result = append(result, &status.Upstream{
			Upstream: string(u.ID),
			Pool:     string(u.Pool),
			Team:     string(u.Team),
			Address:  u.Address,
			Region:   string(u.Region),
			Domain:   string(u.Domain),
			Slots:    u.Slots,
			Drain:    u.Drain,
			Leaving:  slices.Contains(view.Leaving, u.ID),
			Usable:   load.Usable,
			Reason:   string(load.Reason),
			InFlight: load.InFlight,
			Limit:    load.Limit,
		})
	}
	return result, nil
}

// Vms returns the entry VMs and the number of shards that each owns.
func (s *statusService) Vms(ctx context.Context, _ *status.VmsPayload) ([]*status.VM, error) {
	if _, err := s.operator(ctx); err != nil {
		return nil, err
	}
	view, err := s.current()
	if err != nil {
		return nil, err
	}
	result := []*status.VM{}
	for _, node := range nodes(view) {
		result = append(result, &status.VM{
			VM:          string(node.VM),
			State:       string(node.State),
			Incarnation: uint64(node.Incarnation),
			Address:     node.CallerAddress,
			Region:      string(node.Region),
			Domain:      string(node.Domain),
			Shards:      len(view.Assignment.OwnedBy(node.VM, node.Incarnation)),
		})
	}
	return result, nil
}
