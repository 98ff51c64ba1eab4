package placementkeeper_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/goldentest"
	"github.com/sassafrasspur/sassafrasspur/internal/placementkeeper"
	"github.com/sassafrasspur/sassafrasspur/internal/timer"
	"github.com/sassafrasspur/sassafrasspur/internal/upstream"
)

// TestPlacementkeeper guards against a program that is forgotten while it runs or because
// a turn failed, against entries that are never dropped, and against memory that grows
// with the number of programs or the length of their ids.
func TestPlacementkeeper(t *testing.T) {
	clock := timer.NewManual(time.Unix(0, 0))
	keeper := placementkeeper.New(timer.New(timer.WithManual(clock)))
	NewWithT(t).Expect(goldentest.Check("testdata/*.txtar", func(line string) string {
		f := goldentest.Parse(line)
		clock.Advance(f.Duration("after"))
		switch {
		case f.Has("keep"):
			keeper.Keep(ident.ProgramID(f["keep"]+strings.Repeat("x", f.Int("longer"))), upstream.Process{ID: ident.UpstreamID(f["engine"]), Incarnation: ident.Incarnation(f.Int("start"))})
		case f.Has("programs"):
			for i := range f.Int("programs") {
				keeper.Keep(ident.ProgramID(fmt.Sprint("many-", i)), upstream.Process{ID: "e9"})
			}
		case f.Has("find"):
			engine := keeper.Find(ident.ProgramID(f["find"]))
			return fmt.Sprintf("%s start=%d", engine.ID, engine.Incarnation)
		}
		return fmt.Sprintf("entries=%d", keeper.Len())
	})).To(Succeed())
}
