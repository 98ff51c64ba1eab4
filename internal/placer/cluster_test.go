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
	// longestCall is below the time for which a superseded membership limits
	// loans, so that calls granted under two memberships never overlap.
	longestCall = 2500 * time.Millisecond
)

var errReadFailed = errors.New("read failed")

// cluster is the actual state, which several placers see with a delay. It is the
// oracle of the test.
type cluster struct {
	t             *rapid.T
	policy        router.Policy
	now           time.Time
	nodes         []*node
	configuration *configuration.Configuration
	// leaving holds the upstreams that are actually leaving.
	leaving map[ident.UpstreamID]departure
	ticket  ident.Ticket
}

// departure is the time at which an upstream started to leave, and whether the
// list and the load report show it.
type departure struct {
	since          time.Time
	list, reported bool
}

// observation is the result of a read of an upstream.
type observation struct {
	at      time.Time
	leaving bool
}

// heldGrant is a granted call that has not been returned.
type heldGrant struct {
	message.GrantRequested
	upstream ident.UpstreamID
	since    time.Time
}

// node is one placer and the messages it has received.
type node struct {
	*cluster
	vm           ident.VMID
	placer       *placer.Placer
	wake         time.Time
	reads        []message.Message
	waiting      map[ident.Ticket]message.GrantRequested
	since        map[ident.Ticket]time.Time
	held         map[ident.Grant]heldGrant
	listed       map[ident.UpstreamID]observation
	reported     map[ident.UpstreamID]observation
	refusedAt    map[ident.UpstreamID]time.Time
	attempts     map[[2]string][2]int
	changed      map[ident.UpstreamID]bool
	failingReads map[string]bool
	// membersReadAt is the time of the last read of the members, membersKnownAt
	// that of the first read with the present number of members.
	membersReadAt, membersKnownAt time.Time
	members                       int
}

func (c *cluster) add(vm ident.VMID) *node {
	n := &node{
		cluster: c, vm: vm,
		waiting: map[ident.Ticket]message.GrantRequested{}, since: map[ident.Ticket]time.Time{},
		held: map[ident.Grant]heldGrant{}, listed: map[ident.UpstreamID]observation{}, reported: map[ident.UpstreamID]observation{},
		refusedAt: map[ident.UpstreamID]time.Time{}, attempts: map[[2]string][2]int{}, failingReads: map[string]bool{},
	}
	n.placer = placer.New(
		placer.WithVM(vm), placer.WithPolicy(c.policy), placer.WithRegion("r1"), placer.WithSeed(uint64(len(c.nodes))),
		placer.WithViewLimit(viewLimit), placer.WithQueueLimit(queueLimit),
	)
	c.nodes = append(c.nodes, n)
	n.handle(message.Started{})
	n.handle(message.ConfigurationRead{StartedAt: c.now, Configuration: c.configuration})
	return n
}

func (n *node) checkCancelled(id ident.Grant) {
	h, ok := n.held[id]
	u, _ := n.configuration.Upstream(h.upstream)
	if !ok || !h.Repeatable || h.Team == u.Team {
		n.t.Fatalf("cancelled a call that is not a repeatable call of a borrower: %+v", h)
	}
}

func (n *node) handle(m message.Message) {
	n.changed = map[ident.UpstreamID]bool{}
	switch m.(type) {
	case message.Started, message.Tick:
		// Another controller reads the list, about as often as load reports.
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
				n.checkGrant(request, o)
			case outcome.Refused:
				if o.Err.NotRun == request.Retry {
					n.t.Fatalf("refusal has NotRun = %t for Retry = %t", o.Err.NotRun, request.Retry)
				}
			}
		case effect.CancelGrant:
			n.checkCancelled(e.Grant)
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

func (c *cluster) list() message.UpstreamsRead {
	m := message.UpstreamsRead{AsOf: c.now}
	for _, u := range c.configuration.Upstreams {
		m.Upstreams = append(m.Upstreams, upstream.Upstream{Address: u.Address, Leaving: c.leaving[u.ID].list})
	}
	return m
}

func (c *cluster) load(id ident.UpstreamID) message.UpstreamReported {
	m := message.UpstreamReported{Upstream: id, StartedAt: c.now, Leaving: c.leaving[id].reported}
	for _, n := range c.nodes {
		m.Running += n.count(id, "")
	}
	return m
}

// deliver sends the node the results of its reads, as of the time they started.
func (n *node) deliver() {
	reads := n.reads
	n.reads = nil
	for _, m := range reads {
		switch m := m.(type) {
		case message.UpstreamsRead:
			if n.failingReads["list"] {
				continue
			}
			for i, state := range m.Upstreams {
				n.listed[n.configuration.Upstreams[i].ID] = observation{m.AsOf, state.Leaving}
			}
		case message.UpstreamReported:
			if n.failingReads["load"] {
				n.handle(message.UpstreamReported{Upstream: m.Upstream, StartedAt: m.StartedAt, Err: errReadFailed})
				continue
			}
			n.reported[m.Upstream] = observation{m.StartedAt, m.Leaving}
			if !m.Leaving && m.StartedAt.After(n.refusedAt[m.Upstream]) {
				delete(n.refusedAt, m.Upstream)
			}
		}
		n.handle(m)
	}
	if n.failingReads["cluster"] {
		return
	}
	n.membersReadAt = n.now
	if n.members != len(n.nodes) {
		n.members, n.membersKnownAt = len(n.nodes), n.now
	}
	listed := message.MembersListed{AsOf: n.now}
	for _, other := range n.nodes {
		listed.VMs = append(listed.VMs, other.vm)
	}
	slices.Sort(listed.VMs)
	n.handle(listed)
}

// mayGrant reports whether the reads that the node has received permit new work
// at an upstream.
func (n *node) mayGrant(u configuration.Upstream) bool {
	list, report := n.listed[u.ID], n.reported[u.ID]
	_, noticed := n.refusedAt[u.ID]
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

func lentSlots(u configuration.Upstream, team ident.TeamID) int {
	for _, loan := range u.Loans {
		if loan.Borrower == team {
			return int(math.Floor(float64(loan.Share) * float64(u.Slots)))
		}
	}
	return 0
}

func (n *node) checkGrant(request message.GrantRequested, o outcome.Granted) {
	u, _ := n.configuration.Upstream(o.Upstream.ID)
	if _, twice := n.held[o.Grant]; twice || u.Pool != request.Pool {
		n.t.Fatalf("grant %d is a duplicate or of another pool", o.Grant)
	}
	n.held[o.Grant] = heldGrant{request, u.ID, n.now}
	n.changed[u.ID] = true
	if l, leaving := n.leaving[u.ID]; leaving && n.now.Sub(l.since) > viewLimit {
		n.t.Fatalf("grant of %s, which has been leaving for %s", u.ID, n.now.Sub(l.since))
	}
	if !n.mayGrant(u) {
		n.t.Fatalf("grant of %s, which is leaving or has no current view at this node", u.ID)
	}
	if request.Team != u.Team {
		sum := 0
		for _, other := range n.nodes {
			sum += other.count(u.ID, request.Team)
		}
		if sum > lentSlots(u, request.Team) {
			n.t.Fatalf("team %s holds %d slots of %s, its share is %d", request.Team, sum, u.ID, lentSlots(u, request.Team))
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

// checkLimits fails if an upstream granted by the last message is over its limit.
func (n *node) checkLimits() {
	limits := n.limits()
	for id := range n.changed {
		u, _ := n.configuration.Upstream(id)
		if got := n.count(id, ""); got > limits[id] || got > u.Slots {
			n.t.Fatalf("%d grants of %s, the limit is %d of %d", got, id, limits[id], u.Slots)
		}
	}
}

// checkDeadlines fails if a call has waited for the queue limit.
func (n *node) checkDeadlines() {
	for ticket := range n.waiting {
		if wait := n.now.Sub(n.since[ticket]); wait >= queueLimit {
			n.t.Fatalf("ticket %d has waited for %s, beyond the queue limit", ticket, wait)
		}
	}
}

// checkWaiting fails if a call waits while an upstream is free for it.
func (n *node) checkWaiting() {
	limits := n.limits()
	_, affinity := n.policy.(router.CacheAffinity)
	for ticket, request := range n.waiting {
		for _, u := range n.configuration.Upstreams {
			if u.Pool != request.Pool || request.Retry || affinity || !n.mayGrant(u) || n.count(u.ID, "") >= limits[u.ID] {
				continue
			}
			if u.Team == request.Team || n.mayBorrow(u, request.Team) {
				n.t.Fatalf("ticket %d of team %s waits while %s is free", ticket, request.Team, u.ID)
			}
		}
	}
}

// mayBorrow reports whether a team may borrow a slot at this node by the quotient
// of the share alone, without a remaining slot.
func (n *node) mayBorrow(u configuration.Upstream, team ident.TeamID) bool {
	ownerWaits := slices.ContainsFunc(slices.Collect(maps.Values(n.waiting)), func(r message.GrantRequested) bool {
		return r.Team == u.Team && r.Pool == u.Pool
	})
	settled := n.members == len(n.nodes) && n.now.Sub(n.membersKnownAt) > 10*time.Second && n.now.Sub(n.membersReadAt) < viewLimit
	return !ownerWaits && settled && n.count(u.ID, team) < lentSlots(u, team)/len(n.nodes)
}

func (n *node) returnGrant(id ident.Grant, duration time.Duration, leaving bool) {
	h := n.held[id]
	delete(n.held, id)
	if leaving {
		n.refusedAt[h.upstream] = n.now
	}
	n.handle(message.GrantReturned{
		Grant: id, Upstream: h.upstream, Duration: duration, FirstByte: duration / 2, Leaving: leaving,
		Usage: record.Usage{Calls: 1, PromptTokens: 160, OutputTokens: 10},
	})
}
