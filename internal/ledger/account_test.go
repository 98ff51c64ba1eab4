package ledger_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/failure"
	"github.com/sassafrasspur/sassafrasspur/internal/ledger"
	"github.com/sassafrasspur/sassafrasspur/internal/standin/rowstore"
	"github.com/sassafrasspur/sassafrasspur/internal/timer"
)

// Guards against a turn that continues one of another account, at the VM that has it in
// memory and at others, against rows without an account that can't be continued any more,
// and against a not_found error while the store does not answer.
func TestTurnsOfAccounts(t *testing.T) {
	g := NewWithT(t)
	store := rowstore.New()
	ctx := context.Background()
	vm := func() *ledger.Ledger {
		return ledger.New(store, timer.New(), ledger.WithTimeouts(100*time.Millisecond, 100*time.Millisecond))
	}
	first := vm()
	g.Expect(first.Store(ctx, ledger.Turn{Program: "p", Turn: "plain"}, []byte("plain "), nil)).To(Succeed())
	g.Expect(first.Store(ctx, ledger.Turn{Program: "p", Turn: "one", Previous: "plain", Account: "a"}, []byte("one"), nil)).To(Succeed())
	read := func(l *ledger.Ledger, previous ident.RequestID, account ident.AccountID, ignored bool) string {
		history, err := l.History(ctx, ledger.Turn{Program: "q", Turn: "next", Previous: previous, Account: account, AccountsIgnored: ignored}, nil)
		if err != nil {
			return string(failure.From(err).Kind)
		}
		return string(history)
	}
	for range 2 {
		for _, l := range []*ledger.Ledger{first, vm()} {
			g.Expect(read(l, "one", "a", false)).To(Equal("plain one"))
			g.Expect(read(l, "one", "b", false)).To(Equal("not_found"))
			g.Expect(read(l, "one", "", false)).To(Equal("not_found"))
			g.Expect(read(l, "one", "", true)).To(Equal("plain one"), "accounts are no longer listed")
			g.Expect(read(l, "plain", "b", false)).To(Equal("plain "))
		}
	}
	store.Inject(func(bool) rowstore.Fault { return rowstore.Refuse{} })
	g.Expect(read(first, "one", "b", false)).To(Equal("platform_unavailable"))
	g.Expect(read(vm(), "one", "b", false)).To(Equal("platform_unavailable"))
}
