package retainer_test

import (
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sassafrasspur/sassafrasspur/internal/goldentest"
	"github.com/sassafrasspur/sassafrasspur/internal/retainer"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

func TestRetainer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "retainer")
}

func decide(line string) string {
	input, pauses, _ := strings.Cut(line, "|")
	f := goldentest.Parse(input)
	in := retainer.Input{
		Elapsed: f.Duration("elapsed"), Tokens: unit.Tokens(f.Int("tokens")),
		Recompute: f.Duration("recompute"), Memory: f.Duration("memory"),
	}
	for part := range strings.SplitSeq(pauses, "|") {
		p := goldentest.Parse(part)
		for range p.Int("times") {
			in.Pauses = in.Pauses.Add(p.Duration("pause"))
		}
	}
	switch d := retainer.New().Decide(in).(type) {
	case retainer.Keep:
		return "keep for " + d.For.String()
	case retainer.Release:
		return "release"
	}
	return "unknown decision"
}

var _ = Describe("Retainer", func() {
	It("guards against prefixes that are retained through long pauses or recomputed after short ones", func() {
		Expect(goldentest.Check("testdata/*.txtar", decide)).To(Succeed())
	})
})
