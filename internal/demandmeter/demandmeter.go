// Package demandmeter measures the work that callers ask for, by pool, priority and
// account.
//
// From it follows how a request compares with the others: which share of the work has a
// lower priority, whether its account asks for more than usual, and how large it is.
package demandmeter

import (
	"math"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

const (
	// priorities is the number of priorities that are told apart; lower ones count as
	// the lowest.
	priorities = 16
	// shareWindow is the time constant of the shares of priorities, and of the work of
	// a usual request.
	shareWindow = 4 * time.Second
	// recentWindow and usualWindow are the time constants of the recent and the usual
	// demand of an account.
	recentWindow = 5 * time.Second
	usualWindow  = 3 * time.Minute
	// tolerance is the multiple of its usual demand up to which an account has no
	// excess, and minExcess the number of usual requests by which it exceeds that: a
	// VM gets few requests of most accounts, at irregular times.
	tolerance = 1.5
	minExcess = 6
	// maxAccounts limits the remembered accounts and maxGroups the remembered groups.
	maxAccounts = 2048
	maxGroups   = 256
)

// Demand is the work that a request asks for.
type Demand struct {
	Pool     ident.PoolID
	UnderWay bool
	Priority int
	// Account is empty if the request has none.
	Account ident.AccountID
	// Work is the number of tokens, 1 for a request without a prompt.
	Work unit.Tokens
}

// Standing compares a request with the others.
type Standing struct {
	// Lower is the share of the work of the request's pool and group that has a lower
	// priority. Middle includes the excess of accounts of the same priority, and Upper
	// all work of this priority.
	Lower, Middle, Upper unit.Ratio
	// Excess is the share of the account's work that exceeds its usual.
	Excess unit.Ratio
	// RelativeWork is the work as a multiple of the usual in the pool.
	RelativeWork unit.Ratio
}

// Demandmeter measures demand. It is safe for concurrent use.
type Demandmeter struct {
	mu       sync.Mutex
	started  time.Time
	groups   *lru.Cache[groupKey, *group]
	accounts *lru.Cache[accountKey, *account]
}

// groupKey identifies the requests of a pool whose programs are under way or not.
type groupKey struct {
	pool     ident.PoolID
	underWay bool
}

type accountKey struct {
	pool ident.PoolID
	id   ident.AccountID
}

// group has the work by priority, of which excess exceeds the usual of its accounts, and
// the number of requests, smoothed over shareWindow.
type group struct {
	work, excess [priorities]float64
	requests     float64
	asOf         time.Time
}

// account has the demand of an account, in usual requests, summed with weights that
// decay over the recent and the usual window.
type account struct {
	recent, usual float64
	asOf          time.Time
}

// New returns a Demandmeter that has measured nothing.
func New() *Demandmeter {
	// New fails only if the size is not positive.
	groups, _ := lru.New[groupKey, *group](maxGroups)
	accounts, _ := lru.New[accountKey, *account](maxAccounts)
	return &Demandmeter{groups: groups, accounts: accounts}
}

// Add adds a request and returns its standing.
func (m *Demandmeter) Add(now time.Time, d Demand) Standing {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.started.IsZero() {
		m.started = now
	}
	g := m.group(groupKey{d.Pool, d.UnderWay})
	work := float64(max(d.Work, 1))
	relativeWork := g.add(now, work)
	var excess unit.Ratio
	if d.Account != "" {
		excess = m.addAccount(now, accountKey{d.Pool, d.Account}, float64(relativeWork))
	}
	s := g.addShare(min(max(d.Priority, 0), priorities-1), work, float64(excess))
	s.Excess, s.RelativeWork = excess, relativeWork
	return s
}

func (m *Demandmeter) group(key groupKey) *group {
	g, ok := m.groups.Get(key)
	if !ok {
		g = &group{}
		m.groups.Add(key, g)
	}
	return g
}

// add adds a request and returns its work as a multiple of the usual.
func (g *group) add(now time.Time, work float64) unit.Ratio {
	keep := decay(now.Sub(g.asOf), shareWindow)
	total := work
	for i := range g.work {
		g.work[i] *= keep
		g.excess[i] *= keep
		total += g.work[i]
	}
	g.requests, g.asOf = g.requests*keep+1, now
	return unit.Ratio(work * g.requests / total)
}

// addShare adds the work of a request to its priority and returns the shares.
func (g *group) addShare(priority int, work, excess float64) Standing {
	g.work[priority] += work
	g.excess[priority] += work * excess
	var lower, total float64
	for i, w := range g.work {
		if i > priority {
			lower += w
		}
		total += w
	}
	return Standing{
		Lower: unit.Ratio(lower / total), Middle: unit.Ratio((lower + g.excess[priority]) / total),
		Upper: unit.Ratio((lower + g.work[priority]) / total),
	}
}

// addAccount adds a request of an account and returns the excess of the account. During
// the first minutes the usual demand is not known, and there is no excess.
func (m *Demandmeter) addAccount(now time.Time, key accountKey, requests float64) unit.Ratio {
	a, ok := m.accounts.Get(key)
	if !ok {
		a = &account{}
		m.accounts.Add(key, a)
	}
	elapsed := now.Sub(a.asOf)
	a.recent = a.recent*decay(elapsed, recentWindow) + requests
	a.usual *= decay(elapsed, usualWindow)
	a.asOf = now
	excess := a.excess(now.Sub(m.started))
	// Excess becomes usual only slowly.
	a.usual += requests * float64(1-excess)
	return excess
}

// excess returns the share of the recent demand that exceeds the usual one, which has
// been observed for a time.
func (a *account) excess(observed time.Duration) unit.Ratio {
	if observed < usualWindow/3 {
		return 0
	}
	// The weights of a sum that began a short time ago add up to less.
	usual := a.usual / usualWindow.Seconds() / (1 - decay(observed, usualWindow))
	expected := tolerance * usual * recentWindow.Seconds()
	if a.recent < expected+minExcess {
		return 0
	}
	return unit.Ratio(1 - expected/a.recent)
}

func decay(elapsed, window time.Duration) float64 {
	return math.Exp(-max(elapsed, 0).Seconds() / window.Seconds())
}
