// Package granter finds the escrow that grants a turn.
//
// The turns of a program meet at one VM of the failure domain, chosen by a hash
// of the program, so that one part of the budget serves all of them. If that VM
// does not answer, this VM grants the turn from a part of its own. VMs that
// disagree about the choice cost a part more and nothing else.
package granter

import (
	"context"
	"time"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/escrow"
	"github.com/sassafrasspur/sassafrasspur/internal/failure"
	"github.com/sassafrasspur/sassafrasspur/internal/sharer"
	"github.com/sassafrasspur/sassafrasspur/internal/snapshot"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

// Peers asks other VMs.
type Peers interface {
	// Take asks a VM for a grant. The error is of type *failure.Error if the VM
	// refused the turn, and of another type if it did not answer in time.
	Take(ctx context.Context, address string, r escrow.Request) (escrow.Grant, error)
	Return(address string, g escrow.Grant, used unit.Tokens)
}

// peerLimit bounds the wait for another VM of the failure domain, which is
// 0.1 ms away and asks the store once, 4 ms away.
const peerLimit = 250 * time.Millisecond

// Granter grants turns.
type Granter struct {
	self  ident.VMID
	own   *escrow.Escrow
	peers Peers
	view  func() []snapshot.Member
}

// New returns a granter of a VM. The view has the members that serve callers.
func New(self ident.VMID, own *escrow.Escrow, peers Peers, view func() []snapshot.Member) *Granter {
	return &Granter{self: self, own: own, peers: peers, view: view}
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
		asking, cancel := context.WithTimeout(ctx, peerLimit)
		grant, err := g.peers.Take(asking, home.PeerAddress, r)
		cancel()
		if err == nil {
			return Grant{Holder: home.VM, Return: func(used unit.Tokens) { g.peers.Return(home.PeerAddress, grant, used) }}, nil
		}
		if failure.Is(err, failure.BudgetExhausted) {
			return Grant{}, err
		}
	}
	grant, err := g.own.Take(ctx, r)
	if err != nil {
		return Grant{}, err
	}
	return Grant{Holder: g.self, Return: func(used unit.Tokens) { g.own.Return(grant, used) }}, nil
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
