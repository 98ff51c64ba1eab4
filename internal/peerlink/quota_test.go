package peerlink_test

import (
	"context"
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sassafrasspur/sassafrasspur/internal/escrow"
	"github.com/sassafrasspur/sassafrasspur/internal/peerlink"
	"github.com/sassafrasspur/sassafrasspur/internal/quotaassigner"
	"github.com/sassafrasspur/sassafrasspur/internal/quotakeeper"
	"github.com/sassafrasspur/sassafrasspur/internal/quotataker"
	"github.com/sassafrasspur/sassafrasspur/internal/snapshot"
	"github.com/sassafrasspur/sassafrasspur/internal/standin/rowstore"
	"github.com/sassafrasspur/sassafrasspur/internal/timer"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/clientaccount"
)

// quotas is the keeper of a VM with a fixed list.
type quotas struct {
	keeper *quotakeeper.Keeper
	now    time.Time
}

func (q quotas) Take(r quotakeeper.Request) quotakeeper.Answer { return q.keeper.Take(q.now, r) }

// Guards against fields of a request or an answer that are lost between VMs, and against a
// VM that can't grant and is taken for one that refuses.
func TestQuota(t *testing.T) {
	g := NewWithT(t)
	start := time.Unix(1000, 0)
	limits := quotakeeper.Limits{Window: 5 * time.Second, Overage: 0.1, Slack: 20}
	keeper := quotakeeper.New("keeper", 1, limits)
	for _, at := range []time.Duration{0, 5 * time.Second, 10 * time.Second, 13 * time.Second} {
		keeper.UpdateList(start.Add(at), start.Add(at), quotaassigner.New([]snapshot.Member{{VM: "keeper", Region: "west", RequestAddress: "r", PeerAddress: "p"}}), false)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = listener.Close() }()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	timers, store := timer.New(), rowstore.New()
	server := peerlink.New(store, timers, func(error) {})
	go server.Serve(ctx, listener, escrow.New(ctx, store, timers), func() snapshot.Entry { return snapshot.Entry{} },
		peerlink.WithQuotas(quotas{keeper, start.Add(13500 * time.Millisecond)}))
	address := listener.Addr().String()
	link := peerlink.New(store, timers, func(error) {})

	request := quotakeeper.Request{Account: "kantor", Part: "west", Rate: 2, Burst: 4, Version: 3, First: 1, Further: 2, Spare: 1}
	answer, err := link.TakeQuota(ctx, address, request)
	g.Expect(err).NotTo(HaveOccurred())
	// The bucket holds seven tokens after 3.5 s.
	g.Expect(answer).To(Equal(quotakeeper.Granted{First: 1, Further: 2, ListAge: 500 * time.Millisecond}))
	request.First, request.Further = 4, 9
	answer, err = link.TakeQuota(ctx, address, request)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(answer).To(Equal(quotakeeper.Granted{Further: 4, FirstRetry: 2 * time.Second, FurtherRetry: 500 * time.Millisecond, ListAge: 500 * time.Millisecond}))
	request.Part = "east"
	keeper.UpdateList(start.Add(14*time.Second), start.Add(13200*time.Millisecond), quotaassigner.New([]snapshot.Member{
		{VM: "keeper", Region: "west", RequestAddress: "r", PeerAddress: "p"}, {VM: "other", Region: "east", RequestAddress: "r", PeerAddress: "p"}}), false)
	answer, err = link.TakeQuota(ctx, address, request)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(answer).To(Equal(quotakeeper.Unavailable{Reason: quotakeeper.NotKeeper, ListAge: 300 * time.Millisecond}))

	// A VM that keeps no quotas is like one that does not answer, and the taker goes on.
	without, _ := startPeer(t, snapshot.Entry{})
	members := []snapshot.Member{
		{VM: "keeper", Region: "west", RequestAddress: "r", PeerAddress: address}, {VM: "other", Region: "east", RequestAddress: "r", PeerAddress: without},
	}
	taker := quotataker.New("caller", []ident.Region{"east", "west"}, limits.TokenLifetime(), nil, link, timers, func() []snapshot.Member { return members })
	kantor := &clientaccount.Account{ID: "other-kantor", Quota: clientaccount.Quota{Rate: 10, Burst: 10}}
	used, refusal, err := taker.Take(kantor, 3, quotataker.Further).Use(ctx)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(refusal).To(BeNil())
	g.Expect(used).To(BeTrue())
}

// BenchmarkTakeQuota measures a request for a token to another VM over loopback, both ends
// together.
func BenchmarkTakeQuota(b *testing.B) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	timers, store := timer.New(), rowstore.New()
	server := peerlink.New(store, timers, func(error) {})
	go server.Serve(ctx, listener, escrow.New(ctx, store, timers), func() snapshot.Entry { return snapshot.Entry{} },
		peerlink.WithQuotas(quotas{quotakeeper.New("keeper", 1, quotakeeper.Limits{}), time.Now()}))
	link := peerlink.New(store, timers, func(error) {})
	request := quotakeeper.Request{Account: "kantor", Part: "west", Rate: 2, Burst: 4, Version: 3, First: 1}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := link.TakeQuota(ctx, listener.Addr().String(), request); err != nil {
			b.Fatal(err)
		}
	}
}
