package subscriber_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/clientaccount"
	"github.com/sassafrasspur/sassafrasspur/internal/effect"
	"github.com/sassafrasspur/sassafrasspur/internal/goldentest"
	"github.com/sassafrasspur/sassafrasspur/internal/message"
	"github.com/sassafrasspur/sassafrasspur/internal/routing"
	"github.com/sassafrasspur/sassafrasspur/internal/rows"
	"github.com/sassafrasspur/sassafrasspur/internal/snapshot"
	"github.com/sassafrasspur/sassafrasspur/internal/subscriber"
	"github.com/sassafrasspur/sassafrasspur/internal/timer"
)

// storeClock is the reading of the store's clock at the start of a test.
const storeClock = 5 * time.Hour

// decodeWithAccounts returns routes with an empty list of accounts, or without one if the
// row ends in "plain".
func decodeWithAccounts(row rows.Row) (*routing.Table, error) {
	var version ident.Version
	if _, err := fmt.Sscanf(string(row.Value), "%d", &version); err != nil {
		return nil, err
	}
	if strings.HasSuffix(string(row.Value), "plain") {
		return routing.New(version, nil, nil, routing.Limits{}), nil
	}
	return routing.New(version, nil, nil, routing.Limits{}, routing.WithAccounts(clientaccount.NewDirectory(nil))), nil
}

// newProofDecider returns a function that runs the lines of a golden file on one
// controller. A line has the time that passes, for how much of it the VM was suspended,
// and an answer: how long the read took, the highest version known when it was sent, the
// version of the answer, how old its state is, and a row.
func newProofDecider() func(line string) string {
	start := time.Unix(0, 0)
	clock := timer.NewManual(start)
	timers := timer.New(timer.WithManual(clock))
	first := timers.Boot()
	limit := 5 * time.Second
	var s *subscriber.Subscriber
	var storeShift time.Duration
	return func(line string) string {
		f := goldentest.Parse(line)
		clock.Advance(f.Duration("after"))
		clock.Suspend(f.Duration("suspended"))
		if f.Has("start") {
			if f.Has("limit") {
				limit = f.Duration("limit")
			}
			s = subscriber.New(table, decodeWithAccounts, func(error) {}, subscriber.WithRoutesLimit(4*time.Second), subscriber.WithRevocationLimit(limit))
			s.Handle(timers.Now(), message.Started{})
			storeShift = 0
			return ""
		}
		storeShift += f.Duration("store_clock_set")
		boot := timers.Boot()
		page := rows.Page{
			Version: rows.Version(f.Int("store")),
			Clock:   rows.Clock(storeClock + storeShift + boot.Sub(first) - f.Duration("late") - f.Duration("old")),
		}
		if f.Has("row") {
			page.Rows = []rows.Row{{Value: []byte(f["row"]), Version: rows.Version(f.Int("row_version"))}}
		}
		timing := message.ReadTiming{Sent: boot.Add(-f.Duration("took")), Received: boot.Add(-f.Duration("late_handled")), Known: rows.Version(f.Int("known"))}
		var err error
		if f.Has("error") {
			err = rows.ErrOutcomeUnknown
		}
		var effects []effect.Effect
		switch {
		case f.Has("doubted"):
			effects = s.Handle(timers.Now(), message.RoutesDoubted{})
		case f.Has("read"):
			effects = s.Handle(timers.Now(), message.RowsRead{Range: rows.Range{Table: table}, Page: page, Err: err, Timing: timing})
		case f.Has("watched"):
			effects = s.Handle(timers.Now(), message.RowsChanged{Table: table, Page: page, Err: err, Timing: timing})
		case f.Has("tick"):
			effects = s.Handle(timers.Now(), message.Tick{})
		}
		view := &snapshot.Snapshot{}
		s.Describe(view)
		age := "none"
		if proven := view.Entry.RoutesProvenAt; proven > 0 {
			age = timers.Boot().Sub(proven).Round(time.Millisecond).String()
		}
		return fmt.Sprintf("proof=%s unanswered=%t %s", age, view.Entry.RoutesUnanswered, describe(timers.Now(), effects))
	}
}

// TestProofs guards against proofs that are newer than what an answer shows: those of old
// states of the store, of late answers, and of answers that a frozen or suspended VM
// received. It also guards against proofs that lapse although the store answers, and
// against shorter watches where revocation is not strict.
func TestProofs(t *testing.T) {
	NewWithT(t).Expect(goldentest.Check("testdata/proofs/*.txtar", newProofDecider())).To(Succeed())
}
