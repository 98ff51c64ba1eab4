package ledger_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/failure"
	"github.com/sassafrasspur/sassafrasspur/internal/ledger"
	"github.com/sassafrasspur/sassafrasspur/internal/rows"
	"github.com/sassafrasspur/sassafrasspur/internal/standin/rowstore"
	"github.com/sassafrasspur/sassafrasspur/internal/timer"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

// newLedger returns the ledger of a VM whose time limits a busy machine does not reach.
func newLedger(store rows.Store) *ledger.Ledger {
	return ledger.New(store, timer.New(), ledger.WithTimeouts(time.Minute, time.Minute))
}

// longText returns a text of a size whose pieces differ.
func longText(name string, size int) []byte {
	var text strings.Builder
	for i := 0; text.Len() < size; i++ {
		fmt.Fprintf(&text, "%s %d;", name, i)
	}
	return []byte(text.String()[:size])
}

// TestLongTurns guards against a turn that has run and can't be stored, because its input,
// its output or both exceed one transaction of the store.
func TestLongTurns(t *testing.T) {
	ctx := context.Background()
	for _, size := range []struct{ input, output int }{
		{1 << 20, 40}, {850 << 10, 40}, {4 << 20, 40}, {40, 4 << 20}, {500 << 10, 500 << 10}, {640 << 10, 1}, {640 << 10, 0}, {0, 641 << 10},
	} {
		t.Run(fmt.Sprint(size.input, "+", size.output), func(t *testing.T) {
			g := NewWithT(t)
			store := rowstore.New()
			input, output := longText("in", size.input), longText("out", size.output)
			g.Expect(newLedger(store).Store(ctx, ledger.Turn{Program: "p", Turn: "long"}, input, output)).To(Succeed())
			other := newLedger(store)
			g.Expect(other.Store(ctx, ledger.Turn{Program: "p", Turn: "short", Previous: "long"}, []byte("short"), nil)).To(Succeed())
			var claimed unit.Bytes
			history, err := newLedger(store).History(ctx, ledger.Turn{Program: "p", Turn: "next", Previous: "short"}, func(size unit.Bytes) error {
				claimed = size
				return nil
			})
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(string(history) == string(input)+string(output)+"short").To(BeTrue(), "%d bytes", len(history))
			g.Expect(claimed).To(BeEquivalentTo(len(history)))
			ids, err := ledger.RowIDs(ctx, store, "p")
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(ids).To(HaveLen(store.Size()))
		})
	}
}

// TestInputStoredWhileTurnRuns guards against a long turn that is cut because a slow store
// takes all of its input only after the turn has completed.
func TestInputStoredWhileTurnRuns(t *testing.T) {
	g := NewWithT(t)
	store := rowstore.New()
	l := newLedger(store)
	recording := l.Record(t.Context(), ledger.Turn{Program: "p", Turn: "long"}, longText("in", 4<<20))
	commits := func() int { n, _ := store.Calls(); return n }
	g.Eventually(commits).Should(Equal(6))
	g.Consistently(commits, 50*time.Millisecond).Should(Equal(6))
	g.Expect(recording.Store(t.Context(), []byte("out"))).To(Succeed())
	g.Expect(commits()).To(Equal(7))
}

// TestSecondWriterOfLongTurn guards against a turn whose text is mixed with that of another
// request with its id.
func TestSecondWriterOfLongTurn(t *testing.T) {
	g := NewWithT(t)
	ctx, store := context.Background(), rowstore.New()
	turn := ledger.Turn{Program: "p", Turn: "long"}
	first, second := newLedger(store), newLedger(store)
	one := first.Record(ctx, turn, longText("one", 2<<20))
	two := second.Record(ctx, turn, longText("two", 2<<20))
	g.Expect(one.Store(ctx, nil)).To(Succeed())
	g.Expect(two.Store(ctx, nil)).NotTo(Succeed())
	history, err := second.History(ctx, ledger.Turn{Program: "p", Turn: "next", Previous: "long"}, nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(history) == string(longText("one", 2<<20))).To(BeTrue())
}

// pageStore counts the rows that a read returns at most.
type pageStore struct {
	rows.Store
	largest unit.Bytes
	reads   int
}

func (s *pageStore) Read(ctx context.Context, r rows.Range) (rows.Page, error) {
	page, err := s.Store.Read(ctx, r)
	var size unit.Bytes
	for _, row := range page.Rows {
		size += unit.Bytes(len(row.Value))
	}
	s.largest = max(s.largest, size)
	s.reads++
	return page, err
}

// TestHistoryInLongProgram guards against a VM that reads all turns of a program at once,
// and against a history that is read although there is no memory for it.
func TestHistoryInLongProgram(t *testing.T) {
	g := NewWithT(t)
	ctx, store := context.Background(), &pageStore{Store: rowstore.New()}
	writer := newLedger(store)
	for i := range 10 {
		turn := ledger.Turn{Program: "p", Turn: ident.RequestID(fmt.Sprint("branch-", i))}
		g.Expect(writer.Store(ctx, turn, longText("branch", 2<<20), nil)).To(Succeed())
	}
	g.Expect(writer.Store(ctx, ledger.Turn{Program: "p", Turn: "one", Previous: "branch-3"}, []byte("one"), nil)).To(Succeed())
	g.Expect(writer.Store(ctx, ledger.Turn{Program: "p", Turn: "two", Previous: "one"}, []byte("two"), nil)).To(Succeed())
	next := ledger.Turn{Program: "p", Turn: "next", Previous: "two"}
	history, err := newLedger(store).History(ctx, next, nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(history) == string(longText("branch", 2<<20))+"onetwo").To(BeTrue(), "%d bytes", len(history))
	g.Expect(store.largest).To(BeNumerically("<=", 1_000_000))
	g.Expect(store.reads).To(BeNumerically("<=", 6))
	_, err = ledger.RowIDs(ctx, store, "p")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(store.largest).To(BeNumerically("<=", 1_000_000))

	store.largest = 0
	noRoom := failure.Refusal(failure.Overloaded, time.Second, "no memory")
	_, err = newLedger(store).History(ctx, next, func(unit.Bytes) error { return noRoom })
	g.Expect(err).To(MatchError(failure.Overloaded))
	g.Expect(store.largest).To(BeNumerically("<=", 1_000_000))
}

// TestIDsOfCallers guards against turns that have run and can't be stored, because the
// store accepts no row with their id in its name, and against ids that share their rows.
func TestIDsOfCallers(t *testing.T) {
	g := NewWithT(t)
	ctx, store := context.Background(), rowstore.New()
	long := ident.RequestID(strings.Repeat("x", 5000))
	var previous ident.RequestID
	for _, id := range []ident.RequestID{long, long + "y", "\xff", "\xfe", "é"} {
		turn := ledger.Turn{Program: ident.ProgramID(long), Turn: id, Previous: previous}
		g.Expect(newLedger(store).Store(ctx, turn, []byte(id), nil)).To(Succeed())
		previous = id
	}
	for program, l := range map[ident.ProgramID]*ledger.Ledger{"other": newLedger(store), ident.ProgramID(long): newLedger(store)} {
		history, err := l.History(ctx, ledger.Turn{Program: program, Turn: "next", Previous: previous}, nil)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(string(history)).To(Equal(string(long + long + "y\xff\xfeé")))
	}
}
