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
	// defaultViewLimit bounds the time for which a leaving upstream can still get
	// new work, even from a VM that is isolated from the rest of the network.
	defaultViewLimit = 5 * time.Second
	// defaultQueueLimit is below 5 s, after which the configuration on which a
	// call was accepted would be stale in an outage.
	defaultQueueLimit = 4 * time.Second
)

// Placer is the controller that assigns calls to upstreams.
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

	grants    map[ident.Grant]*grant
	tickets   map[ident.Ticket]*grant
	lastGrant ident.Grant
	arrivals  uint64
	routed    uint64
	budgets   map[budgetKey]limiter.Budget
	members   membershipHistory
	// scratch holds the slices of the last search for candidates, for reuse.
	scratch candidateSet

	nextRead time.Time
	nextTick time.Time
}

type budgetKey struct {
	upstream ident.UpstreamID
	team     ident.TeamID
}

// Option configures a Placer.
type Option func(*Placer)

// WithPolicy sets the routing policy; router.LowestCost is the default.
func WithPolicy(p router.Policy) Option { return func(c *Placer) { c.policy = p } }

// WithRegion sets this VM's region.
func WithRegion(r ident.Region) Option { return func(c *Placer) { c.region = r } }

// WithVM sets the id of this VM.
func WithVM(vm ident.VMID) Option { return func(c *Placer) { c.self = vm } }

// WithSeed sets the seed of the random numbers that are passed to decisions.
func WithSeed(seed uint64) Option { return func(c *Placer) { c.seed = seed } }

// WithReportInterval sets the interval between reads of an upstream's load report.
func WithReportInterval(d time.Duration) Option { return func(c *Placer) { c.reportInterval = d } }

// WithViewLimit sets the age above which a view of an upstream is not used.
func WithViewLimit(d time.Duration) Option { return func(c *Placer) { c.viewLimit = d } }

// WithQueueLimit sets the longest wait in a queue. Calls with a longer predicted
// wait are refused at once.
func WithQueueLimit(d time.Duration) Option { return func(c *Placer) { c.queueLimit = d } }

// New returns a placer without configuration, which refuses all calls.
func New(options ...Option) *Placer {
	p := &Placer{
		policy:         router.LowestCost{},
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
		option(p)
	}
	p.random = rand.New(rand.NewPCG(p.seed, 0))
	p.router = router.New(router.WithPolicy(p.policy))
	if _, ok := p.policy.(router.FirstCome); ok {
		p.ranker = ranker.New(ranker.WithPolicy(ranker.FirstCome{}))
	} else {
		p.ranker = ranker.New()
	}
	return p
}

// Handle applies a message to the state and returns the resulting effects.
func (p *Placer) Handle(now time.Time, m message.Message) []effect.Effect {
	t := &transition{placer: p, now: now}
	switch m := m.(type) {
	case message.Started:
		t.readLoads()
	case message.Tick:
		// The executor discards all other wake-ups with each tick.
		p.nextTick = time.Time{}
		t.readLoads()
		t.dispatchAll()
	case message.MembersListed:
		p.members.update(m)
		t.dispatchAll()
	case message.ConfigurationRead:
		t.applyConfiguration(m.Configuration)
	case message.UpstreamsRead:
		t.handleUpstreamList(m)
	case message.UpstreamReported:
		t.handleLoadReport(m)
	case message.GrantRequested:
		t.handleRequest(m)
	case message.GrantReturned:
		t.handleReturn(m)
	case message.WaitAbandoned:
		t.handleAbandonedWait(m.Ticket)
	default:
		return nil
	}
	t.scheduleTick()
	return t.effects
}

// transition is the processing of one message. It collects the effects.
type transition struct {
	placer  *Placer
	now     time.Time
	effects []effect.Effect
	// changed is true if the set of usable or leaving upstreams changed.
	changed   bool
	positions []lender.Position
}

// lendingPositions returns this VM's positions among the live VMs, one for each
// membership that limits loans.
func (t *transition) lendingPositions() []lender.Position {
	if t.positions == nil {
		p := t.placer
		t.positions = p.members.effective(t.now, p.viewLimit, p.self)
	}
	return t.positions
}

func (t *transition) emit(e effect.Effect) { t.effects = append(t.effects, e) }

// scheduleTick requests the next tick, for the next load read, queue timeout or
// reclaim, and publishes the state if it changed.
func (t *transition) scheduleTick() {
	if t.changed {
		t.emit(effect.Publish{})
	}
	next := t.placer.nextRead
	for _, q := range t.placer.queues {
		if !q.wakeAt.IsZero() && (next.IsZero() || q.wakeAt.Before(next)) {
			next = q.wakeAt
		}
	}
	if next.IsZero() || !t.placer.nextTick.IsZero() && !next.Before(t.placer.nextTick) {
		return
	}
	t.placer.nextTick = next
	t.emit(effect.WakeAt{Time: next})
}

// Describe adds the upstreams that are known to be leaving, and this VM's load
// on each upstream.
func (p *Placer) Describe(s *snapshot.Snapshot) {
	if p.configuration == nil {
		return
	}
	for _, u := range p.configuration.Upstreams {
		state := p.upstreams[u.ID]
		if state.leaving() {
			s.LeavingUpstreams = append(s.LeavingUpstreams, u.ID)
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
