package turnrecorder_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sassafrasspur/sassafrasspur/internal/clientaccount"
	"github.com/sassafrasspur/sassafrasspur/internal/failure"
	"github.com/sassafrasspur/sassafrasspur/internal/filter/turnrecorder"
	"github.com/sassafrasspur/sassafrasspur/internal/ledger"
	"github.com/sassafrasspur/sassafrasspur/internal/routing"
	"github.com/sassafrasspur/sassafrasspur/internal/standin/rowstore"
	"github.com/sassafrasspur/sassafrasspur/internal/timer"
	"github.com/sassafrasspur/sassafrasspur/internal/traffic"
)

// TestTurnOfAnotherAccount guards against a final answer for a turn that may belong to the
// account to which the key has moved, and against one that runs.
func TestTurnOfAnotherAccount(t *testing.T) {
	g := NewWithT(t)
	ctx, timers := context.Background(), timer.New()
	turns := ledger.New(rowstore.New(), timers)
	g.Expect(turns.Store(ctx, ledger.Turn{Program: "p", Turn: "one", Account: "a"}, nil, nil)).To(Succeed())
	serve := func(account *clientaccount.Account, unsure error) error {
		filter := turnrecorder.New("domain", nil, turns, timers,
			turnrecorder.WithConfirm(func(context.Context, *traffic.Exchange) error { return unsure }))
		return filter.Serve(ctx, &traffic.Exchange{
			Request: traffic.Request{ID: "two", Prompt: &traffic.Prompt{}, Program: &traffic.Program{ID: "p", Previous: "one"}},
			Route:   &routing.Route{Kind: routing.Stream{Retained: true}}, Table: routing.New(1, nil, nil, routing.Limits{}),
			Account: account, AccountsListed: true, Arrived: timers.Now(), Deadline: timers.Now().Add(time.Minute),
		}, func(context.Context, *traffic.Exchange) error { return nil })
	}
	stale := failure.Refusal(failure.ConfigurationStale, time.Second, "stale")
	g.Expect(serve(&clientaccount.Account{ID: "a"}, stale)).To(Succeed())
	g.Expect(serve(&clientaccount.Account{ID: "b"}, nil)).To(MatchError(failure.NotFound))
	g.Expect(serve(&clientaccount.Account{ID: "b"}, stale)).To(MatchError(failure.ConfigurationStale))
	g.Expect(serve(nil, nil)).To(MatchError(failure.NotFound))
}
