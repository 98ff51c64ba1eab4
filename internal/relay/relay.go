// Package relay reaches the platform's store through another entry VM when the
// store turns this VM away.
//
// A call that may have been applied is reported as unknown, as for the store
// itself: callers recognize their own writes, which makes the way of a call
// irrelevant.
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
	// tryDirectEvery spaces the calls that find out whether the store serves
	// this VM again.
	tryDirectEvery = time.Second
	// awayAfter is the time without an answer of the store after which this VM
	// counts as turned away. A store that refuses calls beyond its rate still
	// answers some of them, and asking peers would add to the load.
	awayAfter = 400 * time.Millisecond
	// peerPause is how long a peer is passed over that could not reach the
	// store either.
	peerPause = time.Second
	// searchPause is the time without calls through peers after a call that
	// none of its peers could carry out. It doubles with each further one, up to
	// longestSearchPause: in an outage for all, each VM would otherwise ask each
	// other one in every second.
	searchPause        = 25 * time.Millisecond
	longestSearchPause = 400 * time.Millisecond
	// candidates bounds the peers that one call asks.
	candidates = 2
)

// Peers calls the store from other entry VMs. An error whose cause is not one of
// package rows says that the peer did not answer.
type Peers interface {
	Commit(ctx context.Context, address string, t rows.Transaction) (rows.Outcome, error)
	Read(ctx context.Context, address string, r rows.Range) (rows.Page, error)
	Changes(ctx context.Context, address string, t rows.Table, after rows.Version, wait time.Duration) (rows.Page, error)
}

// Relay is the store as this VM reaches it.
type Relay struct {
	direct rows.Store
	peers  Peers
	timers *timer.Service
	view   func() []snapshot.Member
	self   snapshot.Member

	mu sync.Mutex
	// answeredAt is when the store last answered this VM.
	answeredAt time.Time
	// directAfter is when the store is asked directly again; zero while it
	// serves this VM.
	directAfter time.Time
	// passOver has the peers that are not asked until a time.
	passOver map[string]time.Time
	// searches counts the calls in a row that no peer could carry out, and
	// searchAfter is when peers are asked again.
	searches    int
	searchAfter time.Time
	next        int
}

// New returns the store of a VM. The view has the members that serve callers.
func New(direct rows.Store, peers Peers, timers *timer.Service, self snapshot.Member, view func() []snapshot.Member) *Relay {
	return &Relay{direct: direct, peers: peers, timers: timers, view: view, self: self, passOver: map[string]time.Time{}, answeredAt: timers.Now()}
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

// call asks the store, and peers if it does not serve this VM. While it does
// not, peers are asked first.
func call[T any](ctx context.Context, r *Relay, direct func() (T, error), relayed func(peer string) (T, error)) (T, error) {
	var answer T
	err := error(rows.ErrUnavailable)
	if r.tryDirect() {
		answer, err = direct()
		r.noteDirect(ctx, err)
		if !isOutage(err) || !r.isAway() {
			return answer, err
		}
	}
	asked := r.choose()
	for _, peer := range asked {
		if ctx.Err() != nil {
			return answer, err
		}
		relayedAnswer, relayedErr := relayed(peer)
		if !isOutage(relayedErr) {
			r.noteSearch(true)
			return relayedAnswer, relayedErr
		}
		r.notePeer(peer)
		err = worse(err, relayedErr)
	}
	if len(asked) > 0 {
		r.noteSearch(false)
	}
	return answer, err
}

// isOutage reports whether an error says that the store was not reached.
func isOutage(err error) bool {
	return err != nil && !errors.Is(err, rows.ErrCompacted)
}

// worse returns the error of two tries that promises less: a transaction may
// have been applied by either.
func worse(a, b error) error {
	if errors.Is(a, rows.ErrUnavailable) && !errors.Is(b, rows.ErrUnavailable) {
		return b
	}
	return a
}

// tryDirect reports whether to ask the store directly. While it does not serve
// this VM, one call in a while does.
func (r *Relay) tryDirect() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.timers.Now()
	if r.directAfter.IsZero() {
		return true
	}
	if now.Before(r.directAfter) {
		return false
	}
	r.directAfter = now.Add(tryDirectEvery)
	return true
}

// noteDirect notes whether the store served this VM. A caller that left says
// nothing about it.
func (r *Relay) noteDirect(ctx context.Context, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.timers.Now()
	switch {
	case !isOutage(err):
		r.answeredAt, r.directAfter = now, time.Time{}
	case !errors.Is(ctx.Err(), context.Canceled) && now.Sub(r.answeredAt) > awayAfter:
		r.directAfter = now.Add(tryDirectEvery)
	}
}

// isAway reports whether this VM counts as turned away.
func (r *Relay) isAway() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.directAfter.IsZero()
}

func (r *Relay) notePeer(peer string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.passOver[peer] = r.timers.Now().Add(peerPause)
}

// noteSearch notes whether a call was carried out by a peer.
func (r *Relay) noteSearch(found bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if found {
		r.searches, r.searchAfter = 0, time.Time{}
		return
	}
	r.searchAfter = r.timers.Now().Add(min(searchPause<<min(r.searches, 10), longestSearchPause))
	r.searches++
}

// choose returns the peers to ask, by turns.
func (r *Relay) choose() []string {
	members := r.view()
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.timers.Now()
	if now.Before(r.searchAfter) {
		return nil
	}
	var chosen []string
	for range members {
		m := members[r.next%len(members)]
		r.next++
		if m.VM == r.self.VM || m.PeerAddress == "" || now.Before(r.passOver[m.PeerAddress]) {
			continue
		}
		if chosen = append(chosen, m.PeerAddress); len(chosen) == candidates {
			break
		}
	}
	return chosen
}
