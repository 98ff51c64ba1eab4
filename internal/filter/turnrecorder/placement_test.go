package turnrecorder_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/escrow"
	"github.com/sassafrasspur/sassafrasspur/internal/filter/turnrecorder"
	"github.com/sassafrasspur/sassafrasspur/internal/goldentest"
	"github.com/sassafrasspur/sassafrasspur/internal/granter"
	"github.com/sassafrasspur/sassafrasspur/internal/ledger"
	"github.com/sassafrasspur/sassafrasspur/internal/routing"
	"github.com/sassafrasspur/sassafrasspur/internal/snapshot"
	"github.com/sassafrasspur/sassafrasspur/internal/standin/rowstore"
	"github.com/sassafrasspur/sassafrasspur/internal/timer"
	"github.com/sassafrasspur/sassafrasspur/internal/traffic"
	"github.com/sassafrasspur/sassafrasspur/internal/upstream"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

// TestPlacement guards against a turn whose engine is chosen without what the VM that
// grants its budget remembers, and against a running program that is placed as a new one.
func TestPlacement(t *testing.T) {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	timers, store := timer.New(), rowstore.New()
	members := func() []snapshot.Member { return nil }
	filter := turnrecorder.New("d", granter.New("self", escrow.New(ctx, store, timers), nil, timers, members), ledger.New(store, timers), timers)
	NewWithT(t).Expect(goldentest.Check("testdata/*.txtar", func(line string) string {
		f := goldentest.Parse(line)
		x := &traffic.Exchange{
			Route: &routing.Route{Kind: routing.Stream{}}, Table: routing.New(1, nil, nil, routing.Limits{}),
			Arrived: timers.Now(), Deadline: timers.Now().Add(time.Minute),
			Request: traffic.Request{
				Prompt: &traffic.Prompt{Input: 100, Output: 10},
				Program: &traffic.Program{
					ID: ident.ProgramID(f["program"]), Budget: unit.Tokens(f.Int("budget")), Previous: ident.RequestID(f["previous"]),
				},
			},
		}
		known := "unknown"
		err := filter.Serve(ctx, x, func(_ context.Context, x *traffic.Exchange) error {
			switch p := x.Placement.(type) {
			case traffic.NewProgram:
				known = "new"
			case traffic.RememberedEngine:
				known = fmt.Sprintf("%s start=%d", p.ID, p.Incarnation)
			}
			x.Trace.Served = upstream.Process{ID: ident.UpstreamID(f["served"]), Incarnation: ident.Incarnation(f.Int("start"))}
			return nil
		})
		if err != nil {
			return err.Error()
		}
		return known
	})).To(Succeed())
}
