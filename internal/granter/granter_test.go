package granter_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"
	. "github.com/onsi/gomega"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/escrow"
	"github.com/sassafrasspur/sassafrasspur/internal/failure"
	"github.com/sassafrasspur/sassafrasspur/internal/goldentest"
	"github.com/sassafrasspur/sassafrasspur/internal/granter"
	"github.com/sassafrasspur/sassafrasspur/internal/snapshot"
	"github.com/sassafrasspur/sassafrasspur/internal/timer"
	"github.com/sassafrasspur/sassafrasspur/internal/upstream"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

// peer responds to each call with the next entry of answers, and repeats the last
// one. It records the addresses that were asked.
type peer struct {
	answers  []string
	asked    []string
	returned escrow.Grant
}

func (p *peer) Take(ctx context.Context, address string, _ escrow.Request) (escrow.Grant, error) {
	return p.respond(ctx, address)
}

func (p *peer) respond(ctx context.Context, address string) (escrow.Grant, error) {
	p.asked = append(p.asked, address)
	answer := p.answers[0]
	if len(p.answers) > 1 {
		p.answers = p.answers[1:]
	}
	switch answer {
	case "silent":
		limited, cancel := context.WithTimeout(ctx, 250*time.Millisecond)
		defer cancel()
		<-limited.Done()
		return escrow.Grant{}, errors.Annotate(limited.Err(), "peer")
	case "unreachable":
		return escrow.Grant{}, errors.New("connect to peer: connection refused")
	case "busy":
		return escrow.Grant{}, failure.Refusal(failure.PlatformUnavailable, time.Second, "the store refused")
	case "spent":
		return escrow.Grant{}, failure.Refusal(failure.BudgetExhausted, 0, "spent")
	case "held":
		return escrow.Grant{}, failure.Refusal(failure.Overloaded, time.Second, "held")
	}
	return escrow.Grant{ID: "grant", Engine: upstream.Process{ID: "known-to-home"}}, nil
}

func (p *peer) Return(_ string, g escrow.Grant, _ unit.Tokens) { p.returned = g }

// localEscrow is the escrow of this VM. It grants a turn unless its context has
// ended.
type localEscrow struct{ *peer }

func (l localEscrow) Take(ctx context.Context, _ escrow.Request) (escrow.Grant, error) {
	l.asked = append(l.asked, "own")
	if ctx.Err() != nil {
		return escrow.Grant{}, failure.Refusal(failure.PlatformUnavailable, time.Second, "no time is left")
	}
	return escrow.Grant{ID: "grant", Engine: upstream.Process{ID: "known-here"}}, nil
}

func (l localEscrow) Return(g escrow.Grant, _ unit.Tokens) { l.returned = g }

// Guards against a second budget reservation while the home VM is waiting for the
// store, which multiplied the load on a store that recovered from an outage, and
// against turns that fail because their home VM is gone.
func TestGranter(t *testing.T) {
	NewWithT(t).Expect(goldentest.Check("testdata/*.txtar", func(line string) string {
		f := goldentest.Parse(line)
		p := &peer{answers: strings.Split(f["home"], ",")}
		members := []snapshot.Member{{VM: "home", Domain: "d", PeerAddress: "home"}}
		if f["home"] == "self" {
			members[0].VM = "self"
		}
		g := granter.New("self", localEscrow{p}, p, timer.New(), func() []snapshot.Member { return members })
		ctx, cancel := context.WithTimeout(context.Background(), f.Duration("left"))
		defer cancel()
		grant, err := g.Take(ctx, "d", escrow.Request{Program: "p", Budget: 10, MaxTokens: 1})
		outcome := "granted by " + string(grant.Holder)
		if err != nil {
			known := failure.From(err)
			outcome = fmt.Sprintf("refused %s not_run=%t", known.Kind, known.NotRun)
		}
		asked := strings.Join(p.asked, ",")
		if f.Has("many") {
			// The number of attempts depends on random backoff.
			asked = fmt.Sprintf("home more than once %t, own %t", strings.Count(asked, "home") > 1, strings.Contains(asked, "own"))
		}
		return outcome + "; asked " + asked
	})).To(Succeed())
}

// Guards against a program that loses its engine at each turn: the grant must carry the
// engine that its holder remembers, and its return the one that served the turn.
func TestEngineOfProgram(t *testing.T) {
	g := NewWithT(t)
	for _, c := range []struct{ home, remembered string }{{"granted", "known-to-home"}, {"unreachable", "known-here"}} {
		p := &peer{answers: []string{c.home}}
		members := []snapshot.Member{{VM: "home", Domain: "d", PeerAddress: "home"}}
		taker := granter.New("self", localEscrow{p}, p, timer.New(), func() []snapshot.Member { return members })
		grant, err := taker.Take(context.Background(), "d", escrow.Request{Program: "p", Budget: 10, MaxTokens: 1})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(grant.Engine).To(Equal(upstream.Process{ID: ident.UpstreamID(c.remembered)}))
		grant.Return(1, upstream.Process{ID: "served", Incarnation: 2})
		g.Expect(p.returned).To(Equal(escrow.Grant{ID: "grant", Engine: upstream.Process{ID: "served", Incarnation: 2}}))
	}
}
