package workload_test

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/tools/txtar"

	"github.com/sassafrasspur/sassafrasspur/internal/load/workload"
)

var update = flag.Bool("update", false, "rewrite the golden files")

func TestWorkload(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Workload")
}

func formatSteps(steps []workload.Step) string {
	var words []string
	for _, step := range steps {
		switch step := step.(type) {
		case workload.Turn:
			words = append(words, fmt.Sprintf("turn(%d,%d)", step.PromptTokens, step.OutputTokens))
		case workload.Operation:
			words = append(words, string(step.Operation))
		case workload.Pause:
			words = append(words, fmt.Sprintf("pause(%s)", step.Duration))
		case workload.SubAgent:
			words = append(words, "sub("+formatSteps(step.Steps)+")")
		}
	}
	return strings.Join(words, " ")
}

func generate(kind workload.Kind, seed uint64, rate workload.Rate, d time.Duration) []workload.Program {
	return workload.New(kind, workload.WithSeed(seed), workload.WithRegions("a", "b", "c"),
		workload.WithPhases(workload.Phase{Duration: d, Rate: rate}, workload.Phase{Duration: d / 2, Rate: 2 * rate})).Generate()
}

var _ = Describe("a workload", func() {
	kinds := []workload.Kind{workload.PadangBersama{}, workload.SchoolmaalLoket{}}

	// Guards against workloads that differ between runs or releases, which would
	// make their results incomparable.
	It("matches the golden file for a fixed seed", func() {
		path := "testdata/seed7.txtar"
		want, err := txtar.ParseFile(path)
		Expect(err).NotTo(HaveOccurred())
		got := &txtar.Archive{Comment: want.Comment}
		for _, kind := range kinds {
			var b strings.Builder
			for _, p := range generate(kind, 7, 2, 4*time.Second) {
				fmt.Fprintf(&b, "%s %s %s %s: %s\n", p.Arrival.Round(time.Microsecond), p.ID, p.Region, p.Class, formatSteps(p.Steps))
			}
			got.Files = append(got.Files, txtar.File{Name: kind.String(), Data: []byte(b.String())})
		}
		if *update {
			Expect(os.WriteFile(path, txtar.Format(got), 0o600)).To(Succeed())
			return
		}
		Expect(string(txtar.Format(got))).To(Equal(string(txtar.Format(want))))
	})

	// Guards against a mean arrival rate that ignores the size of bursts, which
	// would make the load exceed the requested one.
	It("arrives at the rates of its phases", func() {
		first, second := 0, 0
		for _, p := range generate(kinds[0], 1, 50, 100*time.Second) {
			if p.Arrival < 100*time.Second {
				first++
			} else {
				second++
			}
		}
		Expect(first).To(BeNumerically("~", 5000, 500))
		Expect(second).To(BeNumerically("~", 5000, 500))
	})

	// Guards against programs and bodies of other lengths than the workload
	// specifies.
	It("has programs of the specified lengths", func() {
		for _, p := range generate(kinds[1], 3, 50, 20*time.Second) {
			calls := 0
			for _, step := range p.Steps {
				switch step := step.(type) {
				case workload.Turn:
					Expect(strings.Fields(step.Body())).To(HaveLen(int(step.PromptTokens)))
					calls++
				case workload.Operation:
					calls++
				case workload.Pause, workload.SubAgent:
				}
			}
			Expect(calls).To(Or(BeNumerically("<=", 2), And(BeNumerically(">=", 6), BeNumerically("<=", 14))))
		}
	})
})
