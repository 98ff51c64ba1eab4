package routing

import (
	"sort"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

// Table is one version of the routes and pools.
type Table struct {
	Version ident.Version
	Pools   map[ident.PoolID]Pool
	Limits  Limits
	// hosts has the routes of each host, the longest prefix first.
	hosts map[string][]*Route
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes unit.Bytes
	BodyBytes   unit.Bytes
	// Header is the time in which a caller sends a request's header.
	Header time.Duration
	// Idle is the time for which an idle connection of a caller stays open.
	Idle time.Duration
}

// Pool is a set of interchangeable upstreams.
type Pool struct {
	ID ident.PoolID
	// Connections is the number of connections that one upstream accepts from
	// all callers together.
	Connections int
	// Engine is nil for a plain service.
	Engine *Engine
}

// Engine describes the model engines of a pool.
type Engine struct {
	// Slots is the number of requests that one engine runs at once.
	Slots int
	// Memory is the number of tokens that one engine can hold.
	Memory unit.Tokens
	// EventTokens is the number of tokens in one event of a stream.
	EventTokens unit.Tokens
}

// Route says how requests of one host below one path are served.
type Route struct {
	ID     ident.RouteID
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest time for which a caller is kept waiting.
	Timeout time.Duration
	// Target is the time within which an answer has its full value; for a
	// stream the time to the first event.
	Target time.Duration
	// Priority is the rank among routes, 0 first.
	Priority int
	// Attempts is the number of upstreams on which one request may run.
	Attempts int
	// Sticky is set if an upstream serves a subject faster that it served
	// before.
	Sticky       bool
	Destinations []Destination
}

// Destination is a pool with its share of a route's requests.
type Destination struct {
	Pool   ident.PoolID
	Weight unit.Ratio
}

// Kind says what may be repeated. The interface is sealed: the variants are the
// types of this package.
type Kind interface{ kind() }

// Idempotent requests may run more than once.
type Idempotent struct{}

// NonIdempotent requests run at most once.
type NonIdempotent struct{}

// Stream requests are answered by events.
type Stream struct {
	// Resumable streams may go on at another upstream after the last event
	// that the caller received. Others run at most once.
	Resumable bool
	// Retained turns are kept by the system as the history of later turns.
	Retained bool
	// Retention is the time for which a program's turns are kept.
	Retention time.Duration
	// Gap is the longest pause between events that a caller accepts.
	Gap time.Duration
}

func (Idempotent) kind()    {}
func (NonIdempotent) kind() {}
func (Stream) kind()        {}

// Repeatable reports whether a request may run again after an attempt that may
// have run.
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

// New returns a table of routes.
func New(version ident.Version, routes []Route, pools []Pool, limits Limits) *Table {
	t := &Table{Version: version, Pools: map[ident.PoolID]Pool{}, Limits: limits, hosts: map[string][]*Route{}}
	for _, pool := range pools {
		t.Pools[pool.ID] = pool
	}
	for i := range routes {
		host := strings.ToLower(routes[i].Host)
		t.hosts[host] = append(t.hosts[host], &routes[i])
	}
	for _, of := range t.hosts {
		sort.SliceStable(of, func(i, j int) bool { return len(of[i].Prefix) > len(of[j].Prefix) })
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

// Match returns the route with the longest prefix of a host's path.
func (t *Table) Match(host, path string) (*Route, bool) {
	for _, route := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route, true
		}
	}
	return nil, false
}

// Destination returns the pool of a request. Requests spread over the route's
// pools by weight; one request id always has the same pool.
func (r *Route) Destination(id ident.RequestID) (ident.PoolID, bool) {
	var total unit.Ratio
	for _, d := range r.Destinations {
		total += max(d.Weight, 0)
	}
	if total <= 0 {
		return "", false
	}
	const steps = 1 << 32
	point := unit.Ratio(xxhash.Sum64String(string(id))%steps) / steps * total
	for _, d := range r.Destinations {
		if point < d.Weight {
			return d.Pool, true
		}
		point -= max(d.Weight, 0)
	}
	return r.Destinations[len(r.Destinations)-1].Pool, true
}
