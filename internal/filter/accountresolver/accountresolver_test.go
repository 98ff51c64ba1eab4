package accountresolver_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/clientaccount"
	"github.com/sassafrasspur/sassafrasspur/internal/failure"
	"github.com/sassafrasspur/sassafrasspur/internal/filter/accountresolver"
	"github.com/sassafrasspur/sassafrasspur/internal/goldentest"
	"github.com/sassafrasspur/sassafrasspur/internal/keychecker"
	"github.com/sassafrasspur/sassafrasspur/internal/message"
	"github.com/sassafrasspur/sassafrasspur/internal/routing"
	"github.com/sassafrasspur/sassafrasspur/internal/snapshot"
	"github.com/sassafrasspur/sassafrasspur/internal/timer"
	"github.com/sassafrasspur/sassafrasspur/internal/traffic"
)

// control has a snapshot, and a later one, unless it is nil, that is published when a newer
// proof is requested. The wait for it ends then.
type control struct {
	clock       *timer.Manual
	view, later *snapshot.Snapshot
	changed     chan struct{}
	requests    int
}

func (c *control) Snapshot() *snapshot.Snapshot { return c.view }

func (c *control) Changed() <-chan struct{} { return c.changed }

func (c *control) Post(message.Message) {
	c.requests++
	if c.later != nil {
		c.view, c.later = c.later, nil
	}
	c.clock.Advance(400 * time.Millisecond)
}

// view returns a snapshot with the keys, the age and the state of the routes in the fields
// of a line that begin with a prefix.
func view(f goldentest.Fields, prefix string, timers *timer.Service) *snapshot.Snapshot {
	var entries []clientaccount.Entry
	for i, keys := range strings.Split(f[prefix+"keys"], ",") {
		key, account, _ := strings.Cut(keys, ":")
		entries = append(entries, clientaccount.Entry{
			Account: clientaccount.Account{ID: ident.AccountID(account), Priority: i}, Keys: []clientaccount.Key{clientaccount.Key(key)},
		})
	}
	var options []routing.Option
	if f.Has(prefix + "keys") {
		options = append(options, routing.WithAccounts(clientaccount.NewDirectory(entries)))
	}
	v := &snapshot.Snapshot{}
	v.Entry.Routes, v.Entry.RoutesAsOf = routing.New(1, nil, nil, routing.Limits{}, options...), timers.Now()
	v.Entry.RoutesUnanswered = f.Has(prefix + "unanswered")
	if f.Has(prefix + "proof") {
		v.Entry.RoutesProvenAt = timers.Boot().Add(-f.Duration(prefix + "proof"))
	}
	return v
}

func describe(x *traffic.Exchange, err error) string {
	account := "account=" + string(x.AccountID())
	known := failure.From(err)
	if known == nil {
		return fmt.Sprintf("%s listed=%t priority=%d", account, x.AccountsListed, x.Priority())
	}
	jittered := known.RetryAfter >= 300*time.Millisecond && known.RetryAfter <= 900*time.Millisecond
	return fmt.Sprintf("%s %s not_run=%t retry=%t", account, known.Kind, known.NotRun, jittered)
}

// resolve passes the request of a line through the filter. If the line has a change of the
// routes after that, it checks the key again, as before a send, or the account.
func resolve(line string) string {
	f := goldentest.Parse(line)
	clock := timer.NewManual(time.Unix(1000, 0))
	timers := timer.New(timer.WithManual(clock))
	c := &control{clock: clock, view: view(f, "", timers), changed: make(chan struct{})}
	if f.Has("renewed_proof") {
		c.later = view(f, "renewed_", timers)
	}
	keys := keychecker.New(c, timers, keychecker.WithRevocationLimit(f.Duration("limit")))
	clock.Suspend(f.Duration("suspended"))
	x := &traffic.Exchange{
		Request: traffic.Request{Key: clientaccount.Key(f["key"])}, Route: &routing.Route{Public: f.Has("public"), Priority: 9},
	}
	err := accountresolver.New(keys).Serve(context.Background(), x, func(context.Context, *traffic.Exchange) error { return nil })
	out := describe(x, err)
	if f.Has("confirm") {
		out += " confirmed: " + describe(x, keys.Confirm(context.Background(), x))
	}
	if f.Has("then") {
		c.view = view(f, "then_", timers)
		out += " then: " + describe(x, keys.Check(context.Background(), x))
	}
	return fmt.Sprintf("%s requests=%d", out, c.requests)
}

// TestAccounts guards against a removed key that is still used, an answer 401 or an account
// that are not certain, a refusal without a random delay, requests on public routes that
// are refused, and accounts in a deployment that has none.
func TestAccounts(t *testing.T) {
	NewWithT(t).Expect(goldentest.Check("testdata/*.txtar", resolve)).To(Succeed())
}
