package turnrecorder_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/clientaccount"
	"github.com/sassafrasspur/sassafrasspur/internal/escrow"
	"github.com/sassafrasspur/sassafrasspur/internal/failure"
	"github.com/sassafrasspur/sassafrasspur/internal/filter/turnrecorder"
	"github.com/sassafrasspur/sassafrasspur/internal/granter"
	"github.com/sassafrasspur/sassafrasspur/internal/ledger"
	"github.com/sassafrasspur/sassafrasspur/internal/routing"
	"github.com/sassafrasspur/sassafrasspur/internal/rows"
	"github.com/sassafrasspur/sassafrasspur/internal/snapshot"
	"github.com/sassafrasspur/sassafrasspur/internal/standin/rowstore"
	"github.com/sassafrasspur/sassafrasspur/internal/timer"
	"github.com/sassafrasspur/sassafrasspur/internal/traffic"
	"github.com/sassafrasspur/sassafrasspur/internal/upstream"
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

// hangingStore answers no read until the read is given up, and keeps the reason.
type hangingStore struct {
	rows.Store
	reason error
}

func (s *hangingStore) Read(ctx context.Context, _ rows.Range) (rows.Page, error) {
	<-ctx.Done()
	s.reason = ctx.Err()
	return rows.Page{}, ctx.Err()
}

// TestRefusedTurnDoesNotWait guards against a turn beyond its budget that is refused only
// once its history has been read, while the store does not answer.
func TestRefusedTurnDoesNotWait(t *testing.T) {
	g := NewWithT(t)
	timers, store := timer.New(), &hangingStore{}
	budgets := escrow.New(t.Context(), rowstore.New(), timers)
	filter := turnrecorder.New("domain", granter.New("self", budgets, nil, timers, func() []snapshot.Member { return nil }), ledger.New(store, timers), timers)
	err := filter.Serve(t.Context(), &traffic.Exchange{
		Request: traffic.Request{ID: "two", Prompt: &traffic.Prompt{Output: 11}, Program: &traffic.Program{ID: "p", Budget: 10, Previous: "one"}},
		Route:   &routing.Route{Kind: routing.Stream{Retained: true}}, Table: routing.New(1, nil, nil, routing.Limits{}),
		Arrived: timers.Now(), Deadline: timers.Now().Add(time.Minute),
	}, nil)
	g.Expect(err).To(MatchError(failure.BudgetExhausted))
	g.Expect(store.reason).To(Or(BeNil(), MatchError(context.Canceled)))
}

// TestRefusedTurnReturnsGrant guards against a budget that a turn without a history keeps
// reserved, so that the next turn is refused for good.
func TestRefusedTurnReturnsGrant(t *testing.T) {
	g := NewWithT(t)
	timers, store := timer.New(), rowstore.New()
	budgets := granter.New("self", escrow.New(t.Context(), store, timers), nil, timers, func() []snapshot.Member { return nil })
	filter := turnrecorder.New("domain", budgets, ledger.New(store, timers), timers)
	serve := func(previous ident.RequestID) error {
		return filter.Serve(t.Context(), &traffic.Exchange{
			Request: traffic.Request{ID: "two", Prompt: &traffic.Prompt{Output: 10}, Program: &traffic.Program{ID: "p", Budget: 10, Previous: previous}},
			Route:   &routing.Route{Kind: routing.Stream{Retained: true}}, Table: routing.New(1, nil, nil, routing.Limits{}),
			Arrived: timers.Now(), Deadline: timers.Now().Add(time.Minute),
		}, func(context.Context, *traffic.Exchange) error { return nil })
	}
	g.Expect(serve("missing")).To(MatchError(failure.NotFound))
	g.Expect(serve("")).To(Succeed())
}

// completedResponder records whether a complete answer was sent.
type completedResponder struct {
	traffic.Responder
	isSent bool
}

func (r *completedResponder) Complete(upstream.Complete) error {
	r.isSent = true
	return nil
}

// TestAnswerThatIsNoStream guards against a turn that its caller takes for whole although
// it is not stored, so that no later turn can continue it.
func TestAnswerThatIsNoStream(t *testing.T) {
	g := NewWithT(t)
	timers := timer.New()
	filter := turnrecorder.New("domain", nil, ledger.New(rowstore.New(), timers), timers)
	for status, isPassedOn := range map[int]bool{http.StatusOK: false, http.StatusNoContent: false, http.StatusInternalServerError: true} {
		responder := &completedResponder{}
		err := filter.Serve(t.Context(), &traffic.Exchange{
			Request: traffic.Request{ID: "one", Prompt: &traffic.Prompt{}, Program: &traffic.Program{ID: "p"}},
			Route:   &routing.Route{Kind: routing.Stream{Retained: true}}, Responder: responder,
			Arrived: timers.Now(), Deadline: timers.Now().Add(time.Minute),
		}, func(_ context.Context, x *traffic.Exchange) error {
			return x.Responder.Complete(upstream.Complete{Status: status})
		})
		g.Expect(responder.isSent).To(Equal(isPassedOn), "status %d", status)
		g.Expect(err == nil).To(Equal(isPassedOn), "status %d", status)
	}
}

// TestTurnTooLongToStore guards against a turn that runs although it can't be stored, and
// against an output that grows until the process has no memory.
func TestTurnTooLongToStore(t *testing.T) {
	g := NewWithT(t)
	timers := timer.New()
	filter := turnrecorder.New("domain", nil, ledger.New(rowstore.New(), timers), timers)
	runs, sent := 0, 0
	serve := func(input int) error {
		return filter.Serve(t.Context(), &traffic.Exchange{
			Request: traffic.Request{ID: "one", Prompt: &traffic.Prompt{}, Program: &traffic.Program{ID: "p"}, Body: make([]byte, input)},
			Route:   &routing.Route{Kind: routing.Stream{Retained: true}}, Responder: countingResponder{events: &sent},
			Arrived: timers.Now(), Deadline: timers.Now().Add(time.Minute),
		}, func(_ context.Context, x *traffic.Exchange) error {
			for runs++; ; {
				if err := x.Responder.Event(upstream.Event{ID: 1, Data: make([]byte, 100<<10)}); err != nil {
					return err
				}
			}
		})
	}
	g.Expect(serve(ledger.MaxTextBytes + 1)).To(MatchError(failure.TooLarge))
	g.Expect(runs).To(BeZero())
	g.Expect(serve(500 << 10)).To(MatchError(failure.UpstreamFailed))
	g.Expect(runs).To(Equal(1))
	g.Expect(sent).To(Equal(5))
}

// countingResponder counts the events that are sent.
type countingResponder struct {
	traffic.Responder
	events *int
}

func (r countingResponder) Event(upstream.Event) error {
	*r.events++
	return nil
}
