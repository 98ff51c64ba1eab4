package livenesschecker_test

import (
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/goldentest"
	"github.com/sassafrasspur/sassafrasspur/internal/livenesschecker"
	"github.com/sassafrasspur/sassafrasspur/internal/record"
	"github.com/sassafrasspur/sassafrasspur/internal/snapshot"
	"github.com/sassafrasspur/sassafrasspur/internal/timer"
)

// parseHolder parses a holder of the form vm:process.
func parseHolder(text string) record.Holder {
	vm, process, _ := strings.Cut(text, ":")
	return record.Holder{VM: ident.VMID(vm), Process: ident.ProcessID(process)}
}

// TestIsRunning guards against a process that is reported as ended because the newest
// list is older than its start, and against one that is reported as running after
// its end.
func TestIsRunning(t *testing.T) {
	g := NewWithT(t)
	clock := timer.NewManual(time.Unix(1_000_000, 0))
	timers := timer.New(timer.WithManual(clock))
	view := snapshot.Entry{}
	c := livenesschecker.New(parseHolder("self:1"), func() snapshot.Entry { return view }, timers)
	g.Expect(goldentest.Check("testdata/*.txtar", func(line string) string {
		f := goldentest.Parse(line)
		clock.Advance(f.Duration("after"))
		if f.Has("list") {
			view = snapshot.Entry{MembersAsOf: timers.Now()}
			for text := range strings.SplitSeq(f["list"], ",") {
				h := parseHolder(text)
				view.Present = append(view.Present, snapshot.Member{VM: h.VM, Process: h.Process})
			}
			return "listed"
		}
		if c.IsRunning(parseHolder(f["ask"])) {
			return "runs"
		}
		return "gone"
	})).To(Succeed())
}
