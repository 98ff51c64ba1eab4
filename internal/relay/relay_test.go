package relay_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sassafrasspur/sassafrasspur/internal/goldentest"
	"github.com/sassafrasspur/sassafrasspur/internal/relay"
	"github.com/sassafrasspur/sassafrasspur/internal/rows"
	"github.com/sassafrasspur/sassafrasspur/internal/snapshot"
	"github.com/sassafrasspur/sassafrasspur/internal/timer"
)

// store returns the result that a line of the golden file specifies, and logs the
// calls.
type store struct {
	rows.Store
	answer string
	log    *strings.Builder
}

func (s *store) result(target string) error {
	fmt.Fprintf(s.log, "%s ", target)
	switch s.answer {
	case "refused":
		return rows.ErrUnavailable
	case "silent":
		return rows.ErrOutcomeUnknown
	case "compacted":
		return rows.ErrCompacted
	case "overloaded":
		return rows.ErrOverloaded
	}
	return nil
}

func (s *store) Commit(context.Context, rows.Transaction) (rows.Outcome, error) {
	return rows.Committed{}, s.result("direct")
}

// peers returns the result that a line of the golden file specifies for peers.
type peers struct{ store }

func (p *peers) Commit(_ context.Context, address string, _ rows.Transaction) (rows.Outcome, error) {
	return rows.Committed{}, p.result(address)
}

func (p *peers) Read(context.Context, string, rows.Range) (rows.Page, error) {
	return rows.Page{}, nil
}

func (p *peers) Changes(context.Context, string, rows.Table, rows.Version, time.Duration) (rows.Page, error) {
	return rows.Page{}, nil
}

// newDecider returns a function that runs the lines of a golden file on one relay.
func newDecider() func(line string) string {
	var log strings.Builder
	clock := timer.NewManual(time.Unix(0, 0))
	direct, others := &store{log: &log}, &peers{store{log: &log}}
	members := []snapshot.Member{{VM: "self", PeerAddress: "self"}, {VM: "vm1", PeerAddress: "vm1"}, {VM: "vm2", PeerAddress: "vm2"}, {VM: "vm3", PeerAddress: "vm3"}}
	r := relay.New(direct, others, timer.New(timer.WithManual(clock)), members[0], func() []snapshot.Member { return members })
	return func(line string) string {
		f := goldentest.Parse(line)
		clock.Advance(f.Duration("after"))
		log.Reset()
		direct.answer, others.answer = f["direct"], f["peers"]
		_, err := r.Commit(context.Background(), rows.Transaction{})
		if err != nil {
			fmt.Fprintf(&log, "error=%v", err)
		}
		return log.String()
	}
}

// Guards against a VM that remains without the store although its peers reach it,
// against load on peers while the store only enforces its rate limit, and against
// reporting that nothing was done after an attempt that may have been applied.
func TestRelay(t *testing.T) {
	NewWithT(t).Expect(goldentest.Check("testdata/*.txtar", newDecider())).To(Succeed())
}
