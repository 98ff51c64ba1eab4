package quotagranter_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sassafrasspur/sassafrasspur/internal/quotagranter"
	"github.com/sassafrasspur/sassafrasspur/internal/quotakeeper"
	"github.com/sassafrasspur/sassafrasspur/internal/snapshot"
	"github.com/sassafrasspur/sassafrasspur/internal/timer"
)

// view publishes snapshots.
type view struct {
	mu      sync.Mutex
	latest  snapshot.Snapshot
	changed chan struct{}
}

func (v *view) Snapshot() *snapshot.Snapshot {
	v.mu.Lock()
	defer v.mu.Unlock()
	latest := v.latest
	return &latest
}

func (v *view) Changed() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.changed
}

// publish publishes a list as of a time, with the time of the VM's row.
func (v *view) publish(asOf, written time.Time) {
	members := []snapshot.Member{{VM: "a", Region: "west", RequestAddress: "r", PeerAddress: "p", Ready: true}}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.latest.Entry = snapshot.Entry{Recent: members, MembersAsOf: asOf, MemberList: snapshot.NewMemberList(members, 0, asOf), RowWrittenAt: written}
	close(v.changed)
	v.changed = make(chan struct{})
}

// Guards against a VM that grants tokens although its row has expired, so that other VMs
// have named another keeper, or although its configuration is not proven.
func TestGranter(t *testing.T) {
	g := NewWithT(t)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	clock := timer.NewManual(time.Unix(1000, 0))
	v := &view{changed: make(chan struct{})}
	var unproven atomic.Bool
	limits := quotakeeper.Limits{Window: 5 * time.Second, Overage: 0.1, Slack: 20}
	granter := quotagranter.New(ctx, quotakeeper.New("a", 1, limits), v, timer.New(timer.WithManual(clock)), func() bool { return !unproven.Load() })
	take := func() quotakeeper.Answer {
		return granter.Take(quotakeeper.Request{Account: "kantor", Part: "west", Rate: 10, Burst: 10, Further: 1})
	}
	g.Expect(take()).To(Equal(quotakeeper.Unavailable{Reason: quotakeeper.ListTooOld, Retry: quotakeeper.HandoverDelay}))
	var written time.Time
	for range 8 {
		written = clock.Now()
		v.publish(clock.Now(), written)
		g.Eventually(func() time.Duration {
			switch a := take().(type) {
			case quotakeeper.Granted:
				return a.ListAge
			case quotakeeper.Unavailable:
				if a.Reason == quotakeeper.NewKeeper {
					return a.ListAge
				}
			}
			return time.Hour
		}).Should(BeZero(), "the newest list must be in use")
		clock.Advance(1500 * time.Millisecond)
	}
	g.Expect(take()).To(Equal(quotakeeper.Granted{Further: 1, ListAge: 1500 * time.Millisecond}))
	// Suspended time counts, although the monotonic clock stops.
	clock.Suspend(5 * time.Second)
	g.Expect(take()).To(HaveField("ListAge", 6500*time.Millisecond))
	clock.Suspend(600 * time.Millisecond)
	g.Expect(take()).To(HaveField("Reason", quotakeeper.ListTooOld))
	written = clock.Now()
	v.publish(clock.Now(), written)
	g.Eventually(take).Should(BeAssignableToTypeOf(quotakeeper.Granted{}))
	unproven.Store(true)
	g.Expect(take()).To(HaveField("Reason", quotakeeper.ConfigurationNotProven))
	unproven.Store(false)
	// The lists go on, and the row is not written any more.
	for range 34 {
		v.publish(clock.Now(), written)
		clock.Advance(1500 * time.Millisecond)
	}
	g.Consistently(take, 100*time.Millisecond).Should(HaveField("Reason", quotakeeper.ListTooOld))
}
