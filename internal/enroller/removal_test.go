package enroller_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sassafrasspur/sassafrasspur/internal/effect"
	"github.com/sassafrasspur/sassafrasspur/internal/enroller"
	"github.com/sassafrasspur/sassafrasspur/internal/message"
	"github.com/sassafrasspur/sassafrasspur/internal/rows"
	"github.com/sassafrasspur/sassafrasspur/internal/snapshot"
	"github.com/sassafrasspur/sassafrasspur/internal/standin/rowstore"
)

// TestManyOldRows guards against VMs that can't write their rows, and so serve nobody, once
// a deployment has replaced more VMs than one transaction can remove.
func TestManyOldRows(t *testing.T) {
	g := NewWithT(t)
	ctx, store := t.Context(), rowstore.New()
	const old = 120
	for i := range old {
		vm := row(fmt.Sprintf("vm-%d:ready:0s", i), 0)
		_, err := store.Commit(ctx, rows.Transaction{Puts: []rows.Put{{ID: vm.ID, Value: vm.Value}}})
		g.Expect(err).NotTo(HaveOccurred())
	}
	e := enroller.New(snapshot.Member{VM: "self", RequestAddress: "self:1"}, enroller.DefaultInterval)
	now := time.Unix(0, 0)
	e.Handle(now, message.Started{})
	for range 3 {
		page, err := store.Read(ctx, rows.Range{Table: table})
		g.Expect(err).NotTo(HaveOccurred())
		page.Clock = rows.Clock(time.Hour)
		for _, made := range e.Handle(now, message.RowsRead{Range: rows.Range{Table: table}, SentAt: now, Page: page}) {
			if write, ok := made.(effect.WriteRows); ok {
				outcome, err := store.Commit(ctx, write.Transaction)
				g.Expect(err).NotTo(HaveOccurred())
				e.Handle(now, message.RowsWritten{Transaction: write.Transaction, Outcome: outcome})
			}
		}
	}
	g.Expect(store.Size()).To(Equal(1), "the row of the VM itself")
}
