// Package performer carries out the effects that need I/O.
//
// Each effect runs in a goroutine of its own and reports its result as a
// message. The controllers bound the effects that are under way: there is one
// commit, one read of the cluster and one read of the configuration at a time,
// and one probe for each upstream.
package performer

import (
	"context"
	"encoding/json"
	"time"

	"github.com/juju/errors"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/configuration"
	"github.com/sassafrasspur/sassafrasspur/internal/effect"
	"github.com/sassafrasspur/sassafrasspur/internal/message"
	"github.com/sassafrasspur/sassafrasspur/internal/peer/news"
	"github.com/sassafrasspur/sassafrasspur/internal/table"
	"github.com/sassafrasspur/sassafrasspur/internal/timer"
)

// Journal keeps the rows and objects of the platform.
type Journal interface {
	Join(ctx context.Context, e effect.Join) message.JoinDone
	Commit(ctx context.Context, e effect.Commit) message.CommitDone
	Move(ctx context.Context, e effect.MoveShards) message.MoveDone
	Load(ctx context.Context, e effect.LoadShard) message.ShardLoaded
	ReadCluster(ctx context.Context) message.Message
}

// Rows reads single rows of the platform's table.
type Rows interface {
	Get(ctx context.Context, kind, key string) (table.Row, bool, error)
}

// Lister reads the platform's list of upstreams.
type Lister interface {
	List(ctx context.Context) ([]message.UpstreamState, error)
}

// Prober asks upstreams about themselves and gives them orders.
type Prober interface {
	ReadLoad(ctx context.Context, e effect.ReadLoad) message.UpstreamReported
	ReadCache(ctx context.Context, e effect.ReadCache) message.CacheRead
	Release(ctx context.Context, e effect.Release) message.ReleaseDone
	LookUp(ctx context.Context, e effect.LookUp) message.LookedUp
	Order(ctx context.Context, e effect.Order) message.OrderDone
}

// Gossiper exchanges news with another entry VM.
type Gossiper interface {
	Gossip(ctx context.Context, address string, own news.News) (news.News, error)
}

// Performer carries out effects.
type Performer struct {
	journal  Journal
	rows     Rows
	lister   Lister
	prober   Prober
	gossiper Gossiper
	news     func() news.News
	cancel   func(ident.Grant)
	timers   *timer.Service
	limit    time.Duration
}

// Option changes how New builds a Performer.
type Option func(*Performer)

// WithPlatform sets the clients of the platform.
func WithPlatform(j Journal, r Rows, l Lister) Option {
	return func(p *Performer) { p.journal, p.rows, p.lister = j, r, l }
}

// WithProber sets the client of upstreams.
func WithProber(u Prober) Option {
	return func(p *Performer) { p.prober = u }
}

// WithGossiper sets the client of other entry VMs and the source of the node's
// own news.
func WithGossiper(g Gossiper, own func() news.News) Option {
	return func(p *Performer) { p.gossiper, p.news = g, own }
}

// WithCancel sets what stops the dispatch that uses a grant.
func WithCancel(cancel func(ident.Grant)) Option {
	return func(p *Performer) { p.cancel = cancel }
}

// WithTimers sets the timer service.
func WithTimers(t *timer.Service) Option {
	return func(p *Performer) { p.timers = t }
}

// WithLimit sets the longest time that one effect may take.
func WithLimit(limit time.Duration) Option {
	return func(p *Performer) { p.limit = limit }
}

// New returns a performer.
func New(options ...Option) *Performer {
	p := &Performer{timers: timer.New(), limit: 30 * time.Second, cancel: func(ident.Grant) {}}
	for _, option := range options {
		option(p)
	}
	return p
}

// Perform starts an effect and returns at once. Its result is posted.
func (p *Performer) Perform(e effect.Effect, post func(message.Message)) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), p.limit)
		defer cancel()
		if m := p.perform(ctx, e); m != nil {
			post(m)
		}
	}()
}

func (p *Performer) perform(ctx context.Context, e effect.Effect) message.Message {
	switch e := e.(type) {
	case effect.Join:
		return p.journal.Join(ctx, e)
	case effect.Commit:
		return p.journal.Commit(ctx, e)
	case effect.MoveShards:
		return p.journal.Move(ctx, e)
	case effect.LoadShard:
		return p.journal.Load(ctx, e)
	case effect.ReadCluster:
		return p.journal.ReadCluster(ctx)
	case effect.ReadConfiguration:
		return p.readConfiguration(ctx)
	case effect.CancelGrant:
		p.cancel(e.Grant)
	case effect.Gossip:
		return p.gossip(ctx, e)
	case effect.ListUpstreams:
		return p.list(ctx)
	case effect.ReadLoad:
		return p.prober.ReadLoad(ctx, e)
	case effect.ReadCache:
		return p.prober.ReadCache(ctx, e)
	case effect.Release:
		return p.prober.Release(ctx, e)
	case effect.LookUp:
		return p.prober.LookUp(ctx, e)
	case effect.Order:
		return p.prober.Order(ctx, e)
	}
	return nil
}

func (p *Performer) readConfiguration(ctx context.Context) message.ConfigurationRead {
	read := message.ConfigurationRead{StartedAt: p.timers.Now()}
	row, ok, err := p.rows.Get(ctx, table.ConfigurationKind, table.CurrentKey)
	if err != nil {
		read.Err = errors.Annotate(err, "configuration")
		return read
	}
	current := &configuration.Configuration{}
	if ok {
		if err := json.Unmarshal(row.Body, current); err != nil {
			read.Err = errors.Annotate(err, "configuration")
			return read
		}
		current.Version = row.Version
	}
	read.Configuration = current
	return read
}

func (p *Performer) gossip(ctx context.Context, e effect.Gossip) message.Message {
	asked := p.timers.Now()
	heard, err := p.gossiper.Gossip(ctx, e.Address, p.news())
	if err != nil {
		return nil
	}
	return message.PeerHeard{
		VM:            heard.VM,
		Version:       heard.Version,
		Age:           heard.Age,
		Configuration: heard.Configuration,
		Leaving:       heard.Leaving,
		At:            asked,
	}
}

func (p *Performer) list(ctx context.Context) message.UpstreamsListed {
	listed := message.UpstreamsListed{StartedAt: p.timers.Now()}
	listed.States, listed.Err = p.lister.List(ctx)
	return listed
}
