package sizer_test

import (
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sassafrasspur/sassafrasspur/internal/goldentest"
	"github.com/sassafrasspur/sassafrasspur/internal/load/sizer"
	"github.com/sassafrasspur/sassafrasspur/internal/load/workload"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

func TestSizer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Sizer")
}

var _ = Describe("the capacity", func() {
	// Guards against load experiments that run at the wrong fraction of the
	// capacity: the pool that is exhausted first must determine it, sub-agents
	// must count, and pauses must not.
	It("matches the golden table", func() {
		Expect(goldentest.Check("testdata/*.txtar", func(line string) string {
			f := goldentest.Parse(line)
			var steps []workload.Step
			for range f.Int("turns") {
				steps = append(steps, workload.Turn{PromptTokens: unit.Tokens(f.Int("prompt")), OutputTokens: unit.Tokens(f.Int("answer"))})
			}
			for range f.Int("operations") {
				steps = append(steps, workload.Operation{})
			}
			steps = append(steps, workload.Pause{Duration: time.Hour})
			if f.Has("child") {
				steps = append(steps, workload.SubAgent{Steps: steps})
			}
			s := sizer.New(
				sizer.Engines{Replicas: 2, Slots: 4, PrefillRate: unit.Tokens(f.Int("prefill")), DecodeStep: 10 * time.Millisecond},
				sizer.Services{Replicas: 1, Slots: 5, OperationTime: 100 * time.Millisecond},
			)
			var sample []workload.Program
			for range f.Int("programs") {
				sample = append(sample, workload.Program{Steps: steps})
			}
			return strconv.FormatFloat(float64(s.Capacity(sample)), 'f', 3, 64)
		})).To(Succeed())
	})
})
