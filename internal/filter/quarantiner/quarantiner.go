// Package quarantiner has the filter that refuses requests with which several
// upstreams crashed.
package quarantiner

import (
	"context"
	"net/http"
	"time"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/executor"
	"github.com/sassafrasspur/sassafrasspur/internal/failure"
	"github.com/sassafrasspur/sassafrasspur/internal/message"
	"github.com/sassafrasspur/sassafrasspur/internal/outcome"
	"github.com/sassafrasspur/sassafrasspur/internal/snapshot"
	"github.com/sassafrasspur/sassafrasspur/internal/timer"
	"github.com/sassafrasspur/sassafrasspur/internal/traffic"
)

const (
	// maxRetryDelay is the retry delay sent to the caller of a quarantined request of
	// which no trial follows soon. The quarantine lasts for minutes.
	maxRetryDelay = time.Minute
	// minRetryDelay is the shortest retry delay. Another request may take the trial.
	minRetryDelay = time.Second
)

// Quarantiner refuses quarantined requests.
type Quarantiner struct {
	control *executor.Executor
	timers  *timer.Service
}

// New returns the filter. The control goroutine counts the upstreams that crashed.
func New(control *executor.Executor, timers *timer.Service) *Quarantiner {
	return &Quarantiner{control: control, timers: timers}
}

// Serve refuses a quarantined request, unless it is a trial. A suspect that is answered
// is reported, since it has not crashed the upstream that ran it, also if other upstreams
// crashed after it was passed on.
func (q *Quarantiner) Serve(ctx context.Context, x *traffic.Exchange, next traffic.Handler) error {
	suspects := q.suspects(x)
	for _, suspect := range suspects {
		if suspect.Quarantined && !q.isTrialDue(suspect) {
			return q.refuse(suspect)
		}
	}
	for f, suspect := range suspects {
		if suspect.Quarantined && !q.startTrial(ctx, f) {
			return q.refuse(suspect)
		}
	}
	err := next(ctx, x)
	// An upstream may also answer with an error before it begins to run a request.
	if err == nil && x.Trace.Status/100 == http.StatusOK/100 {
		for f := range q.suspects(x) {
			q.control.Post(message.SuspectAnswered{Fingerprint: f})
		}
	}
	return err
}

// suspects returns what is known of the request under its fingerprints.
func (q *Quarantiner) suspects(x *traffic.Exchange) map[ident.Fingerprint]snapshot.Suspect {
	known := q.control.Snapshot().Entry.Suspects
	if len(known) == 0 {
		return nil
	}
	matches := map[ident.Fingerprint]snapshot.Suspect{}
	for _, f := range []ident.Fingerprint{x.TargetFingerprint(), x.Fingerprint()} {
		if suspect, ok := known[f]; ok {
			matches[f] = suspect
		}
	}
	return matches
}

// isTrialDue reports whether a quarantined request may be a trial.
func (q *Quarantiner) isTrialDue(suspect snapshot.Suspect) bool {
	return !suspect.TrialAt.IsZero() && !q.timers.Now().Before(suspect.TrialAt)
}

// startTrial reports whether the request is the trial of its fingerprint.
func (q *Quarantiner) startTrial(ctx context.Context, f ident.Fingerprint) bool {
	answer, err := q.control.Ask(ctx, func(t ident.Ticket) message.Message {
		return message.TrialRequested{Ticket: t, Fingerprint: f}
	})
	if err != nil {
		// The caller has left or the VM stops.
		return false
	}
	decided, ok := answer.(outcome.TrialDecided)
	return ok && decided.Allowed
}

// refuse returns the refusal of a quarantined request. Its retry delay is the time until
// the next trial, between the bounds.
func (q *Quarantiner) refuse(suspect snapshot.Suspect) error {
	delay := maxRetryDelay
	if !suspect.TrialAt.IsZero() {
		delay = min(max(suspect.TrialAt.Sub(q.timers.Now()), minRetryDelay), maxRetryDelay)
	}
	return failure.Refusal(failure.Quarantined, delay,
		"%d upstreams crashed while they had this request; change it or ask the operator", suspect.Crashes)
}
