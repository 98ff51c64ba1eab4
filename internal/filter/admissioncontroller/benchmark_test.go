package admissioncontroller_test

import (
	"fmt"
	"testing"

	"github.com/sassafrasspur/sassafrasspur/internal/goldentest"
)

// BenchmarkRequest measures one request through the filter and the controller, including
// the messages at the start and the end of its call, at 28 requests a second.
func BenchmarkRequest(b *testing.B) {
	for _, lasts := range []string{"100ms", "2s"} {
		b.Run(fmt.Sprint("lasts=", lasts), func(b *testing.B) {
			p := newPlayer()
			p.apply("upstreams=30 slots=16 vms=20")
			p.apply("class=request per_s=28 account=a")
			line := goldentest.Parse("first=1s lasts=" + lasts)
			b.ReportAllocs()
			for b.Loop() {
				for sent := p.classes[0].sent; p.classes[0].sent == sent; p.clock.Advance(step) {
					p.step(line)
				}
			}
		})
	}
}
