package ranker_test

import (
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sassafrasspur/sassafrasspur/internal/goldentest"
	"github.com/sassafrasspur/sassafrasspur/internal/ranker"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

func TestRanker(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "ranker")
}

func decide(line string) string {
	input, callList, _ := strings.Cut(line, "|")
	var calls []ranker.Call
	for part := range strings.SplitSeq(callList, "|") {
		f := goldentest.Parse(part)
		calls = append(calls, ranker.Call{
			Rank: f.Int("rank"), AttainedService: unit.Tokens(f.Int("served")),
			Arrived: time.Unix(0, 0).Add(f.Duration("at")), Sequence: uint64(len(calls)),
		})
	}
	r := ranker.New()
	if goldentest.Parse(input).Has("fcfs") {
		r = ranker.New(ranker.WithPolicy(ranker.FirstCome{}))
	}
	compare := func(a, b ranker.Call) string {
		switch r.Decide(a, b).(type) {
		case ranker.First:
			return "first"
		default:
			return "second"
		}
	}
	forward, backward := compare(calls[0], calls[1]), compare(calls[1], calls[0])
	if forward == backward {
		return "contradiction"
	}
	return forward
}

var _ = Describe("Ranker", func() {
	It("guards against starvation of long programs and a changed or inconsistent order", func() {
		Expect(goldentest.Check("testdata/*.txtar", decide)).To(Succeed())
	})
})
