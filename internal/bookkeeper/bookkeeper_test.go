package bookkeeper_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/bookkeeper"
	"github.com/sassafrasspur/sassafrasspur/internal/failure"
	"github.com/sassafrasspur/sassafrasspur/internal/outcome"
	"github.com/sassafrasspur/sassafrasspur/internal/record"
	"github.com/sassafrasspur/sassafrasspur/internal/rows"
	"github.com/sassafrasspur/sassafrasspur/internal/sequencer"
	"github.com/sassafrasspur/sassafrasspur/internal/standin/rowkeeper"
	"github.com/sassafrasspur/sassafrasspur/internal/standin/rowserver"
	"github.com/sassafrasspur/sassafrasspur/internal/timer"
	"github.com/sassafrasspur/sassafrasspur/platform"
)

// world is a store behind the platform's protocol, and VMs on it.
type world struct {
	keeper  *rowkeeper.Rowkeeper
	control *rowserver.Control
	address string
}

func newWorld(t *testing.T) *world {
	keeper := rowkeeper.New()
	w := &world{keeper: keeper, control: rowserver.NewControl(keeper)}
	server := httptest.NewServer(w.control.Handler(rowserver.New(keeper)))
	t.Cleanup(server.Close)
	w.address = server.Listener.Addr().String()
	return w
}

func (w *world) vm(t *testing.T, name ident.VMID, options ...bookkeeper.Option) *bookkeeper.Bookkeeper {
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	holder := record.Holder{VM: name, Process: "1"}
	everyone := func(record.Holder) bool { return true }
	return bookkeeper.New(ctx, platform.NewStore(w.address), timer.New(), sequencer.New(holder, everyone), options...)
}

func arrival(call ident.CallID, position ident.Position, body string) sequencer.Arrive {
	return sequencer.Arrive{
		Program: "p", Team: "team", Repeatable: true, First: true,
		Request: record.Request{Call: call, Position: position, Pool: "desk", Body: body},
	}
}

func complete(call ident.CallID, answer string) sequencer.Complete {
	return sequencer.Complete{
		AttemptID: record.AttemptID{Program: "p", Call: call, Attempt: 1},
		Answer:    record.Answer{Body: answer, Usage: record.Usage{Calls: 1}},
	}
}

var opening = sequencer.Open{Program: "p", Team: "team", Budget: record.Budget{Calls: 100, Tokens: 1}}

// Guards against an answer that was lost on the way being taken for a refusal,
// so that what was recorded is never found and its end is never recorded.
func TestLostAnswers(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(t)
	vm := w.vm(t, "a")
	ctx := context.Background()
	for _, r := range []sequencer.Request{opening, arrival("c1", 1, ""), complete("c1", "done")} {
		w.control.Set(rowserver.Faults{LoseAnswers: 1})
		_, err := vm.Do(ctx, r)
		g.Expect(err).NotTo(HaveOccurred())
	}
	shown, err := w.vm(t, "b").Do(ctx, sequencer.Show{Program: "p"})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(shown.(outcome.Shown).View.Turns).To(HaveLen(1))
}

// Guards against an attempt that stays open because its request was given up
// while the store did not answer: the call would wait for it for ever.
func TestAbandonedStart(t *testing.T) {
	for name, faults := range map[string]rowserver.Faults{"lost": {LoseAnswers: 100}, "late": {ApplyLate: 1, Outage: false}} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			w := newWorld(t)
			vm := w.vm(t, "a", bookkeeper.WithStoreWait(time.Millisecond, time.Millisecond))
			ctx := context.Background()
			_, err := vm.Do(ctx, opening)
			g.Expect(err).NotTo(HaveOccurred())
			w.control.Set(faults)
			reads := 0
			w.keeper.Inject(func(write bool) rowkeeper.Fault {
				reads++
				switch {
				case !write || reads > 1:
					return rowkeeper.Refuse{}
				case name == "late":
					return rowkeeper.ApplyLate{}
				}
				return rowkeeper.LoseAnswer{}
			})
			_, err = vm.Do(ctx, arrival("c1", 1, ""))
			g.Expect(failure.Is(err, failure.PlatformUnavailable)).To(BeTrue(), "%v", err)
			g.Expect(failure.From(err).NotRun).To(BeFalse(), "the start may be on record")
			w.keeper.Inject(func(bool) rowkeeper.Fault { return nil })
			time.Sleep(1500 * time.Millisecond)
			w.keeper.Settle()
			repeat := arrival("c1", 1, "")
			repeat.First = false
			limited, cancel := context.WithTimeout(ctx, 5*time.Second)
			defer cancel()
			o, err := w.vm(t, "b").Do(limited, repeat)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(o).To(BeAssignableToTypeOf(outcome.Run{}))
		})
	}
}

// Guards against a waiting request that misses the answer, on the VM of the call
// and on another one.
func TestWait(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(t)
	a, b := w.vm(t, "a"), w.vm(t, "b")
	ctx := context.Background()
	_, err := a.Do(ctx, opening)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = a.Do(ctx, arrival("c1", 1, ""))
	g.Expect(err).NotTo(HaveOccurred())
	answers := make(chan outcome.Outcome, 2)
	for _, vm := range []*bookkeeper.Bookkeeper{a, b} {
		go func() {
			o, _ := vm.Do(ctx, arrival("c1", 1, ""))
			answers <- o
		}()
	}
	g.Consistently(answers, "300ms").ShouldNot(Receive())
	_, err = a.Do(ctx, complete("c1", "done"))
	g.Expect(err).NotTo(HaveOccurred())
	for range 2 {
		g.Eventually(answers, "2s").Should(Receive(BeAssignableToTypeOf(outcome.Replay{})))
	}
}

// Guards against texts that do not fit into one row, or into one transaction.
func TestLargeTexts(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(t)
	a, b := w.vm(t, "a"), w.vm(t, "b")
	ctx := context.Background()
	_, err := a.Do(ctx, opening)
	g.Expect(err).NotTo(HaveOccurred())
	want := ""
	for i := range 3 {
		call := ident.CallID(fmt.Sprint("c", i))
		body := strings.Repeat(fmt.Sprint(i), 250_000)
		vm := []*bookkeeper.Bookkeeper{a, b}[i%2]
		o, err := vm.Do(ctx, arrival(call, ident.Position(i+1), body))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(o.(outcome.Run).History).To(HaveLen(i))
		_, err = vm.Do(ctx, complete(call, body))
		g.Expect(err).NotTo(HaveOccurred())
		want += body
	}
	shown, err := w.vm(t, "c").Do(ctx, sequencer.Show{Program: "p"})
	g.Expect(err).NotTo(HaveOccurred())
	got := ""
	for _, turn := range shown.(outcome.Shown).View.Turns {
		g.Expect(turn.Answer.Body).To(Equal(turn.Body))
		got += turn.Body
	}
	g.Expect(got).To(Equal(want))
	_, err = a.Do(ctx, arrival("large", 4, strings.Repeat("x", 1<<20)))
	g.Expect(failure.Is(err, failure.TooLarge)).To(BeTrue(), "%v", err)
}

// Guards against records of a tree that was removed, which no VM could read.
func TestRemovedTree(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(t)
	vm := w.vm(t, "a")
	ctx := context.Background()
	_, err := vm.Do(ctx, opening)
	g.Expect(err).NotTo(HaveOccurred())
	stored, err := bookkeeper.Stored(ctx, w.keeper, "p")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(stored).NotTo(BeEmpty())
	for _, id := range stored {
		_, err := w.keeper.Commit(ctx, rowsRemoval(id))
		g.Expect(err).NotTo(HaveOccurred())
	}
	_, err = vm.Do(ctx, arrival("c1", 1, ""))
	g.Expect(failure.Is(err, failure.NotFound)).To(BeTrue(), "%v", err)
	g.Expect(w.keeper.Size()).To(BeZero())
}

func rowsRemoval(id rows.ID) rows.Transaction { return rows.Transaction{Removes: []rows.ID{id}} }
