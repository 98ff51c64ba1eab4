package placer

import (
	"math/rand/v2"
	"time"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/configuration"
	"github.com/sassafrasspur/sassafrasspur/internal/effect"
	"github.com/sassafrasspur/sassafrasspur/internal/lender"
	"github.com/sassafrasspur/sassafrasspur/internal/limiter"
	"github.com/sassafrasspur/sassafrasspur/internal/message"
	"github.com/sassafrasspur/sassafrasspur/internal/ranker"
	"github.com/sassafrasspur/sassafrasspur/internal/router"
	"github.com/sassafrasspur/sassafrasspur/internal/snapshot"
)

const (
	defaultReportInterval = time.Second
	// defaultViewLimit is the time after which a leaving upstream gets no new
	// work, even from a node that is cut off from everything else.
	defaultViewLimit = 5 * time.Second
	// defaultQueueLimit is below the 5 s after which a caller's configuration
	// would be stale in an outage.
	defaultQueueLimit = 4 * time.Second
)

// Placer is the controller that grants the use of upstreams.
type Placer struct {
	policy         router.Policy
	region         ident.Region
	self           ident.VMID
	seed           uint64
	reportInterval time.Duration
	viewLimit      time.Duration
	queueLimit     time.Duration

	random  *rand.Rand
	router  router.Router
	ranker  ranker.Ranker
	limiter limiter.Limiter
	lender  lender.Lender

	configuration *configuration.Configuration
	upstreams     map[ident.UpstreamID]*upstream
	// pools holds the upstreams of each pool in the order of the configuration.
	pools  map[ident.PoolID][]*upstream
	queues map[ident.PoolID]*queue

	grants   map[ident.Grant]*grant
	tickets  map[ident.Ticket]*grant
	last     ident.Grant
	arrivals uint64
	turn     uint64
	budgets  map[budgetKey]limiter.Budget
	members  members
	// offers is the memory of the last search for candidates.
	offers offers

	nextRead time.Time
	wake     time.Time
}

type budgetKey struct {
	upstream ident.UpstreamID
	team     ident.TeamID
}

// Option changes how New builds a Placer.
type Option func(*Placer)

// WithPolicy sets the routing policy; router.Product is the default.
func WithPolicy(p router.Policy) Option { return func(c *Placer) { c.policy = p } }

// WithRegion sets the node's own region.
func WithRegion(r ident.Region) Option { return func(c *Placer) { c.region = r } }

// WithVM sets the node's own VM id.
func WithVM(vm ident.VMID) Option { return func(c *Placer) { c.self = vm } }

// WithSeed sets the seed of the random numbers that decisions receive.
func WithSeed(seed uint64) Option { return func(c *Placer) { c.seed = seed } }

// WithReportInterval sets the time between reads of each load.
func WithReportInterval(d time.Duration) Option { return func(c *Placer) { c.reportInterval = d } }

// WithViewLimit sets the age from which a view counts as unknown.
func WithViewLimit(d time.Duration) Option { return func(c *Placer) { c.viewLimit = d } }

// WithQueueLimit sets the longest wait in a queue. Calls with a longer predicted
// wait are refused at once.
func WithQueueLimit(d time.Duration) Option { return func(c *Placer) { c.queueLimit = d } }

// New returns a placer.
func New(options ...Option) *Placer {
	c := &Placer{
		policy:         router.Product{},
		seed:           1,
		reportInterval: defaultReportInterval,
		viewLimit:      defaultViewLimit,
		queueLimit:     defaultQueueLimit,
		upstreams:      map[ident.UpstreamID]*upstream{},
		pools:          map[ident.PoolID][]*upstream{},
		queues:         map[ident.PoolID]*queue{},
		grants:         map[ident.Grant]*grant{},
		tickets:        map[ident.Ticket]*grant{},
		budgets:        map[budgetKey]limiter.Budget{},
	}
	for _, option := range options {
		option(c)
	}
	c.random = rand.New(rand.NewPCG(c.seed, 0))
	c.router = router.New(router.WithPolicy(c.policy))
	if _, ok := c.policy.(router.FirstCome); ok {
		c.ranker = ranker.New(ranker.WithPolicy(ranker.FirstCome{}))
	} else {
		c.ranker = ranker.New()
	}
	return c
}

// Handle changes the state by a message.
func (c *Placer) Handle(now time.Time, m message.Message) []effect.Effect {
	r := &round{placer: c, now: now}
	switch m := m.(type) {
	case message.Started:
		r.read()
	case message.Tick:
		// The executor forgets the other wake-ups with each tick.
		c.wake = time.Time{}
		r.read()
		r.passAll()
	case message.MembersListed:
		c.members.update(m)
		r.passAll()
	case message.ConfigurationRead:
		r.configure(m.Configuration)
	case message.UpstreamsRead:
		r.listed(m)
	case message.UpstreamReported:
		r.reported(m)
	case message.GrantRequested:
		r.request(m)
	case message.GrantReturned:
		r.returned(m)
	case message.WaitAbandoned:
		r.abandoned(m.Ticket)
	default:
		return nil
	}
	r.schedule()
	return r.effects
}

// round collects the effects of one message.
type round struct {
	placer  *Placer
	now     time.Time
	effects []effect.Effect
	// changed is true if the set of usable or leaving upstreams changed.
	changed bool
	views   []lender.Membership
}

// memberships returns the node's places among the live VMs that limit loans.
func (r *round) memberships() []lender.Membership {
	if r.views == nil {
		c := r.placer
		r.views = c.members.at(r.now, c.viewLimit, c.self)
	}
	return r.views
}

func (r *round) emit(e effect.Effect) { r.effects = append(r.effects, e) }

// schedule asks for the next tick: for a read, the end of a wait, or a reclaim.
func (r *round) schedule() {
	if r.changed {
		r.emit(effect.Publish{})
	}
	next := r.placer.nextRead
	for _, q := range r.placer.queues {
		if !q.wake.IsZero() && (next.IsZero() || q.wake.Before(next)) {
			next = q.wake
		}
	}
	if next.IsZero() || !r.placer.wake.IsZero() && !next.Before(r.placer.wake) {
		return
	}
	r.placer.wake = next
	r.emit(effect.WakeAt{Time: next})
}

// Describe fills in the upstreams that the node knows to be leaving, and its
// loads.
func (c *Placer) Describe(s *snapshot.Snapshot) {
	if c.configuration == nil {
		return
	}
	for _, u := range c.configuration.Upstreams {
		state := c.upstreams[u.ID]
		if state.leaving() {
			s.Leaving = append(s.Leaving, u.ID)
		}
		s.UpstreamLoads = append(s.UpstreamLoads, snapshot.UpstreamLoad{
			Upstream: u.ID,
			InFlight: state.inFlight,
			Limit:    state.limit.Allowed(state.bounds()),
			Usable:   state.usable(),
			Reason:   state.unusable,
		})
	}
}
