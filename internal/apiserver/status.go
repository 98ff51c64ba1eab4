package apiserver

import (
	"context"
	"slices"
	"time"

	"github.com/sassafrasspur/sassafrasspur/gen/addresses"
	"github.com/sassafrasspur/sassafrasspur/gen/status"
	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/addresser"
	"github.com/sassafrasspur/sassafrasspur/internal/diagnoser"
	"github.com/sassafrasspur/sassafrasspur/internal/failure"
	"github.com/sassafrasspur/sassafrasspur/internal/snapshot"
)

type addressService struct{ *Apiserver }

// List returns the addresses that an account should use.
func (s *addressService) List(ctx context.Context, p *addresses.ListPayload) (*addresses.ListResult, error) {
	account, err := s.account(ctx)
	if err != nil {
		return nil, err
	}
	id := account.ID
	if p.Account != nil && *p.Account != "" {
		id = ident.AccountID(*p.Account)
	}
	current := s.snapshots()
	if current == nil {
		current = &snapshot.Snapshot{}
	}
	chosen := s.addresser.Choose(addresser.Request{
		Account: id,
		Now:     s.timers.Now(),
		Region:  s.self.Region,
		Domain:  s.self.Domain,
		Members: current.Entry.Members,
		Free:    s.freeCapacity(),
	})
	if len(chosen) == 0 {
		return nil, toProblem(failure.Refusal(failure.ShuttingDown, startupRetryDelay, "this VM knows no live entry VM; ask another entry VM"))
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

type statusService struct{ *Apiserver }

// maxUnknownCalls bounds the calls with unknown outcome in one response.
const maxUnknownCalls = 100

// Show returns the state of the system as this VM sees it.
func (s *statusService) Show(ctx context.Context, _ *status.ShowPayload) (*status.ShowResult, error) {
	account, err := s.operator(ctx)
	if err != nil {
		return nil, err
	}
	current, err := s.currentSnapshot()
	if err != nil {
		return nil, err
	}
	now := s.timers.Now()
	diagnosis := diagnoser.Diagnoser{}.Diagnose(now, current)
	result := &status.ShowResult{
		VM:                   string(s.self.VM),
		State:                vmState(current.Entry.Leaving),
		ConfigurationVersion: uint64(current.Configuration.Version),
		ConfigurationPlan:    string(current.Configuration.Plan),
		ConfigurationFresh:   now.Before(current.ConfigurationFreshUntil),
		ConfigurationAgeMs:   max(0, now.Sub(current.ConfigurationAsOf).Milliseconds()),
		VmsLive:              diagnosis.Live,
		VmsLeaving:           diagnosis.Leaving,
		Upstreams:            len(current.Configuration.Upstreams),
		Healthy:              diagnosis.Healthy,
		PlatformReachable:    diagnosis.PlatformReachable,
		OutcomesUnknown:      len(current.UnknownCalls),
		Problems:             []*status.Finding{},
		Notes:                []*status.Finding{},
		UnknownCalls:         unknownCalls(current, account.Team),
		OpenOrders:           []*status.OpenOrder{},
	}
	for _, load := range current.UpstreamLoads {
		if load.Usable {
			result.UpstreamsUsable++
		}
	}
	for _, f := range diagnosis.Findings {
		found := &status.Finding{Kind: string(f.Kind), Text: f.Text, NextStep: f.Next}
		if f.Note {
			result.Notes = append(result.Notes, found)
		} else {
			result.Problems = append(result.Problems, found)
		}
	}
	for _, o := range current.OpenOrders {
		result.OpenOrders = append(result.OpenOrders, &status.OpenOrder{Upstream: string(o.Upstream), Kind: string(o.Kind), Name: o.Name})
	}
	return result, nil
}

// unknownCalls returns the calls of a team whose outcome is unknown. Operators do
// not see the programs of other teams.
func unknownCalls(current *snapshot.Snapshot, team ident.TeamID) []*status.UnknownCall {
	calls := []*status.UnknownCall{}
	for _, call := range current.UnknownCalls {
		if call.Team == team && len(calls) < maxUnknownCalls {
			calls = append(calls, &status.UnknownCall{Program: string(call.Program), CallID: string(call.Call)})
		}
	}
	return calls
}

// Upstreams returns the configured upstreams and this VM's load on them.
func (s *statusService) Upstreams(ctx context.Context, _ *status.UpstreamsPayload) ([]*status.Upstream, error) {
	if _, err := s.operator(ctx); err != nil {
		return nil, err
	}
	current, err := s.currentSnapshot()
	if err != nil {
		return nil, err
	}
	loads := make(map[ident.UpstreamID]snapshot.UpstreamLoad, len(current.UpstreamLoads))
	for _, load := range current.UpstreamLoads {
		loads[load.Upstream] = load
	}
	result := make([]*status.Upstream, 0, len(current.Configuration.Upstreams))
	for _, u := range current.Configuration.Upstreams {
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
			Leaving:  slices.Contains(current.LeavingUpstreams, u.ID),
			Usable:   load.Usable,
			Reason:   string(load.Reason),
			InFlight: load.InFlight,
			Limit:    load.Limit,
		})
	}
	return result, nil
}

// Vms returns the entry VMs whose process is running.
func (s *statusService) Vms(ctx context.Context, _ *status.VmsPayload) ([]*status.VM, error) {
	if _, err := s.operator(ctx); err != nil {
		return nil, err
	}
	current, err := s.currentSnapshot()
	if err != nil {
		return nil, err
	}
	result := []*status.VM{}
	for _, m := range current.Entry.Present {
		result = append(result, &status.VM{
			VM:      string(m.VM),
			State:   vmState(m.Leaving),
			Address: m.Address,
			Region:  string(m.Region),
			Domain:  string(m.Domain),
		})
	}
	return result, nil
}

// vmState returns the state of a VM in the API.
func vmState(leaving bool) string {
	if leaving {
		return "leaving"
	}
	return "live"
}
