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
	"github.com/sassafrasspur/sassafrasspur/internal/traffic"
)

// retryDelay is the retry delay sent to the caller of a quarantined request. The
// quarantine lasts for minutes.
const retryDelay = time.Minute

// Quarantiner refuses quarantined requests.
type Quarantiner struct {
	control *executor.Executor
}

// New returns the filter. The control goroutine counts the upstreams that crashed.
func New(control *executor.Executor) *Quarantiner {
	return &Quarantiner{control: control}
}

// Serve refuses a quarantined request. A suspect that is answered is reported, since it
// has not crashed the upstream that ran it.
func (q *Quarantiner) Serve(ctx context.Context, x *traffic.Exchange, next traffic.Handler) error {
	suspects := q.control.Snapshot().Entry.Suspects
	if len(suspects) == 0 {
		return next(ctx, x)
	}
	var matches []ident.Fingerprint
	for _, f := range []ident.Fingerprint{x.Request.TargetFingerprint(), x.Fingerprint()} {
		suspect, ok := suspects[f]
		if suspect.Quarantined {
			return failure.Refusal(failure.Quarantined, retryDelay,
				"%d upstreams crashed while they had this request; change it or ask the operator", suspect.Crashes)
		}
		if ok {
			matches = append(matches, f)
		}
	}
	err := next(ctx, x)
	// An upstream may also answer with an error before it begins to run a request.
	if err == nil && x.Trace.Status/100 == http.StatusOK/100 {
		for _, f := range matches {
			q.control.Post(message.SuspectAnswered{Fingerprint: f})
		}
	}
	return err
}
