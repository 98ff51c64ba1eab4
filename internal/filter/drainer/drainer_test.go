package drainer_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sassafrasspur/sassafrasspur/internal/failure"
	"github.com/sassafrasspur/sassafrasspur/internal/filter/drainer"
	"github.com/sassafrasspur/sassafrasspur/internal/snapshot"
	"github.com/sassafrasspur/sassafrasspur/internal/traffic"
)

// Guards against requests that a stop cuts because they were accepted shortly
// before it, and against refusals while callers still have the address (seeds
// 103 and 114 of the soak: a VM stopped with requests under way).
func TestDrainer(t *testing.T) {
	g := NewWithT(t)
	start := time.Unix(0, 0)
	for _, c := range []struct {
		leaving bool
		after   time.Duration
		served  bool
	}{{false, time.Hour, true}, {true, 2 * time.Second, true}, {true, 4 * time.Second, false}} {
		view := &snapshot.Snapshot{Entry: snapshot.Entry{Leaving: c.leaving, LeavingSince: start}}
		d := drainer.New(func() *snapshot.Snapshot { return view }, 3*time.Second)
		served := false
		err := d.Serve(context.Background(), &traffic.Exchange{Arrived: start.Add(c.after)}, func(context.Context, *traffic.Exchange) error {
			served = true
			return nil
		})
		g.Expect(served).To(Equal(c.served))
		if !c.served {
			g.Expect(failure.From(err).NotRun).To(BeTrue())
		}
	}
}
