package reporter_test

import (
	"bytes"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sassafrasspur/sassafrasspur/internal/failure"
	"github.com/sassafrasspur/sassafrasspur/internal/goldentest"
	"github.com/sassafrasspur/sassafrasspur/internal/load/driver"
	"github.com/sassafrasspur/sassafrasspur/internal/load/reporter"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

func TestReporter(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Reporter")
}

// outcomes returns one program for each entry of "latencies", one failed program
// for each of "failed", and for each span "from:to:gap" one program every gap in
// [from, to).
func outcomes(f goldentest.Fields) []driver.Outcome {
	var list []driver.Outcome
	duration := func(text string) time.Duration {
		d, err := time.ParseDuration(text)
		Expect(err).NotTo(HaveOccurred())
		return d
	}
	for text := range strings.SplitSeq(f["latencies"], ",") {
		if text != "" {
			list = append(list, driver.Outcome{
				Latency: duration(text), Refused: 1, Retries: 2,
				Cacheable: unit.Tokens(f.Int("cacheable")), Recomputed: unit.Tokens(f.Int("recomputed")),
			})
		}
	}
	for range f.Int("failed") {
		list = append(list, driver.Outcome{Latency: time.Hour, Err: failure.New(failure.Internal, "failed")})
	}
	for text := range strings.SplitSeq(f["spans"], ",") {
		if text != "" {
			span := strings.Split(text, ":")
			for at := duration(span[0]); at < duration(span[1]); at += duration(span[2]) {
				list = append(list, driver.Outcome{Done: at, Latency: f.Duration("latency")})
			}
		}
	}
	return list
}

var _ = Describe("a report line", func() {
	// Guards against off-by-one percentiles, failed programs counted as fast ones,
	// slow programs counted towards goodput, and a recovery reported while the
	// goodput stays low.
	It("contains the measures of the golden table", func() {
		Expect(goldentest.Check("testdata/*.txtar", func(line string) string {
			f := goldentest.Parse(line)
			var out bytes.Buffer
			r := reporter.New(&out)
			run := reporter.Run{Workload: "w", Policy: "p", Seed: 3, TransferredBytes: 9, Elapsed: 5 * time.Second}
			if f.Has("overload") {
				Expect(r.Overload(run, reporter.Overload{
					Limit: time.Second, From: 10 * time.Second, To: 15 * time.Second, End: 35 * time.Second, Window: 3 * time.Second,
				}, outcomes(f))).To(Succeed())
			} else {
				Expect(r.Run(run, outcomes(f))).To(Succeed())
			}
			return strings.TrimSpace(out.String())
		})).To(Succeed())
	})
})
