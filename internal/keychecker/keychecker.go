// Package keychecker decides whether a request may use its key.
//
// A key that the routes list may be used while the routes are proved to be recent enough,
// if revocation is strict. A key that they lack is refused for good only if they are proved
// to be recent; otherwise the request is refused as not run, because the key may have been
// added meanwhile. A request that needs a newer proof waits for one read of the routes.
package keychecker

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/clientaccount"
	"github.com/sassafrasspur/sassafrasspur/internal/failure"
	"github.com/sassafrasspur/sassafrasspur/internal/message"
	"github.com/sassafrasspur/sassafrasspur/internal/snapshot"
	"github.com/sassafrasspur/sassafrasspur/internal/timer"
	"github.com/sassafrasspur/sassafrasspur/internal/traffic"
)

const (
	// usableShare is the largest age of a proof on which a key is used, as a share of the
	// revocation limit. The rest covers one second in which the store's feed is silent,
	// and the error of the clocks.
	usableShare = 0.7
	// renewShare is the age from which a newer proof is requested in advance. Proofs
	// get as old only if a watch has failed.
	renewShare = 0.5
	// certainAge is the age of a proof up to which a key that the routes lack is unknown
	// for certain. It is the smallest limit within which added keys have to be accepted.
	certainAge = time.Second
	// proofTimeout bounds the wait for a newer proof: a read of the store that takes a
	// hundred times the usual 4 ms, or one through a peer.
	proofTimeout = 400 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the random delay sent to callers. Callers
	// repeat a request within a third of their time limit, which is 4 s or less.
	minRetryDelay = 300 * time.Millisecond
	maxRetryDelay = 900 * time.Millisecond
)

// Control is the part of the control goroutine that holds the routes.
type Control interface {
	Snapshot() *snapshot.Snapshot
	// Changed returns a channel that is closed when the next snapshot is published.
	Changed() <-chan struct{}
	Post(m message.Message)
}

// Keychecker checks the keys of requests. It is safe for concurrent use.
type Keychecker struct {
	control Control
	timers  *timer.Service
	// revocationLimit is 0 if the use of keys needs no proof.
	revocationLimit time.Duration
}

// Option configures a Keychecker.
type Option func(*Keychecker)

// WithRevocationLimit sets the time after which a removed key must not be used by any VM.
func WithRevocationLimit(limit time.Duration) Option {
	return func(k *Keychecker) { k.revocationLimit = limit }
}

// New returns a Keychecker.
func New(control Control, timers *timer.Service, options ...Option) *Keychecker {
	k := &Keychecker{control: control, timers: timers}
	for _, option := range options {
		option(k)
	}
	return k
}

// verdict is the result of a decision. The interface is sealed: the variants are allowed,
// refused and doubted.
type verdict interface{ verdict() }

// allowed lets a request use an account, nil for none.
type allowed struct{ account *clientaccount.Account }

// refused ends a request.
type refused struct{ err error }

// doubted ends a request unless there is a newer proof. The account is that of its key, nil
// if the routes lack the key.
type doubted struct {
	account *clientaccount.Account
	err     error
}

func (allowed) verdict() {}
func (refused) verdict() {}
func (doubted) verdict() {}

// Check sets the account of a request, or returns an error if the request must not run now.
// It is called once the request has been read, and again before each send.
func (k *Keychecker) Check(ctx context.Context, x *traffic.Exchange) error {
	return k.decide(ctx, x, k.judge)
}

// Confirm returns an error if the account of a request is not certain: its key may have
// moved to another account. It precedes an answer that depends on the account and that
// callers take as final.
func (k *Keychecker) Confirm(ctx context.Context, x *traffic.Exchange) error {
	if !x.AccountsListed {
		return nil
	}
	return k.decide(ctx, x, k.judgeAccount)
}

// decide applies a judgement to the newest snapshot, and to later ones if a newer proof is
// needed and may arrive in time.
func (k *Keychecker) decide(ctx context.Context, x *traffic.Exchange, judge func(snapshot.Entry, *traffic.Exchange) verdict) error {
	var timeout <-chan time.Time
	expired := false
	for {
		changed := k.control.Changed()
		entry := k.control.Snapshot().Entry
		x.Trace.ConfigurationAge = k.age(entry)
		switch v := judge(entry, x).(type) {
		case allowed:
			x.Account = v.account
			k.renew(entry)
			return nil
		case refused:
			return v.err
		case doubted:
			if timeout == nil {
				wait := k.timers.After(proofTimeout)
				defer wait.Cancel()
				timeout = wait.C
				k.control.Post(message.RoutesDoubted{})
			}
			if v.account != nil {
				// The log of the refusal has the account.
				x.Account = v.account
			}
			if expired || entry.RoutesUnanswered {
				return v.err
			}
			select {
			case <-changed:
			case <-timeout:
				// A proof may have arrived at the same moment.
				expired = true
			case <-ctx.Done():
				return v.err
			}
		}
	}
}

// judge decides whether a request may run with its key.
func (k *Keychecker) judge(entry snapshot.Entry, x *traffic.Exchange) verdict {
	if entry.Routes == nil || entry.Routes.Accounts == nil {
		return allowed{x.Account}
	}
	rechecked := x.AccountsListed
	x.AccountsListed = true
	account, found := entry.Routes.Accounts.Find(x.Request.Key)
	usable := found && k.isUsable(entry)
	switch {
	case rechecked && account != nil && x.Account != nil && account.ID != x.Account.ID:
		return refused{k.refusal("the key has moved to another account; repeat the request")}
	case x.Route.Public && (!usable || rechecked && x.Account == nil):
		return allowed{}
	case usable:
		return allowed{account}
	case found:
		return doubted{account, k.refusal("the configuration may be %s old, so that the key may have been removed; repeat the request at another address", k.roundedAge(entry))}
	case k.isCertain(entry):
		return refused{failure.Refusal(failure.Unauthorized, 0, "the request has no valid key; send a key of the configuration")}
	}
	return doubted{nil, k.refusal("the configuration may be %s old, so that the key may have been added; repeat the request at another address", k.roundedAge(entry))}
}

// judgeAccount decides whether the account of a request is certain.
func (k *Keychecker) judgeAccount(entry snapshot.Entry, x *traffic.Exchange) verdict {
	if !k.isCertain(entry) {
		return doubted{x.Account, k.refusal("the configuration may be %s old, so that the account is not certain; repeat the request", k.roundedAge(entry))}
	}
	var current *clientaccount.Account
	if entry.Routes.Accounts != nil {
		current, _ = entry.Routes.Accounts.Find(x.Request.Key)
	}
	if accountID(current) != accountID(x.Account) {
		return refused{k.refusal("the account of the key has changed; repeat the request")}
	}
	return allowed{x.Account}
}

func accountID(account *clientaccount.Account) ident.AccountID {
	if account == nil {
		return ""
	}
	return account.ID
}

// refusal returns an error with a random retry delay, so that callers that were refused
// together do not return together.
func (k *Keychecker) refusal(format string, args ...any) error {
	delay := minRetryDelay + rand.N(maxRetryDelay-minRetryDelay)
	return failure.Refusal(failure.ConfigurationStale, delay, format, args...)
}

// renew requests a newer proof before the present one lapses.
func (k *Keychecker) renew(entry snapshot.Entry) {
	listed := entry.Routes != nil && entry.Routes.Accounts != nil
	if listed && k.revocationLimit > 0 && k.proofAge(entry) > share(renewShare, k.revocationLimit) {
		k.control.Post(message.RoutesDoubted{})
	}
}

// isUsable reports whether a key that the routes list may be used.
func (k *Keychecker) isUsable(entry snapshot.Entry) bool {
	return k.revocationLimit == 0 || isProved(entry) && k.proofAge(entry) <= share(usableShare, k.revocationLimit)
}

// isCertain reports whether a key that the routes lack is unknown.
func (k *Keychecker) isCertain(entry snapshot.Entry) bool {
	return isProved(entry) && k.proofAge(entry) <= certainAge
}

// Proved reports whether the routes are proved to be recent enough for the use of keys.
func (k *Keychecker) Proved() bool { return k.isUsable(k.control.Snapshot().Entry) }

func isProved(entry snapshot.Entry) bool { return entry.RoutesProvenAt > 0 }

func (k *Keychecker) proofAge(entry snapshot.Entry) time.Duration {
	return k.timers.Boot().Sub(entry.RoutesProvenAt)
}

// age returns the age of the routes for logs, that of the last answer without a proof.
func (k *Keychecker) age(entry snapshot.Entry) time.Duration {
	if isProved(entry) {
		return k.proofAge(entry)
	}
	return k.timers.Now().Sub(entry.RoutesAsOf)
}

func (k *Keychecker) roundedAge(entry snapshot.Entry) time.Duration {
	return k.age(entry).Round(time.Millisecond)
}

func share(ratio float64, of time.Duration) time.Duration { return time.Duration(ratio * float64(of)) }
