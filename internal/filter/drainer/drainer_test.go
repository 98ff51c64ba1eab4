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

// TestDrainer guards against requests that are interrupted by the end of the
// shutdown because they were accepted shortly before it, and against refusals while
// callers still cache the address. In soak seeds 103 and 114, a VM stopped with
// requests in progress.
func TestDrainer(t *testing.T) {
	g := NewWithT(t)
	start := time.Unix(0, 0)
	for _, c := range []struct {
		name         string
		leaving      bool
		after, limit time.Duration
		served       bool
	}{
		{"serving", false, time.Hour, 4 * time.Second, true},
		{"shortly after the shutdown request", true, 2 * time.Second, 4 * time.Second, true},
		{"shortly after the shutdown request, long time limit", true, 2 * time.Second, 6 * time.Second, true},
		{"late, ends before the stop", true, 4 * time.Second, 2 * time.Second, true},
		{"late, ends after the stop", true, 3 * time.Second, 4 * time.Second, false},
	} {
		view := &snapshot.Snapshot{Entry: snapshot.Entry{Leaving: c.leaving, LeavingSince: start}}
		d := drainer.New(func() *snapshot.Snapshot { return view }, 2400*time.Millisecond, 6400*time.Millisecond)
		served := false
		arrived := start.Add(c.after)
		err := d.Serve(context.Background(), &traffic.Exchange{Arrived: arrived, Deadline: arrived.Add(c.limit)}, func(context.Context, *traffic.Exchange) error {
			served = true
			return nil
		})
		g.Expect(served).To(Equal(c.served), c.name)
		if !c.served {
			g.Expect(failure.From(err).NotRun).To(BeTrue())
		}
	}
}
