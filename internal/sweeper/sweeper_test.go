package sweeper_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/escrow"
	"github.com/sassafrasspur/sassafrasspur/internal/ledger"
	"github.com/sassafrasspur/sassafrasspur/internal/rowfinder"
	"github.com/sassafrasspur/sassafrasspur/internal/standin/rowstore"
	"github.com/sassafrasspur/sassafrasspur/internal/sweeper"
	"github.com/sassafrasspur/sassafrasspur/internal/timer"
)

// Guards against rows of ended programs that accumulate in the store, and against
// removing a program that was used after it was listed.
func TestSweep(t *testing.T) {
	g := NewWithT(t)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	rowStore := rowstore.New()
	clock := timer.NewManual(time.Unix(1_000_000, 0))
	timers := timer.New(timer.WithManual(clock))
	turns := ledger.New(rowStore, timers)
	report := func(err error) { t.Error(err) }
	s := sweeper.New(ctx, rowStore, rowfinder.New(rowStore, timers), timers, "vm1", func() bool { return false }, report)
	budgets := escrow.New(ctx, rowStore, timers, escrow.WithOnUse(s.MarkUsed))
	use := func(p ident.ProgramID, turn int) {
		grant, err := budgets.Take(ctx, escrow.Request{Program: p, Budget: 1000, MaxTokens: 10})
		g.Expect(err).NotTo(HaveOccurred())
		id := ident.RequestID(fmt.Sprint(p, "-", turn))
		g.Expect(turns.Store(ctx, ledger.Turn{Program: p, Turn: id}, []byte("text"), nil)).To(Succeed())
		budgets.Return(grant, 1)
		budgets.Flush(ctx)
		s.WriteList(ctx)
	}
	for i := range 40 {
		use("ended", i)
	}
	use("used", 1)
	before := rowStore.Size()
	clock.Advance(10 * time.Minute)
	use("used", 2)
	s.Sweep(ctx)
	g.Expect(rowStore.Size()).To(BeNumerically(">=", before), "rows are kept for their retention period")
	// When the clock advances, the sweeper also writes its list concurrently.
	sizeAfterSweep := func() int {
		s.Sweep(ctx)
		return rowStore.Size()
	}
	clock.Advance(11 * time.Minute)
	g.Eventually(sizeAfterSweep).Should(BeNumerically("<", 15), "the rows of the ended program are removed")
	history, err := turns.History(ctx, ledger.Turn{Program: "used", Turn: "next", Previous: "used-1"}, nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(history)).To(Equal("text"))
	// A program that the last sweep found in use is listed again, by this call of
	// WriteList or by the sweeper after the clock advanced. Its listing period starts
	// now.
	clock.Advance(30 * time.Minute)
	s.WriteList(ctx)
	clock.Advance(30 * time.Minute)
	g.Eventually(sizeAfterSweep).Should(BeZero())
}
