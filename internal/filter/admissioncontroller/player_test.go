package admissioncontroller_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/clientaccount"
	"github.com/sassafrasspur/sassafrasspur/internal/effect"
	"github.com/sassafrasspur/sassafrasspur/internal/failure"
	"github.com/sassafrasspur/sassafrasspur/internal/filter/admissioncontroller"
	"github.com/sassafrasspur/sassafrasspur/internal/goldentest"
	"github.com/sassafrasspur/sassafrasspur/internal/message"
	"github.com/sassafrasspur/sassafrasspur/internal/poolmonitor"
	"github.com/sassafrasspur/sassafrasspur/internal/routing"
	"github.com/sassafrasspur/sassafrasspur/internal/snapshot"
	"github.com/sassafrasspur/sassafrasspur/internal/timer"
	"github.com/sassafrasspur/sassafrasspur/internal/traffic"
	"github.com/sassafrasspur/sassafrasspur/internal/upstream"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

const step = 5 * time.Millisecond

// player plays the lines of a load pattern: each has the rates of the classes of
// requests and how the upstreams answer them.
type player struct {
	clock   *timer.Manual
	monitor *poolmonitor.Poolmonitor
	filter  *admissioncontroller.Admissioncontroller
	view    *snapshot.Snapshot
	random  *rand.Rand
	wakeAt  time.Time
	classes []*class
	calls   []playedCall
	tickets ident.Ticket
	requests
}

// requests counts what the meter of the filter received.
type requests struct{ shed int }

func (r *requests) CountShed(int, string, ident.AccountID) { r.shed++ }

// class is a class of equal requests.
type class struct {
	name                     string
	fields                   goldentest.Fields
	due                      float64
	sent, admitted           int
	shortestRetry, longRetry time.Duration
	tooLate                  int
}

type playedCall struct {
	// begins is the time of the first event, zero once that was reported.
	begins time.Time
	ends   time.Time
	ticket ident.Ticket
	result message.UpstreamResult
}

func newPlayer() *player {
	p := &player{
		clock: timer.NewManual(time.Unix(1000, 0)), monitor: poolmonitor.New(), view: &snapshot.Snapshot{}, random: rand.New(rand.NewPCG(1, 1)),
	}
	p.filter = admissioncontroller.New(func() *snapshot.Snapshot { return p.view }, &p.requests,
		timer.New(timer.WithManual(p.clock)), admissioncontroller.WithRandom(p.random.Float64))
	return p
}

// apply plays one line and describes what happened to each class.
func (p *player) apply(line string) string {
	f := goldentest.Parse(line)
	switch {
	case f.Has("class"):
		p.classes = slices.DeleteFunc(p.classes, func(c *class) bool { return c.name == f["class"] })
		p.classes = append(p.classes, &class{name: f["class"], fields: f})
		return ""
	case f.Has("upstreams"):
		var list []upstream.Upstream
		for i := range f.Int("upstreams") {
			list = append(list, upstream.Upstream{ID: ident.UpstreamID(fmt.Sprint(i)), Pool: "pool", Slots: f.Int("slots")})
		}
		p.handle(message.UpstreamsRead{Upstreams: list, AsOf: p.clock.Now()})
		p.handle(message.MembersListed{Serving: make([]snapshot.Member, f.Int("vms")), AsOf: p.clock.Now()})
		return ""
	}
	for _, c := range p.classes {
		c.sent, c.admitted, c.tooLate, c.shortestRetry, c.longRetry = 0, 0, 0, 0, 0
	}
	for end := p.clock.Now().Add(f.Duration("play")); p.clock.Now().Before(end); p.clock.Advance(step) {
		p.step(f)
	}
	return p.describe()
}

func (p *player) handle(m message.Message) {
	for _, e := range p.monitor.Handle(p.clock.Now(), m) {
		switch e := e.(type) {
		case effect.Publish:
			p.view = &snapshot.Snapshot{}
			p.monitor.Describe(p.view)
		case effect.WakeAt:
			p.wakeAt = e.Time
		}
	}
}

// step ends the calls that are due and sends the requests of all classes.
func (p *player) step(f goldentest.Fields) {
	now := p.clock.Now()
	if !p.wakeAt.IsZero() && !now.Before(p.wakeAt) {
		p.wakeAt = time.Time{}
		p.handle(message.Tick{})
	}
	for i, c := range p.calls {
		if answered, ok := c.result.(message.UpstreamAnswered); ok && !c.begins.IsZero() && !c.begins.After(now) {
			p.calls[i].begins = time.Time{}
			p.handle(message.CallProgressed{Ticket: c.ticket, Progress: message.Progress{FirstEvent: answered.FirstByte}})
		}
	}
	p.calls = slices.DeleteFunc(p.calls, func(c playedCall) bool {
		if c.ends.After(now) {
			return false
		}
		p.handle(message.CallEnded{Ticket: c.ticket, Result: c.result})
		return true
	})
	for _, c := range p.classes {
		rate := c.fields.Float("per_s")
		if f.Has("times") {
			rate *= f.Float("times")
		}
		if f.Has("rate_" + c.name) {
			rate = f.Float("rate_" + c.name)
		}
		for c.due += rate * step.Seconds(); c.due >= 1; c.due-- {
			p.send(f, c)
		}
	}
}

// send passes one request through the filter; if it is admitted, an upstream answers it
// as the line says.
func (p *player) send(f goldentest.Fields, c *class) {
	c.sent++
	p.tickets++
	now := p.clock.Now()
	route := &routing.Route{ID: ident.RouteID(c.name), Target: 400 * time.Millisecond, Timeout: 4 * time.Second, Priority: c.fields.Int("priority"), Kind: routing.Stream{}}
	x := &traffic.Exchange{Arrived: now, Deadline: now.Add(route.Timeout), Pool: "pool", Route: route}
	if c.fields.Has("timeout") {
		x.Deadline = now.Add(c.fields.Duration("timeout"))
	}
	if c.fields.Has("account") {
		x.Account = &clientaccount.Account{ID: ident.AccountID(c.fields["account"]), Priority: route.Priority}
	}
	x.Request.Prompt = &traffic.Prompt{Input: 1000, Output: 100}
	if c.fields.Has("work") {
		x.Request.Prompt = &traffic.Prompt{Input: unit.Tokens(c.fields.Int("work")) - 100, Output: 100}
	}
	x.Request.Program = &traffic.Program{ID: ident.ProgramID(fmt.Sprint(p.tickets)), TimeLeft: c.fields.Duration("left")}
	if c.fields.Has("under_way") {
		x.Request.Program.Previous = "previous"
	}
	err := p.filter.Serve(context.Background(), x, func(context.Context, *traffic.Exchange) error {
		c.admitted++
		p.start(f, x)
		return nil
	})
	if refused := failure.From(err); refused != nil {
		if !refused.NotRun {
			panic("a refusal must say that the request did not run")
		}
		if x.Trace.Shed.Reason == "too_late" {
			c.tooLate++
		}
		if c.shortestRetry == 0 || refused.RetryAfter < c.shortestRetry {
			c.shortestRetry = refused.RetryAfter
		}
		c.longRetry = max(c.longRetry, refused.RetryAfter)
	}
}

// start starts a call that ends as the line says: "first" and "lasts" are the times to
// the first event and to the end, "slow" the share of calls at upstreams that are
// slow_by times slower, "full" the share of calls that are refused.
func (p *player) start(f goldentest.Fields, x *traffic.Exchange) {
	p.handle(message.ChooseUpstream{Ticket: p.tickets, Pool: "pool", Route: x.Route, Prompt: x.Request.Prompt})
	first, lasts := f.Duration("first"), f.Duration("lasts")
	if p.random.Float64() < f.Float("slow") {
		first, lasts = time.Duration(f.Float("slow_by")*float64(first)), time.Duration(f.Float("slow_by")*float64(lasts))
	}
	call := playedCall{begins: p.clock.Now().Add(first), ends: p.clock.Now().Add(lasts), ticket: p.tickets, result: message.UpstreamAnswered{FirstByte: first}}
	if p.random.Float64() < f.Float("full") {
		call.ends, call.result = p.clock.Now().Add(10*time.Millisecond), message.UpstreamRefused{}
	}
	p.calls = append(p.calls, call)
}

// describe returns the share of the requests of each class that were admitted, the
// range of retry delays, and whether the pool is still short of capacity.
func (p *player) describe() string {
	var parts []string
	for _, c := range p.classes {
		if c.sent == 0 {
			continue
		}
		part := fmt.Sprintf("%s %d%%", c.name, 100*c.admitted/c.sent)
		if c.tooLate > 0 {
			part += fmt.Sprintf(" too_late %d%%", 100*c.tooLate/c.sent)
		}
		if c.longRetry > 0 {
			part += fmt.Sprintf(" retry %.1f-%.1fs", c.shortestRetry.Seconds(), c.longRetry.Seconds())
		}
		parts = append(parts, part)
	}
	if len(p.view.Entry.PoolLoads) > 0 {
		parts = append(parts, "short")
	}
	return strings.Join(parts, ", ")
}
