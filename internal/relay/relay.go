// Package relay calls the platform's store through another entry VM while this VM
// can't reach the store.
//
// A call that may have been applied is reported as unknown, as by the store
// itself. Callers recognize their own writes, so the path of a call does not
// matter to them.
package relay

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/sassafrasspur/sassafrasspur/internal/rows"
	"github.com/sassafrasspur/sassafrasspur/internal/snapshot"
	"github.com/sassafrasspur/sassafrasspur/internal/timer"
)

const (
	// probeInterval is the interval between direct calls that check whether the
	// store serves this VM again, while peers reach the store.
	probeInterval = time.Second
	// outageProbeInterval replaces probeInterval while no peer reaches the store
	// either. Turns wait for the store, and a program has a second or two to spare.
	outageProbeInterval = 100 * time.Millisecond
	// disconnectedAfter is the time without a response of the store after which this
	// VM is considered disconnected. A store that rejects calls beyond its rate
	// limit still answers some of them, and calls through peers would add to its
	// load.
	disconnectedAfter = 400 * time.Millisecond
	// peerCooldown is how long a peer is skipped after it failed to reach the store.
	peerCooldown = time.Second
	// minRelayBackoff is how long no peer is called after a call that all chosen
	// peers failed. It doubles with each further failure, up to maxRelayBackoff.
	// Without it, each VM would call every other VM once a second during an outage
	// that affects all of them.
	minRelayBackoff = 25 * time.Millisecond
	maxRelayBackoff = 400 * time.Millisecond
	// maxPeersPerCall bounds the peers tried by one call.
	maxPeersPerCall = 2
)

// Peers calls the store through other entry VMs. An error whose cause is not an
// error of package rows means that the peer did not respond.
type Peers interface {
	Commit(ctx context.Context, address string, t rows.Transaction) (rows.Outcome, error)
	Read(ctx context.Context, address string, r rows.Range) (rows.Page, error)
	Changes(ctx context.Context, address string, t rows.Table, after rows.Version, wait time.Duration) (rows.Page, error)
}

// Relay is a row store that calls the platform's store directly or through peers.
type Relay struct {
	direct  rows.Store
	peers   Peers
	timers  *timer.Service
	members func() []snapshot.Member
	self    snapshot.Member

	mu sync.Mutex
	// answeredAt is when the store last answered this VM.
	answeredAt time.Time
	// nextProbeAt is the time of the next direct call; zero while the store serves
	// this VM.
	nextProbeAt time.Time
	// cooldowns has the time until which a peer is skipped, by its address.
	cooldowns map[string]time.Time
	// failedRelays counts consecutive calls that all chosen peers failed, and
	// nextRelayAt is the time from which peers are called again.
	failedRelays int
	nextRelayAt  time.Time
	nextMember   int
	// reached is closed when the store is reached after an outage.
	reached chan struct{}
}

// New returns the relay of a VM. members returns the members that serve callers.
func New(direct rows.Store, peers Peers, timers *timer.Service, self snapshot.Member, members func() []snapshot.Member) *Relay {
	return &Relay{direct: direct, peers: peers, timers: timers, members: members, self: self, cooldowns: map[string]time.Time{}, answeredAt: timers.Now(), reached: make(chan struct{})}
}

// Commit applies a transaction.
func (r *Relay) Commit(ctx context.Context, t rows.Transaction) (rows.Outcome, error) {
	return call(ctx, r,
		func() (rows.Outcome, error) { return r.direct.Commit(ctx, t) },
		func(peer string) (rows.Outcome, error) { return r.peers.Commit(ctx, peer, t) })
}

// Read returns the rows of a range.
func (r *Relay) Read(ctx context.Context, of rows.Range) (rows.Page, error) {
	return call(ctx, r,
		func() (rows.Page, error) { return r.direct.Read(ctx, of) },
		func(peer string) (rows.Page, error) { return r.peers.Read(ctx, peer, of) })
}

// Changes returns the rows of a table that changed after a version.
func (r *Relay) Changes(ctx context.Context, t rows.Table, after rows.Version, wait time.Duration) (rows.Page, error) {
	return call(ctx, r,
		func() (rows.Page, error) { return r.direct.Changes(ctx, t, after, wait) },
		func(peer string) (rows.Page, error) { return r.peers.Changes(ctx, peer, t, after, wait) })
}

// call makes a direct call, and calls peers if this VM is disconnected. While it
// is disconnected, direct calls are only made as probes. A call with a deadline that
// was not made, or was refused, waits and is made as soon as the store is back.
func call[T any](ctx context.Context, r *Relay, direct func() (T, error), relayed func(peer string) (T, error)) (T, error) {
	for {
		answer, err := try(ctx, r, direct, relayed)
		if !errors.Is(err, rows.ErrUnavailable) || !r.isDisconnected() || !r.awaitStore(ctx) {
			return answer, err
		}
	}
}

// try makes a call directly and through peers as far as each is allowed now. If
// neither is, it returns that nothing was done.
func try[T any](ctx context.Context, r *Relay, direct func() (T, error), relayed func(peer string) (T, error)) (T, error) {
	var answer T
	err := error(rows.ErrUnavailable)
	if r.shouldCallDirect() {
		answer, err = direct()
		r.recordDirect(ctx, err)
		if !isOutage(err) || !r.isDisconnected() {
			return answer, err
		}
	}
	chosen := r.choosePeers()
	for _, peer := range chosen {
		if ctx.Err() != nil {
			return answer, err
		}
		relayedAnswer, relayedErr := relayed(peer)
		if !isOutage(relayedErr) {
			r.recordRelay(true)
			return relayedAnswer, relayedErr
		}
		r.startCooldown(peer)
		err = weakerGuarantee(err, relayedErr)
	}
	if len(chosen) > 0 {
		r.recordRelay(false)
	}
	return answer, err
}

// awaitStore waits until the store is reached again or the next probe is due. It
// reports false if the context ends first, or has no deadline.
func (r *Relay) awaitStore(ctx context.Context) bool {
	if _, ok := ctx.Deadline(); !ok {
		return false
	}
	r.mu.Lock()
	reached, next := r.reached, r.nextProbeAt
	r.mu.Unlock()
	probe := r.timers.At(next)
	defer probe.Cancel()
	select {
	case <-reached:
	case <-probe.C:
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}

// isOutage reports whether an error means that the store was not reached.
func isOutage(err error) bool {
	return err != nil && !errors.Is(err, rows.ErrCompacted) && !errors.Is(err, rows.ErrOverloaded)
}

// weakerGuarantee returns the error that guarantees less, because either of the
// two attempts may have applied a transaction.
func weakerGuarantee(a, b error) error {
	if errors.Is(a, rows.ErrUnavailable) && !errors.Is(b, rows.ErrUnavailable) {
		return b
	}
	return a
}

// shouldCallDirect reports whether to call the store directly. While this VM is
// disconnected, it allows one call per probe interval.
func (r *Relay) shouldCallDirect() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.timers.Now()
	if r.nextProbeAt.IsZero() {
		return true
	}
	if now.Before(r.nextProbeAt) {
		return false
	}
	r.nextProbeAt = now.Add(r.currentProbeInterval())
	return true
}

func (r *Relay) currentProbeInterval() time.Duration {
	if r.failedRelays > 0 {
		return outageProbeInterval
	}
	return probeInterval
}

// announceReached lets the waiting calls continue.
func (r *Relay) announceReached() {
	close(r.reached)
	r.reached = make(chan struct{})
}

// recordDirect records the result of a direct call. Failures of cancelled calls are
// ignored, because they say nothing about the store.
func (r *Relay) recordDirect(ctx context.Context, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.timers.Now()
	switch {
	case !isOutage(err):
		if !r.nextProbeAt.IsZero() {
			r.announceReached()
		}
		r.answeredAt, r.nextProbeAt = now, time.Time{}
		r.failedRelays, r.nextRelayAt = 0, time.Time{}
	case !errors.Is(ctx.Err(), context.Canceled) && now.Sub(r.answeredAt) > disconnectedAfter:
		r.nextProbeAt = now.Add(r.currentProbeInterval())
	}
}

func (r *Relay) isDisconnected() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.nextProbeAt.IsZero()
}

func (r *Relay) startCooldown(peer string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cooldowns[peer] = r.timers.Now().Add(peerCooldown)
}

// recordRelay records whether a peer completed a call, and backs off if none did.
func (r *Relay) recordRelay(completed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if completed {
		if r.failedRelays > 0 {
			r.announceReached()
		}
		r.failedRelays, r.nextRelayAt = 0, time.Time{}
		return
	}
	r.nextRelayAt = r.timers.Now().Add(r.relayBackoff())
	r.failedRelays++
	if soon := r.timers.Now().Add(outageProbeInterval); r.nextProbeAt.After(soon) {
		r.nextProbeAt = soon
	}
}

func (r *Relay) relayBackoff() time.Duration {
	return min(minRelayBackoff<<min(r.failedRelays, 10), maxRelayBackoff)
}

// choosePeers returns the peers to call, in round-robin order. After a call that no
// peer completed, one call at a time tries them.
func (r *Relay) choosePeers() []string {
	candidates := r.members()
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.timers.Now()
	if now.Before(r.nextRelayAt) {
		return nil
	}
	if r.failedRelays > 0 {
		r.nextRelayAt = now.Add(r.relayBackoff())
	}
	var chosen []string
	for range candidates {
		m := candidates[r.nextMember%len(candidates)]
		r.nextMember++
		if m.VM == r.self.VM || m.PeerAddress == "" || now.Before(r.cooldowns[m.PeerAddress]) {
			continue
		}
		if chosen = append(chosen, m.PeerAddress); len(chosen) == maxPeersPerCall {
			break
		}
	}
	return chosen
}
