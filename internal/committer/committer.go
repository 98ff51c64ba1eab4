// Package committer makes records durable in groups.
//
// One conditional write on the node's row is the commit of a group, the
// renewal of the lease and the fencing check. While a write is under way,
// further records wait for the next one. A group whose result is uncertain is
// written again with the same write id until the result is known.
package committer

import (
	"fmt"
	"time"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/cluster"
	"github.com/sassafrasspur/sassafrasspur/internal/effect"
	"github.com/sassafrasspur/sassafrasspur/internal/message"
	"github.com/sassafrasspur/sassafrasspur/internal/snapshot"
)

// Committer is the controller of the node's journal and lease.
type Committer struct {
	lease   time.Duration
	renewal time.Duration
	spacing time.Duration
	retry   time.Duration
	process string

	joined bool
	node   cluster.Node
	// leaseUntil is timed from before the write that set it was sent.
	leaseUntil time.Time
	lastStart  time.Time
	writes     uint64
	queue      []message.Append
	inFlight   *group
	// announce is true while a change of the node's state is not yet written.
	announce bool
	// announced is true once the row says that the node is leaving.
	announced bool
}

// group is one write that is under way.
type group struct {
	commit  effect.Commit
	tokens  []message.Token
	sentAt  time.Time
	retryAt time.Time
}

// Option changes how New builds a Committer.
type Option func(*Committer)

// WithLease sets the time for which a write extends the lease, and the
// interval at which the lease is renewed if there is nothing to commit.
func WithLease(lease, renewal time.Duration) Option {
	return func(c *Committer) { c.lease, c.renewal = lease, renewal }
}

// WithSpacing sets the least time between the starts of two commits, which
// bounds the node's rate of writes to the platform.
func WithSpacing(spacing time.Duration) Option {
	return func(c *Committer) { c.spacing = spacing }
}

// WithProcess sets the id of this process, which makes its write ids unique.
func WithProcess(process string) Option {
	return func(c *Committer) { c.process = process }
}

// New returns a committer that waits for message.Joined.
func New(options ...Option) *Committer {
	c := &Committer{
		lease:   6 * time.Second,
		renewal: 2 * time.Second,
		spacing: 100 * time.Millisecond,
		retry:   200 * time.Millisecond,
	}
	for _, option := range options {
		option(c)
	}
	return c
}

// Handle takes part in the control loop.
func (c *Committer) Handle(now time.Time, m message.Message) []effect.Effect {
	switch m := m.(type) {
	case message.Joined:
		return c.join(now, m)
	case message.Append:
		return c.append(now, m)
	case message.CommitDone:
		return c.finish(now, m)
	case message.ShutdownRequested:
		c.node.State = cluster.Leaving
		c.announce = true
		return c.next(now)
	case message.Tick:
		return c.next(now)
	}
	return nil
}

// Describe adds the node's row and lease to a snapshot.
func (c *Committer) Describe(s *snapshot.Snapshot) {
	s.Self = c.node
	s.LeaseUntil = c.leaseUntil
	s.Draining = c.node.State == cluster.Leaving
	s.LeavingAnnounced = c.announced
}

func (c *Committer) join(now time.Time, m message.Joined) []effect.Effect {
	leaving := c.node.State == cluster.Leaving
	c.joined, c.node = true, m.Node
	c.announced = m.Node.State == cluster.Leaving
	if leaving {
		c.node.State, c.announce = cluster.Leaving, true
	}
	c.lastStart = m.SentAt
	return append(c.extend(m.SentAt), c.next(now)...)
}

func (c *Committer) append(now time.Time, m message.Append) []effect.Effect {
	if !c.joined {
		return nil
	}
	c.queue = append(c.queue, m)
	return c.next(now)
}

// next starts the next write if one is due, or asks to be woken when it is.
func (c *Committer) next(now time.Time) []effect.Effect {
	if !c.joined {
		return nil
	}
	if c.inFlight != nil {
		return c.again(now)
	}
	due := c.lastStart.Add(c.renewal)
	if len(c.queue) > 0 || c.announce {
		due = c.lastStart.Add(c.spacing)
	}
	if now.Before(due) {
		return []effect.Effect{effect.WakeAt{Time: due}}
	}
	return []effect.Effect{c.start(now)}
}

func (c *Committer) start(now time.Time) effect.Effect {
	c.writes++
	node := c.node
	node.WriteID = ident.WriteID(fmt.Sprintf("%s-%d", c.process, c.writes))
	commit := effect.Commit{Node: node}
	g := &group{sentAt: now}
	for _, a := range c.queue {
		commit.Entries = append(commit.Entries, a.Entries...)
		if a.Checkpoint != nil {
			commit.Checkpoints = append(commit.Checkpoints, *a.Checkpoint)
		}
		g.tokens = append(g.tokens, a.Token)
	}
	if len(commit.Entries) > 0 {
		commit.Node.Head++
	}
	g.commit = commit
	c.queue, c.inFlight, c.lastStart, c.announce = nil, g, now, false
	return commit
}

// again repeats a write whose result is uncertain.
func (c *Committer) again(now time.Time) []effect.Effect {
	g := c.inFlight
	if g.retryAt.IsZero() {
		return nil
	}
	if now.Before(g.retryAt) {
		return []effect.Effect{effect.WakeAt{Time: g.retryAt}}
	}
	g.retryAt = time.Time{}
	return []effect.Effect{g.commit}
}

func (c *Committer) finish(now time.Time, m message.CommitDone) []effect.Effect {
	g := c.inFlight
	if g == nil || m.WriteID != g.commit.Node.WriteID {
		return nil
	}
	switch m.Verdict {
	case message.Committed:
		return c.committed(now)
	case message.Uncertain:
		g.retryAt = now.Add(c.retry)
		return []effect.Effect{effect.WakeAt{Time: g.retryAt}}
	case message.Conflict:
		return c.fenced()
	}
	return nil
}

func (c *Committer) committed(now time.Time) []effect.Effect {
	g := c.inFlight
	c.inFlight = nil
	state := c.node.State
	c.node = g.commit.Node
	c.node.State = state
	c.node.Version++
	c.announced = g.commit.Node.State == cluster.Leaving
	var effects []effect.Effect
	// An answer that comes after the deadline extends nothing, unless the write
	// was sent after the lease had lapsed.
	if !now.After(c.leaseUntil) || g.sentAt.After(c.leaseUntil) {
		effects = append(effects, c.extend(g.sentAt)...)
	} else {
		c.announce = true
	}
	effects = append(effects, effect.Send{Message: message.Durable{Tokens: g.tokens, Head: c.node.Head}})
	return append(effects, c.next(now)...)
}

func (c *Committer) fenced() []effect.Effect {
	c.joined, c.inFlight, c.queue = false, nil, nil
	c.leaseUntil = time.Time{}
	return []effect.Effect{
		effect.Send{Message: message.LeaseChanged{}},
		effect.Send{Message: message.Fenced{}},
		effect.Publish{},
	}
}

func (c *Committer) extend(sentAt time.Time) []effect.Effect {
	c.leaseUntil = sentAt.Add(c.lease)
	return []effect.Effect{
		effect.Send{Message: message.LeaseChanged{Until: c.leaseUntil}},
		effect.Publish{},
	}
}
