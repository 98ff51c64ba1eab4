package evictor_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/sassafrasspur/sassafrasspur/internal/evictor"
	"github.com/sassafrasspur/sassafrasspur/internal/goldentest"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

// Guards against large requests that leave no room for small ones, against dropping a
// request that may have run, and against dropping sound requests before stalled ones.
//
// Input lines have the growth and the claims: "grow ID BYTES: ID:HELD:STARTED:PROGRESSED:STAGE ...".
// Total is 100 bytes, 20 of them reserved, small requests have up to 10. Times are seconds
// before now; 1 s without progress is a stall.
func TestDecide(t *testing.T) {
	e := evictor.Evictor{Total: 100, Reserved: 20, Small: 10, StallAfter: time.Second}
	now := time.Unix(1000, 0)
	stages := map[string]evictor.Stage{"receiving": evictor.Receiving{}, "running": evictor.Running{}, "sending": evictor.Sending{}, "dropped": evictor.Receiving{}}
	err := goldentest.Check("testdata/*.txtar", func(line string) string {
		growth, rest, _ := strings.Cut(line, ":")
		var id int64
		var more, used int
		if _, err := fmt.Sscanf(growth, "grow %d %d", &id, &more); err != nil {
			return err.Error()
		}
		var grows evictor.Claim
		var claims []evictor.Claim
		for _, text := range strings.Fields(rest) {
			var c evictor.Claim
			var held int
			var started, progressed float64
			var stage string
			if _, err := fmt.Sscanf(strings.ReplaceAll(text, ":", " "), "%d %d %f %f %s", &c.ID, &held, &started, &progressed, &stage); err != nil {
				return err.Error()
			}
			c.Held, c.Stage, c.Dropped = unit.Bytes(held), stages[stage], stage == "dropped"
			c.Started = now.Add(-time.Duration(started * float64(time.Second)))
			c.Progressed = now.Add(-time.Duration(progressed * float64(time.Second)))
			used += held
			claims = append(claims, c)
			if c.ID == id {
				grows = c
			}
		}
		switch d := e.Decide(now, grows, unit.Bytes(more), unit.Bytes(used), claims).(type) {
		case evictor.Grant:
			return "grant"
		case evictor.Drop:
			return fmt.Sprintf("drop %v", d.IDs)
		default:
			return "refuse"
		}
	})
	if err != nil {
		t.Error(err)
	}
}
