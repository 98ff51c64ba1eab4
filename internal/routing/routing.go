package routing

import (
	"sort"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/clientaccount"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

// Table is one version of the routes and pools.
type Table struct {
	Version ident.Version
	Pools   map[ident.PoolID]Pool
	Limits  Limits
	// Accounts is nil if the configuration lists no client accounts. Requests then need
	// no key.
	Accounts *clientaccount.Directory
	// hosts holds the routes of each host, by descending length of the prefix.
	hosts map[string][]*Route
}

// Limits bounds the requests and connections of callers.
type Limits struct {
	HeaderBytes unit.Bytes
	BodyBytes   unit.Bytes
	// Header is the longest time for receiving the header of a request.
	Header time.Duration
	// Idle is the time after which an idle connection of a caller is closed.
	Idle time.Duration
}

// Pool is a set of interchangeable upstreams.
type Pool struct {
	ID ident.PoolID
	// Connections is the number of connections that one upstream accepts from
	// all callers together.
	Connections int
	// Engine is nil for a pool of services.
	Engine *Engine
}

// Engine is the capacity of each model engine of a pool.
type Engine struct {
	// Slots is the number of requests that one engine runs concurrently.
	Slots int
	// Memory is the number of tokens that one engine can hold in its cache.
	Memory unit.Tokens
	// EventTokens is the number of tokens in one event of a stream.
	EventTokens unit.Tokens
}

// Route is the configuration of the requests to one host below one path prefix.
type Route struct {
	ID     ident.RouteID
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest time for which a caller waits for an answer.
	Timeout time.Duration
	// Target is the target latency of an answer; for a stream, that of the first
	// event.
	Target time.Duration
	// Priority is the rank among routes; 0 is the highest.
	Priority int
	// Attempts is the number of upstreams on which one request may be tried.
	Attempts int
	// Sticky is set if an upstream answers faster for a program or affinity key
	// that it has served before.
	Sticky bool
	// Public is set if requests need no key of a client account.
	Public       bool
	Destinations []Destination
}

// Destination is a pool and the weight of its share of a route's requests.
type Destination struct {
	Pool   ident.PoolID
	Weight unit.Ratio
}

// Kind determines whether requests may be repeated. The interface is sealed: its
// implementations are the types of this package.
type Kind interface{ kind() }

// Idempotent requests may run more than once.
type Idempotent struct{}

// NonIdempotent requests run at most once.
type NonIdempotent struct{}

// Stream requests are answered with a stream of events.
type Stream struct {
	// Resumable is set if a stream may continue at another upstream after the
	// last event that the caller received. Other streams run at most once.
	Resumable bool
	// Retained is set if the turns are stored as the history of later turns.
	Retained bool
	// Retention is the time for which the turns of a program are stored.
	Retention time.Duration
	// Gap is the longest time between two events that a caller accepts.
	Gap time.Duration
}

func (Idempotent) kind()    {}
func (NonIdempotent) kind() {}
func (Stream) kind()        {}

// Repeatable reports whether a request may be sent again after an attempt that
// may have been executed.
func (r *Route) Repeatable() bool {
	switch k := r.Kind.(type) {
	case Idempotent:
		return true
	case Stream:
		return k.Resumable
	default:
		return false
	}
}

// Option configures a Table.
type Option func(*Table)

// WithAccounts sets the client accounts.
func WithAccounts(accounts *clientaccount.Directory) Option {
	return func(t *Table) { t.Accounts = accounts }
}

// New returns a table of the given routes and pools.
func New(version ident.Version, routes []Route, pools []Pool, limits Limits, options ...Option) *Table {
	t := &Table{Version: version, Pools: map[ident.PoolID]Pool{}, Limits: limits, hosts: map[string][]*Route{}}
	for _, option := range options {
		option(t)
	}
	for _, pool := range pools {
		t.Pools[pool.ID] = pool
	}
	for i := range routes {
		host := strings.ToLower(routes[i].Host)
		t.hosts[host] = append(t.hosts[host], &routes[i])
	}
	for _, hostRoutes := range t.hosts {
		sort.SliceStable(hostRoutes, func(i, j int) bool { return len(hostRoutes[i].Prefix) > len(hostRoutes[j].Prefix) })
	}
	return t
}

// Len returns the number of routes.
func (t *Table) Len() int {
	n := 0
	for _, routes := range t.hosts {
		n += len(routes)
	}
	return n
}

// Match returns the host's route with the longest prefix of the path, and false
// if there is none.
func (t *Table) Match(host, path string) (*Route, bool) {
	for _, route := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route, true
		}
	}
	return nil, false
}

// Destination returns the pool of a request, and false if the weights of all
// pools are 0. Requests are distributed over the route's pools by weight; all
// attempts with one request id have the same pool.
func (r *Route) Destination(id ident.RequestID) (ident.PoolID, bool) {
	var total unit.Ratio
	for _, d := range r.Destinations {
		total += max(d.Weight, 0)
	}
	if total <= 0 {
		return "", false
	}
	const hashRange = 1 << 32
	remaining := unit.Ratio(xxhash.Sum64String(string(id))%hashRange) / hashRange * total
	for _, d := range r.Destinations {
		if remaining < d.Weight {
			return d.Pool, true
		}
		remaining -= max(d.Weight, 0)
	}
	return r.Destinations[len(r.Destinations)-1].Pool, true
}
