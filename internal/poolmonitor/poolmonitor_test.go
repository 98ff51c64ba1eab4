package poolmonitor_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/message"
	"github.com/sassafrasspur/sassafrasspur/internal/poolmonitor"
	"github.com/sassafrasspur/sassafrasspur/internal/routing"
	"github.com/sassafrasspur/sassafrasspur/internal/snapshot"
	"github.com/sassafrasspur/sassafrasspur/internal/traffic"
	"github.com/sassafrasspur/sassafrasspur/internal/upstream"
)

// player starts calls on a pool of 8 slots.
type player struct {
	monitor *poolmonitor.Poolmonitor
	now     time.Time
	route   *routing.Route
	tickets ident.Ticket
}

func newPlayer() *player {
	p := &player{
		monitor: poolmonitor.New(), now: time.Unix(1000, 0),
		route: &routing.Route{ID: "route", Target: 400 * time.Millisecond, Timeout: time.Minute},
	}
	p.monitor.Handle(p.now, message.UpstreamsRead{Upstreams: []upstream.Upstream{
		{ID: "a", Pool: "pool", Slots: 8}, {ID: "b", Pool: "pool", Slots: 100, Leaving: true},
	}, AsOf: p.now})
	p.monitor.Handle(p.now, message.MembersListed{Serving: make([]snapshot.Member, 1), AsOf: p.now})
	return p
}

func (p *player) after(d time.Duration, m message.Message) {
	p.now = p.now.Add(d)
	p.monitor.Handle(p.now, m)
}

func (p *player) start(after time.Duration) ident.Ticket {
	p.tickets++
	p.after(after, message.ChooseUpstream{Ticket: p.tickets, Pool: "pool", Route: p.route, Prompt: &traffic.Prompt{Input: 100, Output: 10}})
	return p.tickets
}

// learn makes the usual time to the first event known.
func (p *player) learn() {
	for range 20 {
		t := p.start(time.Second)
		p.after(200*time.Millisecond, message.CallEnded{Ticket: t, Result: message.UpstreamAnswered{FirstByte: 100 * time.Millisecond}})
	}
}

// load returns the load that is published while something is shed.
func (p *player) load() (snapshot.PoolLoad, bool) {
	s := &snapshot.Snapshot{}
	p.monitor.Describe(s)
	load, ok := s.Entry.PoolLoads["pool"]
	return load, ok
}

// Guards against a shortage that becomes known only when its calls end, and against a
// first event that counts again at the end of its call.
func TestFirstEventsOfCallsInProgress(t *testing.T) {
	g := NewWithT(t)
	p := newPlayer()
	p.learn()
	var calls []ident.Ticket
	for range 16 {
		calls = append(calls, p.start(0))
	}
	p.now = p.now.Add(time.Second)
	for _, call := range calls {
		p.after(20*time.Millisecond, message.CallProgressed{Ticket: call, Progress: message.Progress{FirstEvent: 1100 * time.Millisecond}})
		p.after(0, message.CallProgressed{Ticket: call, Progress: message.Progress{Events: 3, Took: 50 * time.Millisecond}})
	}
	load, isShort := p.load()
	g.Expect(isShort).To(BeTrue())
	g.Expect(load.RelativeDelay).To(BeNumerically(">", 0.75))
	evidenceAt := load.EvidenceAt
	for _, call := range calls[:4] {
		p.after(250*time.Millisecond, message.CallEnded{Ticket: call, Result: message.UpstreamAnswered{FirstByte: 1100 * time.Millisecond}})
	}
	load, _ = p.load()
	g.Expect(load.EvidenceAt).To(BeTemporally("<=", evidenceAt.Add(100*time.Millisecond)))
	g.Expect(load.Routes["route"].PerToken).To(BeNumerically(">", 0))
}

// Guards against refusals of restarted upstreams that count as refusals of full ones.
func TestMisdirectedIsNoShortage(t *testing.T) {
	for _, isMisdirected := range []bool{false, true} {
		g := NewWithT(t)
		p := newPlayer()
		p.learn()
		for range 14 {
			p.start(0)
		}
		for range 40 {
			t := p.start(25 * time.Millisecond)
			p.after(25*time.Millisecond, message.CallEnded{Ticket: t, Result: message.UpstreamRefused{Misdirected: isMisdirected}})
		}
		_, isShort := p.load()
		g.Expect(isShort).To(Equal(!isMisdirected))
	}
}

// Guards against calls that count as in flight although their wait was abandoned or their
// end was never reported.
func TestCallsInFlightEnd(t *testing.T) {
	for _, isAbandoned := range []bool{true, false} {
		g := NewWithT(t)
		p := newPlayer()
		p.learn()
		for range 40 {
			call := p.start(0)
			if isAbandoned {
				p.after(0, message.WaitAbandoned{Ticket: call})
			}
		}
		if !isAbandoned {
			p.after(2*time.Minute, message.UpstreamsRead{Upstreams: []upstream.Upstream{{ID: "a", Pool: "pool", Slots: 8}}, AsOf: p.now})
		}
		p.now = p.now.Add(10 * time.Second)
		p.playSlowCalls(10, 300*time.Millisecond)
		_, isShort := p.load()
		g.Expect(isShort).To(BeFalse())
	}
}

// Guards against a shortage that stays unknown because its callers leave before the first
// event.
func TestAbandonedCallsShowDelay(t *testing.T) {
	g := NewWithT(t)
	p := newPlayer()
	p.learn()
	started := p.now
	for range 30 {
		p.start(0)
	}
	p.now = p.now.Add(2 * time.Second)
	for i := range 10 {
		p.after(50*time.Millisecond, message.CallEnded{
			Ticket: p.tickets - ident.Ticket(i), Result: message.UpstreamAbandoned{SilentFor: p.now.Add(50 * time.Millisecond).Sub(started)},
		})
	}
	_, isShort := p.load()
	g.Expect(isShort).To(BeTrue())
}

// Guards against single slow calls that add up to a shortage although long pauses lie
// between them.
func TestEvidenceFades(t *testing.T) {
	for _, pause := range []time.Duration{10 * time.Millisecond, 10 * time.Second} {
		g := NewWithT(t)
		p := newPlayer()
		p.learn()
		for range 16 {
			p.start(0)
		}
		p.now = p.now.Add(10 * time.Second)
		p.playSlowCalls(4, pause)
		_, isShort := p.load()
		g.Expect(isShort).To(Equal(pause < time.Second))
	}
}

// playSlowCalls plays calls one after another.
func (p *player) playSlowCalls(calls int, pause time.Duration) {
	for range calls {
		call := p.start(pause)
		p.after(300*time.Millisecond, message.CallEnded{Ticket: call, Result: message.UpstreamAnswered{FirstByte: 1100 * time.Millisecond}})
	}
}
