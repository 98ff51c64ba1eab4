package turnrecorder_test

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/clientaccount"
	"github.com/sassafrasspur/sassafrasspur/internal/escrow"
	"github.com/sassafrasspur/sassafrasspur/internal/evictor"
	"github.com/sassafrasspur/sassafrasspur/internal/failure"
	"github.com/sassafrasspur/sassafrasspur/internal/filter/turnrecorder"
	"github.com/sassafrasspur/sassafrasspur/internal/granter"
	"github.com/sassafrasspur/sassafrasspur/internal/ledger"
	"github.com/sassafrasspur/sassafrasspur/internal/memorylimiter"
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

// TestLongTurnIsKept guards against a turn of legal size that has run and is lost, because
// its input can't be stored in one transaction.
func TestLongTurnIsKept(t *testing.T) {
	for _, input := range []int{850 << 10, 1 << 20, 1<<20 + 1, 4 << 20} {
		g := NewWithT(t)
		timers := timer.New()
		turns := ledger.New(rowstore.New(), timers, ledger.WithTimeouts(time.Minute, time.Minute))
		filter := turnrecorder.New("domain", nil, turns, timers)
		responder := &endedResponder{}
		g.Expect(filter.Serve(t.Context(), &traffic.Exchange{
			Request: traffic.Request{ID: "one", Prompt: &traffic.Prompt{}, Program: &traffic.Program{ID: "p"}, Body: make([]byte, input)},
			Route:   &routing.Route{Kind: routing.Stream{Retained: true}}, Responder: responder,
			Arrived: timers.Now(), Deadline: timers.Now().Add(time.Minute),
		}, func(_ context.Context, x *traffic.Exchange) error {
			return errors.Join(x.Responder.Begin(http.StatusOK, nil), x.Responder.Event(upstream.Event{ID: 1, Data: []byte("out")}), x.Responder.End())
		})).To(Succeed())
		g.Expect(responder.isEnded).To(BeTrue())
		history, err := turns.History(t.Context(), ledger.Turn{Program: "p", Turn: "two", Previous: "one"}, nil)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(history).To(HaveLen(input + len("out\n")))
	}
}

// endedResponder records whether a stream was completed.
type endedResponder struct {
	countingResponder
	isEnded bool
}

func (r *endedResponder) Begin(int, http.Header) error { return nil }

func (r *endedResponder) Event(upstream.Event) error { return nil }

func (r *endedResponder) End() error {
	r.isEnded = true
	return nil
}

// TestOutputTooLongToStore guards against an output that grows until the process has no
// memory.
func TestOutputTooLongToStore(t *testing.T) {
	g := NewWithT(t)
	timers := timer.New()
	filter := turnrecorder.New("domain", nil, ledger.New(rowstore.New(), timers), timers)
	sent := 0
	err := filter.Serve(t.Context(), &traffic.Exchange{
		Request: traffic.Request{ID: "one", Prompt: &traffic.Prompt{}, Program: &traffic.Program{ID: "p"}, Body: make([]byte, 4<<20)},
		Route:   &routing.Route{Kind: routing.Stream{Retained: true}}, Responder: countingResponder{events: &sent},
		Arrived: timers.Now(), Deadline: timers.Now().Add(time.Minute),
	}, func(_ context.Context, x *traffic.Exchange) error {
		for {
			if err := x.Responder.Event(upstream.Event{ID: 1, Data: make([]byte, 1<<20-1)}); err != nil {
				return err
			}
		}
	})
	g.Expect(err).To(MatchError(failure.UpstreamFailed))
	g.Expect(sent).To(Equal(4))
}

// TestHistoryWithoutMemory guards against a history that is read, or a turn that runs, for
// which there is no memory, and against a caller that is told to repeat a turn for which a
// VM never has memory.
func TestHistoryWithoutMemory(t *testing.T) {
	g := NewWithT(t)
	timers := timer.New()
	turns := ledger.New(rowstore.New(), timers)
	g.Expect(turns.Store(t.Context(), ledger.Turn{Program: "p", Turn: "one"}, make([]byte, 1<<20), nil)).To(Succeed())
	memory := memorylimiter.New(4<<20, 1<<20, 128<<10, timers, func() float64 { return 0 })
	filter := turnrecorder.New("domain", nil, turns, timers)
	serve := func(turn ident.RequestID) error {
		claim := memory.NewClaim(func() {})
		defer claim.Release()
		return filter.Serve(memorylimiter.NewContext(t.Context(), claim), &traffic.Exchange{
			Request: traffic.Request{ID: "next", Prompt: &traffic.Prompt{}, Program: &traffic.Program{ID: "p", Previous: turn}},
			Route:   &routing.Route{Kind: routing.Stream{Retained: true}},
			Arrived: timers.Now(), Deadline: timers.Now().Add(time.Minute),
		}, func(context.Context, *traffic.Exchange) error { return nil })
	}
	g.Expect(serve("one")).To(Succeed())
	g.Expect(memory.Used()).To(BeZero())

	other := memory.NewClaim(func() {})
	g.Expect(other.Enter(evictor.Running{})).To(Succeed())
	g.Expect(other.Grow(2 << 20)).To(Succeed())
	err := serve("one")
	g.Expect(err).To(MatchError(failure.Overloaded))
	g.Expect(failure.From(err).NotRun).To(BeTrue())
	other.Release()

	g.Expect(turns.Store(t.Context(), ledger.Turn{Program: "p", Turn: "two", Previous: "one"}, make([]byte, 1<<20), nil)).To(Succeed())
	err = serve("two")
	g.Expect(err).To(MatchError(failure.TooLarge))
	g.Expect(failure.From(err).NotRun).To(BeTrue())
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
