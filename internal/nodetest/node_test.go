package nodetest

import (
	"context"
	"fmt"
	"time"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/cluster"
	"github.com/sassafrasspur/sassafrasspur/internal/committer"
	"github.com/sassafrasspur/sassafrasspur/internal/effect"
	"github.com/sassafrasspur/sassafrasspur/internal/executor"
	"github.com/sassafrasspur/sassafrasspur/internal/journaler"
	"github.com/sassafrasspur/sassafrasspur/internal/message"
	"github.com/sassafrasspur/sassafrasspur/internal/outcome"
	"github.com/sassafrasspur/sassafrasspur/internal/registrar"
	"github.com/sassafrasspur/sassafrasspur/internal/sequencer"
	"github.com/sassafrasspur/sassafrasspur/internal/snapshot"
	"github.com/sassafrasspur/sassafrasspur/internal/timer"
)

const (
	shards = 4
	lease  = 6 * time.Second
	margin = 2 * time.Second
)

// node runs the controllers of one VM's process by hand: effects wait in io
// until the test carries them out, results wait in inbox until it delivers them.
type node struct {
	vm          ident.VMID
	clock       *timer.Manual
	journal     *journaler.Journaler
	controllers []executor.Controller
	io          []effect.Effect
	inbox       []message.Message
	wake        time.Time
	answers     map[ident.Ticket]outcome.Outcome
	lastTicket  ident.Ticket
	frozen      bool
	// outside carries out the effects that concern neither journal nor rows of
	// nodes; it is nil if no controller asks for them.
	outside func(*node, effect.Effect)
}

func startNode(vm ident.VMID, process int, clock *timer.Manual, p *platform, more ...executor.Controller) *node {
	id := fmt.Sprintf("%s-%d", vm, process)
	n := &node{vm: vm, clock: clock, answers: map[ident.Ticket]outcome.Outcome{}, outside: func(*node, effect.Effect) {}}
	n.journal = journaler.New(p, objectStore{p}, timer.New(timer.WithManual(clock)))
	self := cluster.Node{VM: vm, PeerAddress: string(vm)}
	n.controllers = []executor.Controller{
		committer.New(committer.WithProcess(id), committer.WithLease(lease, 2*time.Second)),
		registrar.New(self, registrar.WithProcess(id), registrar.WithShards(shards), registrar.WithLease(lease, margin)),
		sequencer.New(sequencer.WithShards(shards), sequencer.WithCheckpointEvery(8)),
	}
	n.controllers = append(n.controllers, more...)
	return n
}

// handle gives a message and all that follows from it to the controllers, as
// the executor does.
func (n *node) handle(m message.Message) {
	queue := []message.Message{m}
	for len(queue) > 0 {
		next := queue[0]
		queue = queue[1:]
		for _, c := range n.controllers {
			for _, e := range c.Handle(n.clock.Now(), next) {
				switch e := e.(type) {
				case effect.Answer:
					n.answers[e.Ticket] = e.Outcome
				case effect.Send:
					queue = append(queue, e.Message)
				case effect.WakeAt:
					if n.wake.IsZero() || e.Time.Before(n.wake) {
						n.wake = e.Time
					}
				case effect.Publish:
				default:
					n.io = append(n.io, e)
				}
			}
		}
	}
}

// perform carries out the oldest effect; its result waits in the inbox.
func (n *node) perform() {
	ctx := context.Background()
	e := n.io[0]
	n.io = n.io[1:]
	switch e := e.(type) {
	case effect.Join:
		n.inbox = append(n.inbox, n.journal.Join(ctx, e))
	case effect.Commit:
		n.inbox = append(n.inbox, n.journal.Commit(ctx, e))
	case effect.MoveShards:
		n.inbox = append(n.inbox, n.journal.Move(ctx, e))
	case effect.LoadShard:
		n.inbox = append(n.inbox, n.journal.Load(ctx, e))
	case effect.ReadCluster:
		n.inbox = append(n.inbox, n.journal.ReadCluster(ctx))
	default:
		n.outside(n, e)
	}
}

// step does one thing that is due and reports whether there was one.
func (n *node) step() bool {
	switch {
	case n.frozen:
		return false
	case len(n.inbox) > 0:
		m := n.inbox[0]
		n.inbox = n.inbox[1:]
		n.handle(m)
	case len(n.io) > 0:
		n.perform()
	case !n.wake.IsZero() && !n.clock.Now().Before(n.wake):
		n.wake = time.Time{}
		n.handle(message.Tick{})
	default:
		return false
	}
	return true
}

// ask sends a message that waits for an answer and returns its ticket.
func (n *node) ask(build func(ident.Ticket) message.Message) ident.Ticket {
	n.lastTicket++
	n.handle(build(n.lastTicket))
	return n.lastTicket
}

// take returns the answer to a ticket once.
func (n *node) take(t ident.Ticket) outcome.Outcome {
	answer := n.answers[t]
	delete(n.answers, t)
	return answer
}

func (n *node) snapshot() *snapshot.Snapshot {
	s := &snapshot.Snapshot{}
	for _, c := range n.controllers {
		c.Describe(s)
	}
	return s
}
