package peerlink_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/juju/errors"
	. "github.com/onsi/gomega"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/effect"
	"github.com/sassafrasspur/sassafrasspur/internal/escrow"
	"github.com/sassafrasspur/sassafrasspur/internal/peerlink"
	"github.com/sassafrasspur/sassafrasspur/internal/rows"
	"github.com/sassafrasspur/sassafrasspur/internal/snapshot"
	"github.com/sassafrasspur/sassafrasspur/internal/standin/rowstore"
	"github.com/sassafrasspur/sassafrasspur/internal/timer"
	"github.com/sassafrasspur/sassafrasspur/internal/upstream"
)

// hangingStore is a store whose reads never return a result.
type hangingStore struct{ rows.Store }

func (hangingStore) Read(ctx context.Context, _ rows.Range) (rows.Page, error) {
	<-ctx.Done()
	return rows.Page{}, rows.ErrOutcomeUnknown
}

// Changes waits for the whole duration and returns no changes.
func (hangingStore) Changes(ctx context.Context, _ rows.Table, after rows.Version, wait time.Duration) (rows.Page, error) {
	end := timer.New().After(wait)
	defer end.Cancel()
	select {
	case <-end.C:
		return rows.Page{Version: after}, nil
	case <-ctx.Done():
		return rows.Page{}, rows.ErrOutcomeUnknown
	}
}

// startPeer starts a VM that serves peers. It returns its address and the
// Peerlink of another VM.
func startPeer(t *testing.T, view snapshot.Entry) (string, *peerlink.Peerlink) {
	g := NewWithT(t)
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	timers := timer.New()
	ignore := func(error) {}
	store := rowstore.New()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = listener.Close() })
	server := peerlink.New(hangingStore{store}, timers, ignore)
	go server.Serve(ctx, listener, escrow.New(ctx, store, timers), func() snapshot.Entry { return view })
	return listener.Addr().String(), peerlink.New(store, timers, ignore)
}

// Guards against a connection that is closed when the context of one caller
// ends, which fails the calls of all others on it. During an outage of the store
// this lost grants of turns.
func TestCallerDeadline(t *testing.T) {
	g := NewWithT(t)
	address, link := startPeer(t, snapshot.Entry{})
	request := escrow.Request{Program: "p", Budget: 100, MaxTokens: 10}
	grant, err := link.Take(context.Background(), address, request)
	g.Expect(err).NotTo(HaveOccurred())
	short, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err = link.Read(short, address, rows.Range{Table: "t"})
	g.Expect(errors.Is(err, rows.ErrOutcomeUnknown)).To(BeTrue(), "%v", err)
	_, err = link.Take(context.Background(), address, request)
	g.Expect(err).NotTo(HaveOccurred())
	link.Return(address, grant, 1)
}

// Guards against repeated connection attempts to a VM that is down, and against
// ErrUnavailable, which means that nothing was done, for a call that was sent.
func TestUnreachablePeer(t *testing.T) {
	g := NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	address := listener.Addr().String()
	g.Expect(listener.Close()).To(Succeed())
	link := peerlink.New(rowstore.New(), timer.New(), func(error) {})
	began := time.Now()
	for range 20 {
		_, err = link.Read(context.Background(), address, rows.Range{Table: "t"})
		g.Expect(errors.Is(err, rows.ErrUnavailable)).To(BeTrue(), "%v", err)
	}
	g.Expect(time.Since(began)).To(BeNumerically("<", time.Second))
	serving, other := startPeer(t, snapshot.Entry{})
	_, err = other.Read(context.Background(), serving, rows.Range{Table: "t"})
	g.Expect(errors.Is(err, rows.ErrOutcomeUnknown)).To(BeTrue(), "%v", err)
}

// Guards against a timeout that ends a long poll for changes too early, so that
// the caller takes the store to be unreachable from the peer.
func TestLongPoll(t *testing.T) {
	g := NewWithT(t)
	address, link := startPeer(t, snapshot.Entry{})
	page, err := link.Changes(context.Background(), address, "routes", 7, 3200*time.Millisecond)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(page.Version).To(Equal(rows.Version(7)))
}

// Guards against a copied list that lacks changes, and against one without its
// age, by which a VM detects that the peer no longer reads the store.
func TestUpstreams(t *testing.T) {
	g := NewWithT(t)
	first := upstream.NewList().Next(map[ident.UpstreamID]upstream.Upstream{"u": {ID: "u", Leaving: true}})
	address, link := startPeer(t, snapshot.Entry{UpstreamList: first, UpstreamsAsOf: time.Now().Add(-time.Second)})
	change, err := link.Upstreams(context.Background(), effect.FetchUpstreams{Address: address, Known: 1})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(change.Complete).To(BeTrue())
	g.Expect(change.Listed).To(Equal([]upstream.Upstream{{ID: "u", Leaving: true}}))
	g.Expect(change.Age).To(BeNumerically("~", time.Second, 500*time.Millisecond))
	again, err := link.Upstreams(context.Background(), effect.FetchUpstreams{Address: address, Known: change.Digest})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(again.Listed).To(BeEmpty())
	empty, other := startPeer(t, snapshot.Entry{})
	_, err = other.Upstreams(context.Background(), effect.FetchUpstreams{Address: empty})
	g.Expect(err).To(HaveOccurred())
}

// Guards against a list of entry VMs that is sent in full although nothing
// changed, and against one without the store's clock, which a VM that does not
// read the store uses to date its own row.
func TestMembers(t *testing.T) {
	g := NewWithT(t)
	list := snapshot.NewMemberList([]snapshot.Member{{VM: "b", Leaving: true}, {VM: "a", Ready: true}}, 7, time.Now().Add(-time.Second))
	address, link := startPeer(t, snapshot.Entry{MemberList: list})
	change, err := link.Members(context.Background(), effect.FetchMembers{Address: address})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(change.Present).To(Equal([]snapshot.Member{{VM: "a", Ready: true}, {VM: "b", Leaving: true}}))
	g.Expect(change.Clock).To(Equal(rows.Clock(7)))
	g.Expect(change.Age).To(BeNumerically("~", time.Second, 500*time.Millisecond))
	again, err := link.Members(context.Background(), effect.FetchMembers{Address: address, Known: change.Digest})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(again.Present).To(BeEmpty())
	g.Expect(again.Digest).To(Equal(change.Digest))
	empty, other := startPeer(t, snapshot.Entry{})
	_, err = other.Members(context.Background(), effect.FetchMembers{Address: empty})
	g.Expect(err).To(HaveOccurred())
}

// Guards against a home VM that does not learn over the link which engine served a turn, or
// does not pass it on with the next grant.
func TestEngineOfProgram(t *testing.T) {
	g := NewWithT(t)
	address, link := startPeer(t, snapshot.Entry{})
	request := escrow.Request{Program: "p", Budget: 100, MaxTokens: 10}
	grant, err := link.Take(context.Background(), address, request)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(grant.Engine.IsZero()).To(BeTrue())
	grant.Engine = upstream.Process{ID: "e1", Incarnation: 1 << 60}
	link.Return(address, grant, 1)
	g.Eventually(func() (upstream.Process, error) {
		next, err := link.Take(context.Background(), address, request)
		link.Return(address, escrow.Grant{ID: next.ID, Program: "p"}, 0)
		return next.Engine, err
	}).Should(Equal(grant.Engine))
}
