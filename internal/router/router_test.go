package router_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/configuration"
	"github.com/sassafrasspur/sassafrasspur/internal/goldentest"
	"github.com/sassafrasspur/sassafrasspur/internal/router"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

func TestRouter(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "router")
}

func decide(line string) string {
	input, candidates, _ := strings.Cut(line, "|")
	f := goldentest.Parse(input)
	in := router.Input{
		Prompt: unit.Tokens(f.Int("prompt")), Output: unit.Tokens(f.Int("output")),
		LongestPrefix: unit.Tokens(f.Int("computed")), Region: "r1",
		Sequence: uint64(f.Int("turn")), Random: uint64(f.Int("random")),
		Weights: configuration.Weights{
			RecomputedToken: f.Duration("token"), TransferredKilobyte: f.Duration("kilobyte"),
		},
	}
	for part := range strings.SplitSeq(candidates, "|") {
		if c := goldentest.Parse(part); c.Has("id") {
			in.Candidates = append(in.Candidates, router.Candidate{
				Upstream: ident.UpstreamID(c["id"]), Region: ident.Region("r" + c["region"]),
				Slots: 4, Free: !c.Has("busy"), ReportedLoad: c.Int("load"),
				WaitingTokens: unit.Tokens(c.Int("tokens")),
				InFlight:      c.Int("own"), InFlightAtReport: c.Int("then"),
				Cached: unit.Tokens(c.Int("cached")),
				Estimate: router.Estimate{
					Service: 400 * time.Millisecond, Prefill: 100 * time.Microsecond, Output: 10 * time.Millisecond,
				},
			})
		}
	}
	policy, ok := router.PolicyByName(f["policy"])
	if !ok {
		return "unknown policy"
	}
	switch d := router.New(router.WithPolicy(policy)).Decide(in).(type) {
	case router.Use:
		return fmt.Sprintf("use %s wait=%s cost=%s", in.Candidates[d.Index].Upstream, d.Wait, d.Cost)
	case router.Wait:
		return "wait"
	case router.NoCandidate:
		return "none"
	}
	return "unknown decision"
}

var _ = Describe("Router", func() {
	It("guards against a changed choice of upstream", func() {
		Expect(goldentest.Check("testdata/*.txtar", decide)).To(Succeed())
	})

	It("guards against herding of nodes that act on the same load report", func() {
		r := router.New()
		counts := map[int]int{}
		candidates := make([]router.Candidate, 10)
		for i := range candidates {
			candidates[i] = router.Candidate{Region: "r1", Slots: 4, Free: true}
		}
		for random := range uint64(1000) {
			// The multiplier distributes the bits like those of a random number.
			d := r.Decide(router.Input{Candidates: candidates, Region: "r1", Random: random * 0x9e3779b97f4a7c15})
			counts[d.(router.Use).Index]++
		}
		for i := range candidates {
			Expect(counts[i]).To(BeNumerically("~", 100, 50), "choices of candidate %d", i)
		}
	})
})
