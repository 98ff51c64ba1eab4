package enroller_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sassafrasspur/sassafrasspur/internal/enroller"
	"github.com/sassafrasspur/sassafrasspur/internal/message"
	"github.com/sassafrasspur/sassafrasspur/internal/rows"
	"github.com/sassafrasspur/sassafrasspur/internal/snapshot"
)

// TestRecent guards against a VM that is stopped for seconds and is missing from the recent
// members, and against one that takes itself for restarted although others have dropped it.
func TestRecent(t *testing.T) {
	for own, restarted := range map[string]bool{"self:ready:7s": true, "self:leaving:49s": true, "self:ready:51s": false, "": false} {
		g := NewWithT(t)
		e := enroller.New(snapshot.Member{VM: "self", RequestAddress: "self:1", PeerAddress: "self:2"}, enroller.DefaultInterval)
		page := rows.Page{Clock: rows.Clock(time.Hour), Rows: []rows.Row{row("stopped:ready:30s", time.Hour), row("gone:ready:61s", time.Hour)}}
		if own != "" {
			page.Rows = append(page.Rows, row(own, time.Hour))
		}
		now := time.Unix(0, 0)
		e.Handle(now, message.Started{})
		for range 2 {
			e.Handle(now, message.RowsRead{Range: rows.Range{Table: table}, SentAt: now, Page: page})
		}
		view := &snapshot.Snapshot{}
		e.Describe(view)
		g.Expect(view.Entry.Restarted).To(Equal(restarted), own)
		g.Expect(view.Entry.Recent).To(HaveLen(2))
		g.Expect(view.Entry.Recent[0].VM).To(BeEquivalentTo("self"))
		g.Expect(view.Entry.Recent[1].VM).To(BeEquivalentTo("stopped"))
		g.Expect(view.Entry.Present).To(HaveLen(1))
	}
}
