// Package configurer keeps the node's copy of the configuration.
//
// The copy only ever moves to a higher version. It is fresh as long as the
// node, or a peer that holds the same version, has recently read the platform
// and found this version; a node whose copy is not fresh can't know that it is
// current and takes no new work. Nor does a node that has not read the platform
// itself since its start.
package configurer

import (
	"time"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/cluster"
	"github.com/sassafrasspur/sassafrasspur/internal/configuration"
	"github.com/sassafrasspur/sassafrasspur/internal/effect"
	"github.com/sassafrasspur/sassafrasspur/internal/message"
	"github.com/sassafrasspur/sassafrasspur/internal/snapshot"
)

// Configurer is the controller of the configuration.
type Configurer struct {
	limit    time.Duration
	interval time.Duration
	fanout   int

	current *configuration.Configuration
	// asOf is the latest time at which the current version is known to have
	// been the newest.
	asOf time.Time
	// heard is the highest version that a peer reported.
	heard ident.Version
	// confirmed is true from the first own read that succeeded. Before, a peer's
	// copy may be older than the one that this VM had before a restart.
	confirmed bool
	reading   bool
	nextAt    time.Time
	self      ident.VMID
	peers     []cluster.Node
	turn      int
}

// Option changes how New builds a Configurer.
type Option func(*Configurer)

// WithFreshness sets the age beyond which the copy is not fresh, and the
// interval at which the platform is read and peers are asked.
func WithFreshness(limit, interval time.Duration) Option {
	return func(c *Configurer) { c.limit, c.interval = limit, interval }
}

// WithFanout sets the number of peers that are asked at each interval.
func WithFanout(fanout int) Option {
	return func(c *Configurer) { c.fanout = fanout }
}

// New returns the configurer of the node self.
func New(self ident.VMID, options ...Option) *Configurer {
	c := &Configurer{limit: 5 * time.Second, interval: time.Second, fanout: 2, self: self}
	for _, option := range options {
		option(c)
	}
	return c
}

// Handle takes part in the control loop.
func (c *Configurer) Handle(now time.Time, m message.Message) []effect.Effect {
	switch m := m.(type) {
	case message.Started, message.Tick:
		return c.refresh(now)
	case message.ConfigurationRead:
		return c.read(m)
	case message.PeerHeard:
		return c.hear(m)
	case message.ClusterRead:
		c.meet(m.Nodes)
	}
	return nil
}

// Describe adds the configuration and its freshness to a snapshot.
func (c *Configurer) Describe(s *snapshot.Snapshot) {
	s.Configuration = c.current
	s.ConfigurationAsOf = c.asOf
	if c.confirmed && c.heard <= c.current.Version {
		s.ConfigurationUntil = c.asOf.Add(c.limit)
	}
}

func (c *Configurer) refresh(now time.Time) []effect.Effect {
	if now.Before(c.nextAt) {
		return []effect.Effect{effect.WakeAt{Time: c.nextAt}}
	}
	c.nextAt = now.Add(c.interval)
	effects := []effect.Effect{effect.WakeAt{Time: c.nextAt}}
	effects = append(effects, c.ask()...)
	return append(effects, c.startRead()...)
}

func (c *Configurer) startRead() []effect.Effect {
	if c.reading {
		return nil
	}
	c.reading = true
	return []effect.Effect{effect.ReadConfiguration{}}
}

// ask gossips with the next peers in turn, so that each peer is asked once in
// every round.
func (c *Configurer) ask() []effect.Effect {
	var effects []effect.Effect
	for range min(c.fanout, len(c.peers)) {
		peer := c.peers[c.turn%len(c.peers)]
		c.turn++
		effects = append(effects, effect.Gossip{VM: peer.VM, Address: peer.PeerAddress})
	}
	return effects
}

func (c *Configurer) meet(nodes []cluster.Node) {
	c.peers = c.peers[:0:0]
	for _, node := range nodes {
		if node.VM != c.self && node.State != cluster.Closed {
			c.peers = append(c.peers, node)
		}
	}
}

func (c *Configurer) read(m message.ConfigurationRead) []effect.Effect {
	c.reading = false
	if m.Err != nil || m.Configuration == nil {
		return nil
	}
	c.confirmed = true
	return append(c.apply(m.Configuration, m.StartedAt), effect.Publish{})
}

func (c *Configurer) hear(m message.PeerHeard) []effect.Effect {
	asOf := m.At.Add(-m.Age)
	if m.Configuration != nil {
		return c.apply(m.Configuration, asOf)
	}
	c.heard = max(c.heard, m.Version)
	if c.current == nil || m.Version > c.current.Version {
		return append(c.startRead(), effect.Publish{})
	}
	if m.Version == c.current.Version && asOf.After(c.asOf) {
		c.asOf = asOf
		return []effect.Effect{effect.Publish{}}
	}
	return nil
}

// apply takes a version over if it is higher, and notes that it is current if
// it is the same. A lower one is an answer that was overtaken.
func (c *Configurer) apply(next *configuration.Configuration, asOf time.Time) []effect.Effect {
	switch {
	case c.current == nil || next.Version > c.current.Version:
		c.current, c.asOf = next, asOf
	case next.Version == c.current.Version:
		if asOf.After(c.asOf) {
			c.asOf = asOf
		}
	default:
		return nil
	}
	return []effect.Effect{effect.Publish{}}
}
