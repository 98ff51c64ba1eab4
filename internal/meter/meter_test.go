package meter_test

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/tools/txtar"
	"pgregory.net/rapid"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/failure"
	"github.com/sassafrasspur/sassafrasspur/internal/meter"
)

var update = flag.Bool("update", false, "rewrite the golden file")

func TestMeter(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "meter")
}

func render(m *meter.Meter) string {
	var b bytes.Buffer
	m.WritePrometheus(&b)
	return b.String()
}

// Guards against values that are recorded under the wrong metric or label, and
// against renamed metrics.
var _ = It("writes the observed values", func() {
	m := meter.New(meter.WithMaxTeams(1), meter.WithMaxClasses(1))
	m.ObserveCall("padang_bersama", "desk", meter.Answered{}, 3*time.Millisecond, 300*time.Millisecond, 2*time.Second)
	m.ObserveCall("padang_bersama", "desk", meter.Failed{Kind: failure.Overloaded}, 4*time.Second, 0, 4*time.Second)
	m.ObserveCall("later", "desk", meter.Replayed{}, 0, 0, time.Millisecond)
	m.ObserveProgram("padang_bersama", "desk", time.Minute)
	m.ObserveRecomputed("padang_bersama", "desk", 5000)
	m.ObserveControlLoop(20 * time.Microsecond)
	m.CountCrossedAnswer()
	m.ObserveStoreCall(true, "programs", true, 4*time.Millisecond)
	m.ObserveStoreCall(false, "programs", false, 600*time.Millisecond)
	m.CountQuota("kantor", "granted")
	m.CountQuota("kantor", "refused")
	const path = "testdata/metrics.txtar"
	archive, err := txtar.ParseFile(path)
	Expect(err).NotTo(HaveOccurred())
	if *update {
		archive.Files = []txtar.File{{Name: "metrics", Data: []byte(render(m))}}
		Expect(os.WriteFile(path, txtar.Format(archive), 0o600)).To(Succeed())
	}
	Expect(render(m)).To(Equal(string(archive.Files[0].Data)), "run with -update and review the diff")
})

// Guards against a number of series that grows with the number of teams, classes
// or kinds, and against observations lost to a data race.
var _ = It("bounds the number of series", func() {
	m := meter.New(meter.WithMaxTeams(3), meter.WithMaxClasses(2))
	var workers sync.WaitGroup
	for worker := range 4 {
		workers.Go(func() {
			for i := range 500 {
				m.ObserveCall(ident.TeamID(fmt.Sprint("team", i%50)), ident.Class(fmt.Sprint("class", i%7)),
					meter.Failed{Kind: failure.Kind(fmt.Sprint("kind", i%100))}, 0, time.Duration(worker), time.Second)
			}
		})
	}
	workers.Wait()
	text := render(m)
	histograms, calls := strings.Count(text, "sassafrasspur_call_seconds_count"), 0
	for line := range strings.Lines(text) {
		if strings.HasPrefix(line, "sassafrasspur_calls_total") {
			var n int
			_, err := fmt.Sscan(line[strings.LastIndexByte(line, ' '):], &n)
			Expect(err).NotTo(HaveOccurred())
			calls += n
		}
	}
	Expect(histograms).To(Equal((3 + 1) * (2 + 1)))
	Expect(calls).To(Equal(4 * 500))
	Expect(strings.Count(text, "sassafrasspur_calls_total{")).To(BeNumerically("<=", (3+1)*(2+1)*(40+1)))
})

// Guards against a number of series that grows with the number of accounts.
var _ = It("bounds the number of accounts", func() {
	m := meter.New()
	for i := range 100 {
		m.CountQuota(ident.AccountID(fmt.Sprint("account", i)), "refused")
	}
	Expect(strings.Count(render(m), "sassafrasspur_quota_requests_total{")).To(Equal(32 + 1))
	Expect(render(m)).To(ContainSubstring(`sassafrasspur_quota_requests_total{account="other",outcome="refused"} 68`))
})

// Guards against names that make the metrics library panic or corrupt a line.
func TestAnyName(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := meter.New()
		name := rapid.OneOf(rapid.String(), rapid.SampledFrom([]string{`\`, `"`, `a\"`, "\n", "\xff", strings.Repeat("é", 99)})).Draw(t, "name")
		m.ObserveCall(ident.TeamID(name), ident.Class(name), meter.Failed{Kind: failure.Kind(name)}, 0, 1, 1)
		for line := range strings.Lines(render(m)) {
			if !strings.HasPrefix(line, "sassafrasspur_") || strings.Count(line, `"`)%2 != 0 {
				t.Fatalf("%q", line)
			}
		}
	})
}
