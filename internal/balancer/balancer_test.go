package balancer_test

import (
	"fmt"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/balancer"
	"github.com/sassafrasspur/sassafrasspur/internal/effect"
	"github.com/sassafrasspur/sassafrasspur/internal/goldentest"
	"github.com/sassafrasspur/sassafrasspur/internal/message"
	"github.com/sassafrasspur/sassafrasspur/internal/outcome"
	"github.com/sassafrasspur/sassafrasspur/internal/routing"
	"github.com/sassafrasspur/sassafrasspur/internal/snapshot"
	"github.com/sassafrasspur/sassafrasspur/internal/traffic"
	"github.com/sassafrasspur/sassafrasspur/internal/upstream"
)

// newDecider returns a function that applies lines to one balancer. The VM is in
// failure domain d1 of region r1; d2 is in the same region and d3 in another.
func newDecider() func(line string) string {
	b := balancer.New(balancer.Location{Domain: "d1", Region: "r1", Regions: map[ident.Domain]ident.Region{"d1": "r1", "d2": "r1", "d3": "r2"}}, 1)
	now := time.Unix(0, 0)
	last := ""
	calls := newCallLog()
	return func(line string) string {
		f := goldentest.Parse(line)
		now = now.Add(f.Duration("after"))
		switch {
		case f.Has("list"):
			b.Handle(now, listed(now, f["list"]))
			return ""
		case f.Has("connections"):
			pools := []routing.Pool{{ID: "pool", Connections: f.Int("connections")}}
			b.Handle(now, message.RoutesChanged{Table: routing.New(1, nil, pools, routing.Limits{})})
			b.Handle(now, message.MembersListed{Serving: make([]snapshot.Member, f.Int("members"))})
			return ""
		case f.Has("ended"):
			id := f["ended"]
			if id == "last" {
				id = last
			}
			b.Handle(now, message.CallEnded{
				Ticket: calls.end(id), Upstream: ident.UpstreamID(id), Incarnation: parseIncarnation(f["of"]), Route: ident.RouteID(f["route"]), Result: result(f),
			})
			return ""
		}
		ticket := calls.next()
		f["ticket"] = strconv.Itoa(int(ticket))
		decision := choose(b, now, f)
		last, _, _ = strings.Cut(decision, " ")
		calls.start(last, ticket)
		return decision
	}
}

// callLog has the tickets of the calls in flight at each upstream, the oldest first.
type callLog struct {
	last    ident.Ticket
	tickets map[string][]ident.Ticket
}

func newCallLog() *callLog { return &callLog{tickets: map[string][]ident.Ticket{}} }

func (l *callLog) next() ident.Ticket {
	l.last++
	return l.last
}

func (l *callLog) start(id string, t ident.Ticket) { l.tickets[id] = append(l.tickets[id], t) }

// end returns the ticket of the oldest call in flight at an upstream, or an unused one
// if there is none.
func (l *callLog) end(id string) ident.Ticket {
	if len(l.tickets[id]) == 0 {
		return l.next()
	}
	oldest := l.tickets[id][0]
	l.tickets[id] = l.tickets[id][1:]
	return oldest
}

// checkEach checks each golden table that matches a pattern with a balancer of its own.
func checkEach(t *testing.T, pattern string, newDecider func() func(line string) string) {
	t.Helper()
	g := NewWithT(t)
	paths, err := filepath.Glob(pattern)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(paths).NotTo(BeEmpty())
	for _, path := range paths {
		t.Run(filepath.Base(path), func(t *testing.T) {
			NewWithT(t).Expect(goldentest.Check(path, newDecider())).To(Succeed())
		})
	}
}

// listed parses a list of upstreams, each written as id@domain, followed by "#" and its
// incarnation if that is known, with a final "!" if it is leaving.
func listed(now time.Time, text string) message.UpstreamsRead {
	m := message.UpstreamsRead{AsOf: now}
	for _, entry := range strings.Split(text, ",") {
		id, rest, _ := strings.Cut(strings.TrimSuffix(entry, "!"), "@")
		domain, incarnation, _ := strings.Cut(rest, "#")
		m.Upstreams = append(m.Upstreams, upstream.Upstream{
			ID: ident.UpstreamID(id), Pool: "pool", Domain: ident.Domain(domain), Incarnation: parseIncarnation(incarnation),
			Leaving: strings.HasSuffix(entry, "!"),
		})
	}
	return m
}

// parseIncarnation returns 0, for unknown, if the text has none.
func parseIncarnation(text string) ident.Incarnation {
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0
	}
	return ident.Incarnation(n)
}

func result(f goldentest.Fields) message.UpstreamResult {
	switch f["result"] {
	case "refused":
		return message.UpstreamRefused{}
	case "failed":
		return message.UpstreamFailed{Connected: true}
	case "erred":
		return message.UpstreamServerError{}
	case "abandoned":
		return message.UpstreamAbandoned{SilentFor: f.Duration("silent")}
	case "unreachable":
		return message.UpstreamFailed{}
	}
	return message.UpstreamAnswered{FirstByte: f.Duration("first")}
}

func choose(b *balancer.Balancer, now time.Time, f goldentest.Fields) string {
	m := message.ChooseUpstream{Ticket: ident.Ticket(f.Int("ticket")), Pool: "pool", Route: &routing.Route{ID: ident.RouteID(f["route"]), Kind: routing.Idempotent{}}, Affinity: f["affinity"]}
	if f.Has("once") {
		m.Route.Kind = routing.NonIdempotent{}
	}
	if f.Has("prompt") {
		m.Prompt = &traffic.Prompt{Input: 4000, Parts: []traffic.Part{{Tokens: 2500}, {Tokens: 1500}}}
		m.Route, m.Priority = &routing.Route{Kind: routing.Stream{}}, f.Int("priority")
	}
	for _, id := range strings.Split(f["tried"], ",") {
		m.Tried = append(m.Tried, ident.UpstreamID(id))
	}
	effects := b.Handle(now, m)
	switch o := effects[0].(effect.Answer).Outcome.(type) {
	case outcome.UpstreamChosen:
		return fmt.Sprintf("%s urgency=%d", o.Upstream.ID, o.Urgency)
	case outcome.Refused:
		return fmt.Sprintf("refused %s not_run=%t retry_after=%s", o.Err.Kind, o.Err.NotRun, o.Err.RetryAfter)
	}
	return "unknown"
}

// TestBalancer guards against calls to upstreams that are leaving, were tried or
// failed, against traffic between regions while nearer upstreams serve, against
// prompts that are recomputed at another engine, against more connections than an
// upstream accepts or the calls need, and against upstreams that count as slow
// because they got the calls of a slow route. Without these rules, upstreams that
// hang or answer errors at once get as many calls as others, and calls that must
// not be repeated are lost whenever a VM tries such an upstream again.
func TestBalancer(t *testing.T) {
	checkEach(t, "testdata/*.txtar", newDecider)
}
