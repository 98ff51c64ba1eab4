package peerlink_test

import (
	"bytes"
	"context"
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sassafrasspur/sassafrasspur/internal/escrow"
	"github.com/sassafrasspur/sassafrasspur/internal/ledger"
	"github.com/sassafrasspur/sassafrasspur/internal/peerlink"
	"github.com/sassafrasspur/sassafrasspur/internal/rows"
	"github.com/sassafrasspur/sassafrasspur/internal/snapshot"
	"github.com/sassafrasspur/sassafrasspur/internal/standin/rowstore"
	"github.com/sassafrasspur/sassafrasspur/internal/timer"
)

// remoteStore is the store as reached through a peer.
type remoteStore struct {
	link    *peerlink.Peerlink
	address string
}

func (s remoteStore) Commit(ctx context.Context, t rows.Transaction) (rows.Outcome, error) {
	return s.link.Commit(ctx, s.address, t)
}

func (s remoteStore) Read(ctx context.Context, r rows.Range) (rows.Page, error) {
	return s.link.Read(ctx, s.address, r)
}

func (s remoteStore) Changes(ctx context.Context, t rows.Table, after rows.Version, wait time.Duration) (rows.Page, error) {
	return s.link.Changes(ctx, s.address, t, after, wait)
}

// TestLongTurnsThroughPeer guards against long turns that are lost, or can't be continued,
// while a VM reaches the store through a peer only.
func TestLongTurnsThroughPeer(t *testing.T) {
	g := NewWithT(t)
	timers, store := timer.New(), rowstore.New()
	ignore := func(error) {}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = listener.Close() })
	server := peerlink.New(store, timers, ignore)
	go server.Serve(t.Context(), listener, escrow.New(t.Context(), store, timers), func() snapshot.Entry { return snapshot.Entry{} })
	remote := remoteStore{link: peerlink.New(store, timers, ignore), address: listener.Addr().String()}

	input := bytes.Repeat([]byte("i"), 4<<20)
	// The time that a busy machine takes is not under test.
	noLimits := ledger.WithTimeouts(time.Minute, time.Minute)
	g.Expect(ledger.New(remote, timers, noLimits).Store(t.Context(), ledger.Turn{Program: "p", Turn: "one"}, input, []byte("out"))).To(Succeed())
	history, err := ledger.New(remote, timers, noLimits).History(t.Context(), ledger.Turn{Program: "p", Turn: "two", Previous: "one"}, nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(history) == string(input)+"out").To(BeTrue(), "%d bytes", len(history))
}
