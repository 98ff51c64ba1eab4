// Package granter finds the escrow that grants a turn.
//
// The turns of a program meet at one VM of the failure domain, chosen by a hash
// of the program, so that one part of the budget serves all of them. If that VM
// does not answer, this VM grants the turn from a part of its own. VMs that
// disagree about the choice cost a part more and nothing else. A VM that answers
// and waits for the store is asked again: parts of several VMs change the same
// budget row, so that a busy store would get more work from every wait.
package granter

import (
	"context"

	"github.com/juju/errors"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/backoff"
	"github.com/sassafrasspur/sassafrasspur/internal/escrow"
	"github.com/sassafrasspur/sassafrasspur/internal/failure"
	"github.com/sassafrasspur/sassafrasspur/internal/sharer"
	"github.com/sassafrasspur/sassafrasspur/internal/snapshot"
	"github.com/sassafrasspur/sassafrasspur/internal/timer"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

// Peers asks other VMs.
type Peers interface {
	// Take asks a VM for a grant, for a quarter of a second at most. The error is of type *failure.Error if the VM
	// refused the turn, and of another type if it did not answer in time.
	Take(ctx context.Context, address string, r escrow.Request) (escrow.Grant, error)
	Return(address string, g escrow.Grant, used unit.Tokens)
}

// askLimit bounds the time in which a VM that waits for the store is asked again.
const askLimit = escrow.DefaultTimeout

// Own grants turns from parts that this VM holds. Errors are refusals.
type Own interface {
	Take(ctx context.Context, r escrow.Request) (escrow.Grant, error)
	Return(g escrow.Grant, used unit.Tokens)
}

// Granter grants turns.
type Granter struct {
	self   ident.VMID
	own    Own
	peers  Peers
	timers *timer.Service
	view   func() []snapshot.Member
}

// New returns a granter of a VM. The view has the members that serve callers.
func New(self ident.VMID, own Own, peers Peers, timers *timer.Service, view func() []snapshot.Member) *Granter {
	return &Granter{self: self, own: own, peers: peers, timers: timers, view: view}
}

// Grant is a granted turn. Return ends it with what its caller received.
type Grant struct {
	Return func(used unit.Tokens)
	// Holder is the VM whose part of the budget the turn uses.
	Holder ident.VMID
}

// Take grants a turn. Errors are refusals: the turn did not run.
func (g *Granter) Take(ctx context.Context, domain ident.Domain, r escrow.Request) (Grant, error) {
	if home, ok := g.home(domain, r.Program); ok && home.VM != g.self {
		grant, err := g.ask(ctx, home.PeerAddress, r)
		if err == nil {
			return Grant{Holder: home.VM, Return: func(used unit.Tokens) { g.peers.Return(home.PeerAddress, grant, used) }}, nil
		}
		if refusal, ok := errors.AsType[*failure.Error](err); ok {
			return Grant{}, refusal
		}
	}
	grant, err := g.own.Take(ctx, r)
	if err != nil {
		return Grant{}, err
	}
	return Grant{Holder: g.self, Return: func(used unit.Tokens) { g.own.Return(grant, used) }}, nil
}

// ask asks another VM, again while that waits for the store.
func (g *Granter) ask(ctx context.Context, address string, r escrow.Request) (escrow.Grant, error) {
	ctx, cancel := context.WithTimeout(ctx, askLimit)
	defer cancel()
	pauses := backoff.New(g.timers)
	for {
		grant, err := g.peers.Take(ctx, address, r)
		if !failure.Is(err, failure.PlatformUnavailable) || !pauses.Wait(ctx) {
			return grant, err
		}
	}
}

// home is the member of a failure domain at which the turns of a program meet.
func (g *Granter) home(domain ident.Domain, program ident.ProgramID) (snapshot.Member, bool) {
	members := map[ident.VMID]snapshot.Member{}
	var vms []ident.VMID
	for _, m := range g.view() {
		if m.Domain == domain && m.PeerAddress != "" {
			members[m.VM] = m
			vms = append(vms, m.VM)
		}
	}
	home, ok := sharer.Choose(string(program), vms)
	return members[home], ok
}
