package placer_test

import (
	"errors"
	"maps"
	"math"
	"slices"
	"time"

	"pgregory.net/rapid"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/configuration"
	"github.com/sassafrasspur/sassafrasspur/internal/effect"
	"github.com/sassafrasspur/sassafrasspur/internal/message"
	"github.com/sassafrasspur/sassafrasspur/internal/outcome"
	"github.com/sassafrasspur/sassafrasspur/internal/placer"
	"github.com/sassafrasspur/sassafrasspur/internal/record"
	"github.com/sassafrasspur/sassafrasspur/internal/router"
	"github.com/sassafrasspur/sassafrasspur/internal/snapshot"
	"github.com/sassafrasspur/sassafrasspur/internal/upstream"
)

const (
	viewLimit  = 5 * time.Second
	queueLimit = 4 * time.Second
	// longestCall is below the time for which an earlier membership limits
	// loans, so that calls of both memberships never meet.
	longestCall = 2500 * time.Millisecond
)

var errCut = errors.New("the read failed")

// world is the truth that several placers see late. It is the oracle.
type world struct {
	t             *rapid.T
	policy        router.Policy
	now           time.Time
	nodes         []*node
	configuration *configuration.Configuration
	// leaving has the upstreams that are leaving in truth.
	leaving map[ident.UpstreamID]leave
	ticket  ident.Ticket
}

// leave says since when an upstream is leaving, and which reads show it.
type leave struct {
	since          time.Time
	list, reported bool
}

type sight struct {
	at      time.Time
	leaving bool
}

type held struct {
	message.GrantRequested
	upstream ident.UpstreamID
	since    time.Time
}

// node is one placer and what it has been told.
type node struct {
	*world
	vm       ident.VMID
	placer   *placer.Placer
	wake     time.Time
	reads    []message.Message
	waiting  map[ident.Ticket]message.GrantRequested
	since    map[ident.Ticket]time.Time
	held     map[ident.Grant]held
	listed   map[ident.UpstreamID]sight
	reported map[ident.UpstreamID]sight
	notices  map[ident.UpstreamID]time.Time
	attempts map[[2]string][2]int
	changed  map[ident.UpstreamID]bool
	// cut has the reads that fail.
	cut map[string]bool
	// clusterAt is the last read of the members, learnedAt the first that
	// showed as many as there are now.
	clusterAt, learnedAt time.Time
	members              int
}

func (w *world) add(vm ident.VMID) *node {
	n := &node{
		world: w, vm: vm,
		waiting: map[ident.Ticket]message.GrantRequested{}, since: map[ident.Ticket]time.Time{},
		held: map[ident.Grant]held{}, listed: map[ident.UpstreamID]sight{}, reported: map[ident.UpstreamID]sight{},
		notices: map[ident.UpstreamID]time.Time{}, attempts: map[[2]string][2]int{}, cut: map[string]bool{},
	}
	n.placer = placer.New(
		placer.WithVM(vm), placer.WithPolicy(w.policy), placer.WithRegion("r1"), placer.WithSeed(uint64(len(w.nodes))),
		placer.WithViewLimit(viewLimit), placer.WithQueueLimit(queueLimit),
	)
	w.nodes = append(w.nodes, n)
	n.do(message.Started{})
	n.do(message.ConfigurationRead{StartedAt: w.now, Configuration: w.configuration})
	return n
}

func (n *node) cancelled(id ident.Grant) {
	h, ok := n.held[id]
	u, _ := n.configuration.Upstream(h.upstream)
	if !ok || !h.Repeatable || h.Team == u.Team {
		n.t.Fatalf("cancelled a call that must go on: %+v", h)
	}
}

func (n *node) do(m message.Message) {
	n.changed = map[ident.UpstreamID]bool{}
	switch m.(type) {
	case message.Started, message.Tick:
		// Another controller reads the list, about as often as loads are read.
		n.reads = append(n.reads, n.list())
	}
	for _, e := range n.placer.Handle(n.now, m) {
		switch e := e.(type) {
		case effect.Answer:
			request, ok := n.waiting[e.Ticket]
			if !ok {
				n.t.Fatalf("ticket %d was answered twice or after it was abandoned", e.Ticket)
			}
			delete(n.waiting, e.Ticket)
			switch o := e.Outcome.(type) {
			case outcome.Granted:
				n.granted(request, o)
			case outcome.Refused:
				if o.Err.NotRun == request.Retry {
					n.t.Fatalf("refusal says not run = %t, retry = %t", o.Err.NotRun, request.Retry)
				}
			}
		case effect.CancelGrant:
			n.cancelled(e.Grant)
		case effect.WakeAt:
			if n.wake.IsZero() || e.Time.Before(n.wake) {
				n.wake = e.Time
			}
		case effect.ReadLoad:
			n.reads = append(n.reads, n.load(e.Upstream))
		}
	}
	n.checkLimits()
	n.checkWaiting()
}

func (w *world) list() message.UpstreamsRead {
	m := message.UpstreamsRead{AsOf: w.now}
	for _, u := range w.configuration.Upstreams {
		m.Upstreams = append(m.Upstreams, upstream.Upstream{Address: u.Address, Leaving: w.leaving[u.ID].list})
	}
	return m
}

func (w *world) load(id ident.UpstreamID) message.UpstreamReported {
	m := message.UpstreamReported{Upstream: id, StartedAt: w.now, Leaving: w.leaving[id].reported}
	for _, n := range w.nodes {
		m.Running += n.count(id, "")
	}
	return m
}

// deliver gives the node the answers to its reads, as they were when asked for.
func (n *node) deliver() {
	reads := n.reads
	n.reads = nil
	for _, m := range reads {
		switch m := m.(type) {
		case message.UpstreamsRead:
			if n.cut["list"] {
				continue
			}
			for i, state := range m.Upstreams {
				n.listed[n.configuration.Upstreams[i].ID] = sight{m.AsOf, state.Leaving}
			}
		case message.UpstreamReported:
			if n.cut["load"] {
				n.do(message.UpstreamReported{Upstream: m.Upstream, StartedAt: m.StartedAt, Err: errCut})
				continue
			}
			n.reported[m.Upstream] = sight{m.StartedAt, m.Leaving}
			if !m.Leaving && m.StartedAt.After(n.notices[m.Upstream]) {
				delete(n.notices, m.Upstream)
			}
		}
		n.do(m)
	}
	if n.cut["cluster"] {
		return
	}
	n.clusterAt = n.now
	if n.members != len(n.nodes) {
		n.members, n.learnedAt = len(n.nodes), n.now
	}
	listed := message.MembersListed{AsOf: n.now}
	for _, other := range n.nodes {
		listed.VMs = append(listed.VMs, other.vm)
	}
	slices.Sort(listed.VMs)
	n.do(listed)
}

// usable is the oracle's opinion of whether an upstream may get new work.
func (n *node) usable(u configuration.Upstream) bool {
	list, report := n.listed[u.ID], n.reported[u.ID]
	_, noticed := n.notices[u.ID]
	return !u.Drain && !noticed && !list.leaving && !report.leaving &&
		n.now.Sub(list.at) <= viewLimit && n.now.Sub(report.at) <= viewLimit
}

func (n *node) count(id ident.UpstreamID, team ident.TeamID) int {
	count := 0
	for _, h := range n.held {
		if h.upstream == id && (team == "" || h.Team == team) {
			count++
		}
	}
	return count
}

func whole(u configuration.Upstream, team ident.TeamID) int {
	for _, loan := range u.Loans {
		if loan.Borrower == team {
			return int(math.Floor(float64(loan.Share) * float64(u.Slots)))
		}
	}
	return 0
}

func (n *node) granted(request message.GrantRequested, o outcome.Granted) {
	u, _ := n.configuration.Upstream(o.Upstream.ID)
	if _, twice := n.held[o.Grant]; twice || u.Pool != request.Pool {
		n.t.Fatalf("grant %d is not new or not of the pool", o.Grant)
	}
	n.held[o.Grant] = held{request, u.ID, n.now}
	n.changed[u.ID] = true
	if l, leaving := n.leaving[u.ID]; leaving && n.now.Sub(l.since) > viewLimit {
		n.t.Fatalf("grant of %s, which has been leaving for %s", u.ID, n.now.Sub(l.since))
	}
	if !n.usable(u) {
		n.t.Fatalf("grant of %s, which the node knows to be leaving or does not know", u.ID)
	}
	if request.Team != u.Team {
		sum := 0
		for _, other := range n.nodes {
			sum += other.count(u.ID, request.Team)
		}
		if sum > whole(u, request.Team) {
			n.t.Fatalf("team %s holds %d slots of %s, its share is %d", request.Team, sum, u.ID, whole(u, request.Team))
		}
		for _, w := range n.waiting {
			if w.Team == u.Team && w.Pool == u.Pool {
				n.t.Fatalf("team %s borrows %s while its owner waits", request.Team, u.ID)
			}
		}
	}
	key := [2]string{string(u.ID), string(request.Team)}
	counts := n.attempts[key]
	if request.Retry {
		counts[1]++
	} else {
		counts[0]++
	}
	n.attempts[key] = counts
	if counts[1] > 1+counts[0]/10 {
		n.t.Fatalf("%d retries after %d calls at %s", counts[1], counts[0], u.ID)
	}
}

func (n *node) limits() map[ident.UpstreamID]int {
	var s snapshot.Snapshot
	n.placer.Describe(&s)
	limits := map[ident.UpstreamID]int{}
	for _, l := range s.UpstreamLoads {
		limits[l.Upstream] = l.Limit
		if l.InFlight != n.count(l.Upstream, "") {
			n.t.Fatalf("%s has %d grants, the placer counts %d", l.Upstream, n.count(l.Upstream, ""), l.InFlight)
		}
	}
	return limits
}

func (n *node) checkLimits() {
	limits := n.limits()
	for id := range n.changed {
		u, _ := n.configuration.Upstream(id)
		if got := n.count(id, ""); got > limits[id] || got > u.Slots {
			n.t.Fatalf("%d grants of %s, the limit is %d of %d", got, id, limits[id], u.Slots)
		}
	}
}

// checkDeadlines looks for calls that wait longer than the limit.
func (n *node) checkDeadlines() {
	for ticket := range n.waiting {
		if wait := n.now.Sub(n.since[ticket]); wait >= queueLimit {
			n.t.Fatalf("ticket %d waits for %s", ticket, wait)
		}
	}
}

// checkWaiting looks for calls that wait although an upstream is free for them.
func (n *node) checkWaiting() {
	limits := n.limits()
	_, affinity := n.policy.(router.CacheAffinity)
	for ticket, request := range n.waiting {
		for _, u := range n.configuration.Upstreams {
			if u.Pool != request.Pool || request.Retry || affinity || !n.usable(u) || n.count(u.ID, "") >= limits[u.ID] {
				continue
			}
			if u.Team == request.Team || n.mayBorrow(u, request.Team) {
				n.t.Fatalf("ticket %d of team %s waits while %s is free", ticket, request.Team, u.ID)
			}
		}
	}
}

// mayBorrow is true if the quotient of the share alone permits it.
func (n *node) mayBorrow(u configuration.Upstream, team ident.TeamID) bool {
	ownerWaits := slices.ContainsFunc(slices.Collect(maps.Values(n.waiting)), func(r message.GrantRequested) bool {
		return r.Team == u.Team && r.Pool == u.Pool
	})
	settled := n.members == len(n.nodes) && n.now.Sub(n.learnedAt) > 10*time.Second && n.now.Sub(n.clusterAt) < viewLimit
	return !ownerWaits && settled && n.count(u.ID, team) < whole(u, team)/len(n.nodes)
}

func (n *node) giveBack(id ident.Grant, duration time.Duration, leaving bool) {
	h := n.held[id]
	delete(n.held, id)
	if leaving {
		n.notices[h.upstream] = n.now
	}
	n.do(message.GrantReturned{
		Grant: id, Upstream: h.upstream, Duration: duration, FirstByte: duration / 2, Leaving: leaving,
		Usage: record.Usage{Calls: 1, PromptTokens: 160, OutputTokens: 10},
	})
}
