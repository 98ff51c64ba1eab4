package committer_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/committer"
	"github.com/sassafrasspur/sassafrasspur/internal/failure"
	"github.com/sassafrasspur/sassafrasspur/internal/outcome"
	"github.com/sassafrasspur/sassafrasspur/internal/record"
	"github.com/sassafrasspur/sassafrasspur/internal/rows"
	"github.com/sassafrasspur/sassafrasspur/internal/sequencer"
	"github.com/sassafrasspur/sassafrasspur/internal/standin/rowserver"
	"github.com/sassafrasspur/sassafrasspur/internal/standin/rowstore"
	"github.com/sassafrasspur/sassafrasspur/internal/timer"
	"github.com/sassafrasspur/sassafrasspur/platform"
)

// fixture is a store that is served over the platform's protocol, on which
// committers of several VMs can be created.
type fixture struct {
	rowStore *rowstore.Rowstore
	control  *rowserver.Control
	address  string
}

func newFixture(t *testing.T) *fixture {
	rowStore := rowstore.New()
	f := &fixture{rowStore: rowStore, control: rowserver.NewControl(rowStore)}
	server := httptest.NewServer(f.control.Handler(rowserver.New(rowStore)))
	t.Cleanup(server.Close)
	f.address = server.Listener.Addr().String()
	return f
}

func (f *fixture) vm(t *testing.T, name ident.VMID, options ...committer.Option) *committer.Committer {
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	holder := record.Holder{VM: name, Process: "1"}
	allAlive := func(record.Holder) bool { return true }
	return committer.New(ctx, platform.NewStore(f.address), timer.New(), sequencer.New(holder, allAlive), options...)
}

func submitRequest(call ident.CallID, position ident.Position, body string) sequencer.Submit {
	return sequencer.Submit{
		Program: "p", Team: "team", Repeatable: true, FirstSubmission: true,
		Request: record.Request{Call: call, Position: position, Pool: "desk", Body: body},
	}
}

func completeRequest(call ident.CallID, answer string) sequencer.Complete {
	return sequencer.Complete{
		AttemptID: record.AttemptID{Program: "p", Call: call, Attempt: 1},
		Answer:    record.Answer{Body: answer, Usage: record.Usage{Calls: 1}},
	}
}

var openRequest = sequencer.Open{Program: "p", Team: "team", Budget: record.Budget{Calls: 100, Tokens: 1}}

// Guards against a lost answer of the store being treated as a refusal: the
// committed records would be ignored, and the end of the call never recorded.
func TestLostAnswers(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(t)
	vm := f.vm(t, "a")
	ctx := context.Background()
	for _, r := range []sequencer.Request{openRequest, submitRequest("c1", 1, ""), completeRequest("c1", "done")} {
		f.control.Set(rowserver.Faults{LoseAnswers: 1})
		_, err := vm.Do(ctx, r)
		g.Expect(err).NotTo(HaveOccurred())
	}
	shown, err := f.vm(t, "b").Do(ctx, sequencer.Show{Program: "p"})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(shown.(outcome.Shown).View.Turns).To(HaveLen(1))
}

// Guards against an attempt that stays open because its request timed out while
// the store did not answer. Repeats of the call would wait for it forever.
func TestAbandonedStart(t *testing.T) {
	for name, faults := range map[string]rowserver.Faults{"lost": {LoseAnswers: 100}, "late": {ApplyLate: 1, Outage: false}} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			f := newFixture(t)
			vm := f.vm(t, "a", committer.WithStoreWait(time.Millisecond, time.Millisecond))
			ctx := context.Background()
			_, err := vm.Do(ctx, openRequest)
			g.Expect(err).NotTo(HaveOccurred())
			f.control.Set(faults)
			requests := 0
			f.rowStore.Inject(func(write bool) rowstore.Fault {
				requests++
				switch {
				case !write || requests > 1:
					return rowstore.Refuse{}
				case name == "late":
					return rowstore.ApplyLate{}
				}
				return rowstore.LoseAnswer{}
			})
			_, err = vm.Do(ctx, submitRequest("c1", 1, ""))
			g.Expect(failure.Is(err, failure.PlatformUnavailable)).To(BeTrue(), "%v", err)
			g.Expect(failure.From(err).NotRun).To(BeFalse(), "the start may have been recorded")
			f.rowStore.Inject(func(bool) rowstore.Fault { return nil })
			time.Sleep(1500 * time.Millisecond)
			f.rowStore.ApplyHeldBack()
			repeat := submitRequest("c1", 1, "")
			repeat.FirstSubmission = false
			boundedCtx, cancel := context.WithTimeout(ctx, 5*time.Second)
			defer cancel()
			o, err := f.vm(t, "b").Do(boundedCtx, repeat)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(o).To(BeAssignableToTypeOf(outcome.Run{}))
		})
	}
}

// Guards against a waiting request that misses the answer of the call, on the VM
// that runs the call and on another VM.
func TestWait(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(t)
	a, b := f.vm(t, "a"), f.vm(t, "b")
	ctx := context.Background()
	_, err := a.Do(ctx, openRequest)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = a.Do(ctx, submitRequest("c1", 1, ""))
	g.Expect(err).NotTo(HaveOccurred())
	answers := make(chan outcome.Outcome, 2)
	for _, vm := range []*committer.Committer{a, b} {
		go func() {
			o, _ := vm.Do(ctx, submitRequest("c1", 1, ""))
			answers <- o
		}()
	}
	g.Consistently(answers, "300ms").ShouldNot(Receive())
	_, err = a.Do(ctx, completeRequest("c1", "done"))
	g.Expect(err).NotTo(HaveOccurred())
	for range 2 {
		g.Eventually(answers, "2s").Should(Receive(BeAssignableToTypeOf(outcome.Replay{})))
	}
}

// Guards against truncated or unreadable history when a body exceeds the size of
// one row, against a call whose answer is lost after it has run because it exceeds one
// transaction, and against a body without a limit.
func TestLargeTexts(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(t)
	a, b := f.vm(t, "a"), f.vm(t, "b")
	ctx := context.Background()
	_, err := a.Do(ctx, openRequest)
	g.Expect(err).NotTo(HaveOccurred())
	want := ""
	for i, size := range []int{250_000, 640 << 10, 1 << 20, 4 << 20} {
		call := ident.CallID(fmt.Sprint("c", i))
		body := strings.Repeat(fmt.Sprint(i), size)
		vm := []*committer.Committer{a, b}[i%2]
		o, err := vm.Do(ctx, submitRequest(call, ident.Position(i+1), body))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(o.(outcome.Run).History).To(HaveLen(i))
		_, err = vm.Do(ctx, completeRequest(call, body))
		g.Expect(err).NotTo(HaveOccurred())
		want += body
	}
	shown, err := f.vm(t, "c").Do(ctx, sequencer.Show{Program: "p"})
	g.Expect(err).NotTo(HaveOccurred())
	got := ""
	for _, turn := range shown.(outcome.Shown).View.Turns {
		g.Expect(turn.Answer.Body).To(Equal(turn.Body))
		got += turn.Body
	}
	g.Expect(got).To(Equal(want))
	_, err = a.Do(ctx, submitRequest("large", 5, strings.Repeat("x", 26<<20)))
	g.Expect(failure.Is(err, failure.TooLarge)).To(BeTrue(), "%v", err)
}

// Guards against batches that are appended to a removed tree: without the earlier
// batches, no VM could read them.
func TestRemovedTree(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(t)
	vm := f.vm(t, "a")
	ctx := context.Background()
	_, err := vm.Do(ctx, openRequest)
	g.Expect(err).NotTo(HaveOccurred())
	stored, err := committer.RowIDs(ctx, f.rowStore, "p")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(stored).NotTo(BeEmpty())
	for _, id := range stored {
		_, err := f.rowStore.Commit(ctx, removal(id))
		g.Expect(err).NotTo(HaveOccurred())
	}
	_, err = vm.Do(ctx, submitRequest("c1", 1, ""))
	g.Expect(failure.Is(err, failure.NotFound)).To(BeTrue(), "%v", err)
	g.Expect(f.rowStore.Size()).To(BeZero())
}

func removal(id rows.ID) rows.Transaction { return rows.Transaction{Removes: []rows.ID{id}} }

// Guards against a tree that can't be read, or mixes two answers, because a batch of several
// transactions was begun and not appended, or by two VMs at once.
func TestUnfinishedBatch(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(t)
	ctx := context.Background()
	a, b := f.vm(t, "a"), f.vm(t, "b")
	_, err := a.Do(ctx, openRequest)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = a.Do(ctx, submitRequest("c1", 1, "in"))
	g.Expect(err).NotTo(HaveOccurred())
	long := strings.Repeat("long", 1<<19)
	f.control.Set(rowserver.Faults{LoseAnswers: 3})
	answers := make(chan error)
	for _, vm := range []*committer.Committer{a, b} {
		go func() {
			_, err := vm.Do(ctx, completeRequest("c1", long))
			answers <- err
		}()
	}
	// The slower of the two finds the attempt ended.
	first, second := <-answers, <-answers
	g.Expect(first == nil || second == nil).To(BeTrue(), "%v; %v", first, second)
	_, err = b.Do(ctx, submitRequest("c2", 2, "next"))
	g.Expect(err).NotTo(HaveOccurred())
	shown, err := f.vm(t, "c").Do(ctx, sequencer.Show{Program: "p"})
	g.Expect(err).NotTo(HaveOccurred())
	turns := shown.(outcome.Shown).View.Turns
	g.Expect(turns).To(HaveLen(1))
	g.Expect(turns[0].Answer.Body == long).To(BeTrue())
	ids, err := committer.RowIDs(ctx, f.rowStore, "p")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(ids).To(HaveLen(f.rowStore.Size()))
}
