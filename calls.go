package sassafrasspur

import (
	"context"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/sassafrasspur/sassafrasspur/internal/addresser"
	"github.com/sassafrasspur/sassafrasspur/internal/bookkeeper"
	"github.com/sassafrasspur/sassafrasspur/internal/canceller"
	"github.com/sassafrasspur/sassafrasspur/internal/confirmer"
	"github.com/sassafrasspur/sassafrasspur/internal/enroller"
	"github.com/sassafrasspur/sassafrasspur/internal/front"
	"github.com/sassafrasspur/sassafrasspur/internal/message"
	"github.com/sassafrasspur/sassafrasspur/internal/record"
	"github.com/sassafrasspur/sassafrasspur/internal/roster"
	"github.com/sassafrasspur/sassafrasspur/internal/sequencer"
	"github.com/sassafrasspur/sassafrasspur/internal/snapshot"
)

// announceLimit bounds the wait for the row that says that the VM leaves.
// Without the store the other VMs can't learn of it in any case.
const announceLimit = 2 * time.Second

// calls serves the product's own interface: programs, plans, addresses, status.
type calls struct {
	roster    *roster.Roster
	programs  *bookkeeper.Bookkeeper
	canceller *canceller.Canceller
	web       *http.Server
}

// newCalls starts what keeps programs in the store.
func newCalls(ctx context.Context, n *Node) *calls {
	holder := record.Holder{VM: n.settings.VM, Process: n.process}
	c := &calls{roster: roster.New(holder, n.view, n.timers), canceller: canceller.New()}
	c.programs = bookkeeper.New(ctx, n.store, n.timers, sequencer.New(holder, c.roster.Runs),
		bookkeeper.WithUse(n.sweeper.Use), bookkeeper.WithRelease(n.release), bookkeeper.WithReport(n.report("record delayed")))
	return c
}

// release asks for the release of engine memory.
func (n *Node) release(wanted []bookkeeper.Release) {
	control := n.started.Load()
	if control == nil {
		return
	}
	for _, r := range wanted {
		control.Post(message.ReleaseWanted{Program: r.Program, Upstream: r.Upstream, Epoch: r.Epoch})
	}
}

// serve answers callers and operators.
func (c *calls) serve(n *Node) {
	s := n.settings
	chooser := addresser.New(addresser.WithRetention(s.Addresses.Retention), addresser.WithCount(s.Addresses.Count))
	identify, all := n.callChains()
	f := front.New(n.self(), all.Serve, identify.Serve, n.control.Snapshot, confirmer.New(n.store, n.timers), n.timers, chooser,
		front.WithMaxBody(s.Limits.BodyBytes), front.WithLog(n.log.Zerolog()))
	mux := http.NewServeMux()
	mux.Handle("/", f.Handler())
	mux.Handle("GET /metrics", f.Guard(n.meter.WritePrometheus))
	c.web = n.serve(n.callers, mux, 0)
}

// leave ends the interface. The node first disappears from the address answers
// and goes on serving for as long as callers may keep an old answer.
func (c *calls) leave(ctx context.Context, n *Node) error {
	if c.withdraw(ctx, n) {
		n.pause(ctx, enroller.NoticeTime(listInterval))
	}
	n.pause(ctx, n.settings.Addresses.Retention)
	ctx, cancel := context.WithTimeout(ctx, n.settings.Limits.Drain)
	defer cancel()
	if err := c.web.Shutdown(ctx); err != nil {
		return errors.Annotate(err, "callers were still served when the drain limit was over")
	}
	c.programs.Settled(ctx)
	return nil
}

// withdraw reports whether it was written that the VM leaves, so that the others
// stop giving its address to callers.
func (c *calls) withdraw(ctx context.Context, n *Node) bool {
	ctx, cancel := context.WithTimeout(ctx, announceLimit)
	defer cancel()
	if n.await(ctx, func(view snapshot.Entry) bool { return view.LeavingAnnounced }) {
		return true
	}
	n.log.Warn("the leaving state could not be written in time; other nodes may still give this address to callers")
	return false
}
