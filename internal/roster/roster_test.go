package roster_test

import (
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/goldentest"
	"github.com/sassafrasspur/sassafrasspur/internal/record"
	"github.com/sassafrasspur/sassafrasspur/internal/roster"
	"github.com/sassafrasspur/sassafrasspur/internal/snapshot"
	"github.com/sassafrasspur/sassafrasspur/internal/timer"
)

// holder reads "vm:process".
func holder(text string) record.Holder {
	vm, process, _ := strings.Cut(text, ":")
	return record.Holder{VM: ident.VMID(vm), Process: ident.ProcessID(process)}
}

// Guards against a process that is taken for gone because the newest list is
// older than its start, and against one that is waited for although it ended.
func TestRuns(t *testing.T) {
	g := NewWithT(t)
	clock := timer.NewManual(time.Unix(1_000_000, 0))
	timers := timer.New(timer.WithManual(clock))
	view := snapshot.Entry{}
	r := roster.New(holder("self:1"), func() snapshot.Entry { return view }, timers)
	g.Expect(goldentest.Check("testdata/*.txtar", func(line string) string {
		f := goldentest.Parse(line)
		clock.Advance(f.Duration("after"))
		if f.Has("list") {
			view = snapshot.Entry{MembersAsOf: timers.Now()}
			for text := range strings.SplitSeq(f["list"], ",") {
				h := holder(text)
				view.Present = append(view.Present, snapshot.Member{VM: h.VM, Process: h.Process})
			}
			return "listed"
		}
		if r.Runs(holder(f["ask"])) {
			return "runs"
		}
		return "gone"
	})).To(Succeed())
}
