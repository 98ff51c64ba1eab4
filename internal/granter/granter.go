// Package granter selects the escrow that grants a turn.
//
// All turns of a program in a failure domain are granted by one home VM, chosen
// by a hash of the program, so that they share one budget reservation. If the
// home VM does not respond, this VM grants the turn from a reservation of its
// own. VMs that disagree about the home VM only cause an additional reservation.
// A home VM that responds but is waiting for the store is asked again. A second
// reservation would change the same budget row and add load to a store that is
// already slow.
package granter

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/backoff"
	"github.com/sassafrasspur/sassafrasspur/internal/escrow"
	"github.com/sassafrasspur/sassafrasspur/internal/failure"
	"github.com/sassafrasspur/sassafrasspur/internal/partitioner"
	"github.com/sassafrasspur/sassafrasspur/internal/snapshot"
	"github.com/sassafrasspur/sassafrasspur/internal/timer"
	"github.com/sassafrasspur/sassafrasspur/internal/upstream"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

// Peers requests grants from other VMs.
type Peers interface {
	// Take requests a grant from a VM and waits for 250 ms at most. The error is of
	// type *failure.Error if the VM refused the turn, and of another type if it did
	// not respond in time.
	Take(ctx context.Context, address string, r escrow.Request) (escrow.Grant, error)
	Return(address string, g escrow.Grant, used unit.Tokens)
}

// peerTimeout bounds the retries at a home VM that is waiting for the store.
const peerTimeout = escrow.DefaultTimeout

// maxPeerPause bounds the mean pause between requests to a home VM that is waiting
// for the store. They cost the store nothing.
const maxPeerPause = 40 * time.Millisecond

// Local grants turns from the reservations of this VM. Errors are refusals.
type Local interface {
	Take(ctx context.Context, r escrow.Request) (escrow.Grant, error)
	Return(g escrow.Grant, used unit.Tokens)
}

// Granter grants turns.
type Granter struct {
	self    ident.VMID
	local   Local
	peers   Peers
	timers  *timer.Service
	members func() []snapshot.Member
}

// New returns the granter of a VM. members returns the members that serve
// callers.
func New(self ident.VMID, local Local, peers Peers, timers *timer.Service, members func() []snapshot.Member) *Granter {
	return &Granter{self: self, local: local, peers: peers, timers: timers, members: members}
}

// Grant permits one turn.
type Grant struct {
	// Return ends the grant, given the number of tokens that the caller received and the
	// engine that served the turn, zero if none did.
	Return func(used unit.Tokens, served upstream.Process)
	// Engine is the engine that served the program before, zero if the holder of the
	// budget remembers none.
	Engine upstream.Process
	// Holder is the VM whose budget reservation the turn uses.
	Holder ident.VMID
}

// Take grants a turn. An error is a refusal: the turn did not run.
func (g *Granter) Take(ctx context.Context, domain ident.Domain, r escrow.Request) (Grant, error) {
	if home, ok := g.homeMember(domain, r.Program); ok && home.VM != g.self {
		grant, err := g.takeFromPeer(ctx, home.PeerAddress, r)
		if err == nil {
			return newGrant(home.VM, grant, func(returned escrow.Grant, used unit.Tokens) {
				g.peers.Return(home.PeerAddress, returned, used)
			}), nil
		}
		if refusal, ok := errors.AsType[*failure.Error](err); ok {
			return Grant{}, refusal
		}
	}
	grant, err := g.local.Take(ctx, r)
	if err != nil {
		return Grant{}, err
	}
	return newGrant(g.self, grant, g.local.Return), nil
}

// newGrant returns the grant of a holder, which takes it back with the engine that served
// the turn.
func newGrant(holder ident.VMID, grant escrow.Grant, takeBack func(escrow.Grant, unit.Tokens)) Grant {
	return Grant{Holder: holder, Engine: grant.Engine, Return: func(used unit.Tokens, served upstream.Process) {
		grant.Engine = served
		takeBack(grant, used)
	}}
}

// takeFromPeer requests a grant from another VM, and retries while that VM is
// waiting for the store.
func (g *Granter) takeFromPeer(ctx context.Context, address string, r escrow.Request) (escrow.Grant, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	retries := backoff.New(g.timers, backoff.WithMaxPause(maxPeerPause))
	for {
		grant, err := g.peers.Take(ctx, address, r)
		if !failure.Is(err, failure.PlatformUnavailable) || !retries.Wait(ctx) {
			return grant, err
		}
	}
}

// homeMember returns the member of a failure domain that grants the turns of a
// program.
func (g *Granter) homeMember(domain ident.Domain, program ident.ProgramID) (snapshot.Member, bool) {
	byVM := map[ident.VMID]snapshot.Member{}
	var vms []ident.VMID
	for _, m := range g.members() {
		if m.Domain == domain && m.PeerAddress != "" {
			byVM[m.VM] = m
			vms = append(vms, m.VM)
		}
	}
	home, ok := partitioner.Owner(string(program), vms)
	return byVM[home], ok
}
