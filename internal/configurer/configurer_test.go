package configurer_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/configuration"
	"github.com/sassafrasspur/sassafrasspur/internal/configurer"
	"github.com/sassafrasspur/sassafrasspur/internal/confirmer"
	"github.com/sassafrasspur/sassafrasspur/internal/effect"
	"github.com/sassafrasspur/sassafrasspur/internal/goldentest"
	"github.com/sassafrasspur/sassafrasspur/internal/message"
	"github.com/sassafrasspur/sassafrasspur/internal/rows"
	"github.com/sassafrasspur/sassafrasspur/internal/snapshot"
)

// TestVersions guards against a return to an older version, a configuration that
// counts as fresh although it may have been replaced more than 5 s ago, and reads
// that stop after an error.
func TestVersions(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1_800_000_000, 0)
	rejected := 0
	c := configurer.New(func(error) { rejected++ })
	c.Handle(now, message.Started{})
	g.Expect(goldentest.Check("testdata/*.txtar", func(line string) string {
		f := goldentest.Parse(line)
		now = now.Add(f.Duration("after"))
		var m message.Message = message.Tick{}
		if f.Has("read") || f.Has("fails") {
			read := message.RowsRead{Range: rows.Range{Table: confirmer.ConfigurationTable}, SentAt: now.Add(-f.Duration("took"))}
			value, err := json.Marshal(configuration.Configuration{Version: ident.Version(f.Int("read"))})
			g.Expect(err).NotTo(HaveOccurred())
			if f.Has("broken") {
				value = value[1:]
			}
			if !f.Has("none") {
				read.Page.Rows = []rows.Row{{ID: rows.ID{Table: confirmer.ConfigurationTable, Key: "current"}, Value: value}}
			}
			if f.Has("fails") {
				read.Err = rows.ErrOutcomeUnknown
			}
			m = read
		}
		var outputs []string
		for _, e := range c.Handle(now, m) {
			switch e := e.(type) {
			case effect.ReadRows:
				outputs = append(outputs, "read")
			case effect.Send:
				outputs = append(outputs, fmt.Sprintf("version %d", e.Message.(message.ConfigurationRead).Configuration.Version))
			case effect.WakeAt:
				outputs = append(outputs, fmt.Sprint("wake in ", e.Time.Sub(now)))
			}
		}
		view := &snapshot.Snapshot{}
		c.Describe(view)
		fresh := view.ConfigurationFreshUntil.Sub(now)
		if view.Configuration == nil || fresh < 0 {
			return fmt.Sprintf("%s (not fresh, %d rejected)", strings.Join(outputs, ", "), rejected)
		}
		return fmt.Sprintf("%s (version %d, fresh for %s, %d rejected)", strings.Join(outputs, ", "), view.Configuration.Version, fresh, rejected)
	})).To(Succeed())
}
