package subscriber_test

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/effect"
	"github.com/sassafrasspur/sassafrasspur/internal/goldentest"
	"github.com/sassafrasspur/sassafrasspur/internal/message"
	"github.com/sassafrasspur/sassafrasspur/internal/routing"
	"github.com/sassafrasspur/sassafrasspur/internal/rows"
	"github.com/sassafrasspur/sassafrasspur/internal/snapshot"
	"github.com/sassafrasspur/sassafrasspur/internal/subscriber"
)

const table rows.Table = "routes"

func decode(row rows.Row) (*routing.Table, error) {
	version, err := strconv.ParseUint(string(row.Value), 10, 64)
	if err != nil {
		return nil, err
	}
	return routing.New(ident.Version(version), nil, nil, routing.Limits{}), nil
}

// newDecider returns a function that runs the lines of a golden file on one
// controller.
func newDecider() func(line string) string {
	var rejected []string
	now := time.Unix(0, 0)
	start := func(options ...subscriber.Option) *subscriber.Subscriber {
		s := subscriber.New(table, decode, func(error) { rejected = append(rejected, "rejected") }, options...)
		s.Handle(now, message.Started{})
		return s
	}
	s := start()
	return func(line string) string {
		f := goldentest.Parse(line)
		now = now.Add(f.Duration("after"))
		rejected = nil
		page := rows.Page{Version: rows.Version(f.Int("store"))}
		if f.Has("value") {
			page.Rows = []rows.Row{{Value: []byte(f["value"])}}
		}
		var err error
		switch f["error"] {
		case "compacted":
			err = rows.ErrCompacted
		case "unknown":
			err = rows.ErrOutcomeUnknown
		}
		var effects []effect.Effect
		switch {
		case f.Has("limit"):
			s = start(subscriber.WithRoutesLimit(f.Duration("limit")))
		case f.Has("tick"):
			effects = s.Handle(now, message.Tick{})
		case f.Has("read"):
			effects = s.Handle(now, message.RowsRead{Range: rows.Range{Table: table}, Page: page, Err: err, SentAt: now})
		default:
			effects = s.Handle(now, message.RowsChanged{Table: table, Page: page, Err: err, SentAt: now})
		}
		view := &snapshot.Snapshot{}
		s.Describe(view)
		version := ident.Version(0)
		if view.Entry.Routes != nil {
			version = view.Entry.Routes.Version
		}
		return fmt.Sprintf("version=%d %s%s", version, describe(now, effects), strings.Join(rejected, " "))
	}
}

func describe(now time.Time, effects []effect.Effect) string {
	var out strings.Builder
	for _, e := range effects {
		switch e := e.(type) {
		case effect.ReadRows:
			out.WriteString("read ")
		case effect.WatchRows:
			fmt.Fprintf(&out, "watch after=%d wait=%s ", e.After, e.Wait)
		case effect.WakeAt:
			fmt.Fprintf(&out, "wake=%s ", e.Time.Sub(now))
		case effect.Send:
			out.WriteString("changed ")
		}
	}
	return out.String()
}

// Guards against reverting to older routes, missing changes after the store has
// compacted its history, a controller that stops after an error, and a watch on a
// silent connection that exceeds the limit.
func TestSubscriber(t *testing.T) {
	NewWithT(t).Expect(goldentest.Check("testdata/*.txtar", newDecider())).To(Succeed())
}
