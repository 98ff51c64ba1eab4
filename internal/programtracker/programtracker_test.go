package programtracker_test

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/goldentest"
	"github.com/sassafrasspur/sassafrasspur/internal/programtracker"
	"github.com/sassafrasspur/sassafrasspur/internal/traffic"
)

// newAssessor returns a function that applies lines to one Programtracker.
func newAssessor() func(line string) string {
	tracker, now := programtracker.New(), time.Unix(1000, 0)
	return func(line string) string {
		f := goldentest.Parse(line)
		now = now.Add(f.Duration("after"))
		program := &traffic.Program{ID: ident.ProgramID(f["program"]), TimeLeft: f.Duration("left"), Previous: ident.RequestID(f["previous"])}
		if f.Has("served") {
			tracker.Served(now, program)
			return ""
		}
		r := &traffic.Request{Program: program, Prompt: &traffic.Prompt{}}
		if f.Has("tool") {
			r.Prompt = nil
		}
		if f.Has("alone") {
			r.Program = nil
		}
		var standing programtracker.Standing
		for range max(f.Int("times"), 1) {
			standing = tracker.Assess(now, "route", r)
		}
		return fmt.Sprintf("under_way=%t age=%.2f use_left=%s", standing.UnderWay, standing.Age, standing.TimeLeft.Round(100*time.Millisecond))
	}
}

// TestStanding guards against a tool call, a later turn, a sub-agent or a repeated first
// turn that is refused like a new program, and against programs that count as under way
// although the usual objective of their route is unknown.
func TestStanding(t *testing.T) {
	NewWithT(t).Expect(goldentest.Check("testdata/*.txtar", newAssessor())).To(Succeed())
}

// Guards against callers that fill the memory of a VM with programs of long ids: a header
// section has up to 16 KB.
func TestLongIDs(t *testing.T) {
	g := NewWithT(t)
	const programs, idBytes, bound = 2000, 12 << 10, 4 << 20
	heap := func() int64 {
		var stats runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&stats)
		return int64(stats.HeapAlloc)
	}
	tracker, before := programtracker.New(), heap()
	for i := range programs {
		tracker.Served(time.Unix(1000, 0), &traffic.Program{ID: ident.ProgramID(strings.Repeat("a", idBytes) + fmt.Sprint(i))})
	}
	g.Expect(heap() - before).To(BeNumerically("<", bound))
	runtime.KeepAlive(tracker)
}
