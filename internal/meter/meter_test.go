package meter_test

import (
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/meter"
)

// TestBounded guards against series without bound and against label values that
// break the text format.
func TestBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := meter.New(meter.WithValues(3))
		teams := rapid.SliceOf(rapid.String()).Draw(t, "teams")
		for _, team := range teams {
			m.CallEnded(ident.TeamID(team), "c", "completed")
			m.Queued(ident.TeamID(team), ident.Class(team), time.Second)
		}
		m.PlatformRead("table", 2)
		var text strings.Builder
		m.WritePrometheus(&text)
		series := 0
		for line := range strings.Lines(text.String()) {
			if strings.HasPrefix(line, "sassafrasspur_calls_total{") {
				series++
			}
		}
		if series > 4 {
			t.Fatalf("%d series of one counter:\n%s", series, text.String())
		}
		if !strings.Contains(text.String(), `sassafrasspur_platform_reads_total{service="table"} 2`) {
			t.Fatalf("reads missing:\n%s", text.String())
		}
	})
}
