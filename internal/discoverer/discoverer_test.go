package discoverer_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"
	. "github.com/onsi/gomega"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/discoverer"
	"github.com/sassafrasspur/sassafrasspur/internal/effect"
	"github.com/sassafrasspur/sassafrasspur/internal/goldentest"
	"github.com/sassafrasspur/sassafrasspur/internal/message"
	"github.com/sassafrasspur/sassafrasspur/internal/rows"
	"github.com/sassafrasspur/sassafrasspur/internal/upstream"
)

const table rows.Table = "upstreams"

// decode reads an entry whose value is its state.
func decode(row rows.Row) (upstream.Upstream, error) {
	switch state := string(row.Value); state {
	case "ready", "leaving":
		return upstream.Upstream{ID: ident.UpstreamID(row.Key), Leaving: state == "leaving"}, nil
	}
	return upstream.Upstream{}, errors.Errorf("entry %s can't be read", row.Key)
}

// decider keeps the controller from line to line. A line has the time since the
// last one, and what the store answers.
func decider() func(line string) string {
	var rejected []string
	d := discoverer.New(table, decode, func(err error) { rejected = append(rejected, err.Error()) })
	now := time.Unix(0, 0)
	d.Handle(now, message.Started{})
	return func(line string) string {
		f := goldentest.Parse(line)
		now = now.Add(f.Duration("after"))
		rejected = nil
		var effects []effect.Effect
		switch {
		case f.Has("tick"):
			effects = d.Handle(now, message.Tick{})
		default:
			m := message.RowsRead{Range: rows.Range{Table: table}, SentAt: now}
			if f.Has("fails") {
				m.Err = rows.ErrUnknown
			}
			for _, entry := range strings.Split(f["list"], ",") {
				id, state, ok := strings.Cut(entry, ":")
				if ok {
					m.Page.Rows = append(m.Page.Rows, rows.Row{ID: rows.ID{Table: table, Key: rows.Key(id)}, Value: []byte(state)})
				}
			}
			effects = d.Handle(now, m)
		}
		return describe(now, effects) + strings.Join(rejected, "; ")
	}
}

func describe(now time.Time, effects []effect.Effect) string {
	var out strings.Builder
	for _, e := range effects {
		switch e := e.(type) {
		case effect.ReadRows:
			out.WriteString("read ")
		case effect.WakeAt:
			fmt.Fprintf(&out, "wake=%s ", e.Time.Sub(now))
		case effect.Send:
			for _, u := range e.Message.(message.UpstreamsRead).Upstreams {
				fmt.Fprintf(&out, "%s leaving=%t ", u.ID, u.Leaving)
			}
		}
	}
	return out.String()
}

// Guards against a list that stalls, upstreams that get work after they left,
// and live upstreams that are dropped because their entries lapsed in an outage.
func TestDiscoverer(t *testing.T) {
	NewWithT(t).Expect(goldentest.Check("testdata/*.txtar", decider())).To(Succeed())
}
