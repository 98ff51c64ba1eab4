package refusalreporter_test

import (
	"bytes"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/sassafrasspur/sassafrasspur/internal/connectionlimiter"
	"github.com/sassafrasspur/sassafrasspur/internal/refusalreporter"
	"github.com/sassafrasspur/sassafrasspur/internal/timer"
)

type counter map[string]int

func (c counter) CountRefusedCaller(reason string) { c[reason]++ }

// Guards against refused callers that fill the log, and against refusals that are not
// counted.
func TestReport(t *testing.T) {
	g := NewWithT(t)
	var log bytes.Buffer
	counts := counter{}
	clock := timer.NewManual(time.Unix(1000, 0))
	r := refusalreporter.New(zerolog.New(&log), counts, timer.New(timer.WithManual(clock)))
	for range 3 {
		r.Report(connectionlimiter.MemoryUsedUp)
	}
	r.Report(connectionlimiter.BodyTooSlow)
	clock.Advance(time.Second)
	r.Report(connectionlimiter.MemoryUsedUp)
	g.Expect(strings.Split(strings.TrimSpace(log.String()), "\n")).To(Equal([]string{
		`{"level":"warn","reason":"memory_used_up","callers":1,"message":"callers refused"}`,
		`{"level":"warn","reason":"body_too_slow","callers":1,"message":"callers refused"}`,
		`{"level":"warn","reason":"memory_used_up","callers":3,"message":"callers refused"}`,
	}))
	g.Expect(counts).To(Equal(counter{"memory_used_up": 4, "body_too_slow": 1}))
}
