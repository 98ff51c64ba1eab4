package quotaenforcer_test

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/clientaccount"
	"github.com/sassafrasspur/sassafrasspur/internal/failure"
	"github.com/sassafrasspur/sassafrasspur/internal/filter/quotaenforcer"
	"github.com/sassafrasspur/sassafrasspur/internal/goldentest"
	"github.com/sassafrasspur/sassafrasspur/internal/quotakeeper"
	"github.com/sassafrasspur/sassafrasspur/internal/quotataker"
	"github.com/sassafrasspur/sassafrasspur/internal/routing"
	"github.com/sassafrasspur/sassafrasspur/internal/snapshot"
	"github.com/sassafrasspur/sassafrasspur/internal/timer"
	"github.com/sassafrasspur/sassafrasspur/internal/traffic"
	"github.com/sassafrasspur/sassafrasspur/platform"
)

// keeper grants a number of tokens, after a delay, or can't grant.
type keeper struct {
	timers  *timer.Service
	left    int
	delay   time.Duration
	away    bool
	further int
	first   int
}

func (k *keeper) Take(r quotakeeper.Request) quotakeeper.Answer {
	k.first, k.further = k.first+r.First, k.further+r.Further
	if k.delay > 0 {
		<-k.timers.After(k.delay).C
	}
	if k.away {
		return quotakeeper.Unavailable{Reason: quotakeeper.ListTooOld}
	}
	g := quotakeeper.Granted{Further: min(r.Further, k.left)}
	g.First = min(r.First, k.left-g.Further)
	k.left -= g.First + g.Further
	g.FirstRetry, g.FurtherRetry = 2*time.Second, time.Second
	return g
}

// counter counts decisions by outcome.
type counter map[string]int

func (c counter) CountQuota(_ ident.AccountID, outcome string) { c[outcome]++ }

// exchange returns the request of a line.
func exchange(f goldentest.Fields) *traffic.Exchange {
	x := &traffic.Exchange{Request: traffic.Request{ID: "request"}, Table: &routing.Table{Version: 7}}
	if !f.Has("anonymous") {
		x.Account = &clientaccount.Account{ID: "kantor", Quota: clientaccount.Quota{Rate: 2, Burst: 3}}
	}
	if f.Has("unlimited") {
		x.Account.Quota = clientaccount.Quota{}
	}
	if f.Has("program") {
		x.Request.Program = &traffic.Program{ID: ident.ProgramID(f["program"]), Previous: ident.RequestID(f["previous"])}
	}
	if !f.Has("tool") {
		x.Request.Prompt = &traffic.Prompt{}
	}
	return x
}

// run prepares and runs a request like the following filters, and counts its runs.
func run(ctx context.Context, timers *timer.Service, f goldentest.Fields, x *traffic.Exchange, runs *int) error {
	if prepare := f.Duration("prepare"); prepare > 0 {
		wait := timers.After(prepare)
		defer wait.Cancel()
		select {
		case <-wait.C:
		case <-ctx.Done():
			return failure.Refusal(failure.PlatformUnavailable, time.Second, "interrupted")
		}
	}
	if f.Has("unprepared") {
		return failure.Refusal(failure.BudgetExhausted, 0, "spent")
	}
	for range f.Int("runs") {
		if x.Permit != nil {
			if err := x.Permit(ctx); err != nil {
				return err
			}
		}
		*runs++
	}
	return nil
}

// decide serves the request of a line. Its keeper has left=N tokens and the request takes
// runs=N runs, after preparing for a time.
func decide(line string) string {
	f := goldentest.Parse(line)
	timers := timer.New()
	k := &keeper{timers: timers, left: f.Int("left"), delay: f.Duration("delay"), away: f.Has("away")}
	members := []snapshot.Member{{VM: "vm", Region: "west", RequestAddress: "r", PeerAddress: "p"}}
	taker := quotataker.New("vm", []ident.Region{"west"}, 250*time.Millisecond, k, nil, timers, func() []snapshot.Member { return members })
	var log bytes.Buffer
	counts := counter{}
	filter := quotaenforcer.New(taker, zerolog.New(&log), counts)
	runs := 0
	next := func(ctx context.Context, x *traffic.Exchange) error { return run(ctx, timers, f, x, &runs) }
	var out []string
	for range max(1, f.Int("requests")) {
		began := time.Now()
		err := filter.Serve(context.Background(), exchange(f), next)
		result := "served"
		if known := failure.From(err); known != nil {
			result = fmt.Sprintf("%s status=%d not_run=%t", known.Kind, platform.Status(known), known.NotRun)
			least := f.Duration("retry")
			most := 2 * least
			if f.Has("most") {
				most = f.Duration("most")
			}
			if least > 0 && (known.RetryAfter < least || known.RetryAfter > most) {
				result += fmt.Sprint(" retry_after=", known.RetryAfter)
			}
		}
		if limit := f.Duration("within"); limit > 0 && time.Since(began) > limit {
			result += " late"
		}
		out = append(out, result)
	}
	lines := strings.Count(log.String(), "\n")
	return fmt.Sprintf("%s; runs=%d first=%d further=%d left=%d counts=%v log_lines=%d complete=%t", strings.Join(out, ", "), runs, k.first, k.further, k.left,
		map[string]int(counts), lines, lines == 0 || strings.Contains(log.String(), `"account":"kantor","rate_per_s":2,"burst":3,"routes_version":7`) &&
			strings.Contains(log.String(), `"part":"west","keeper":"vm"`))
}

// Guards against requests that run without a token, a token that is lost with a request
// that did not run, a refusal that waits for the store, and requests of programs under way
// that are refused like new ones.
func TestEnforcer(t *testing.T) {
	NewWithT(t).Expect(goldentest.Check("testdata/*.txtar", decide)).To(Succeed())
}
