package forwarder

import (
	"context"
	"time"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/message"
	"github.com/sassafrasspur/sassafrasspur/internal/outcome"
	"github.com/sassafrasspur/sassafrasspur/internal/upstream"
)

// downTimeout bounds the check whether an upstream is down. A host whose process
// has crashed refuses a connection within a round trip.
const downTimeout = 200 * time.Millisecond

// isDown reports whether an upstream refuses connections. The crash counts also if the
// caller has left meanwhile.
func (f *forwarding) isDown(ctx context.Context, u upstream.Upstream) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), downTimeout)
	defer cancel()
	return f.caller.IsDown(ctx, u)
}

// reportCrash reports to the control goroutine an upstream that crashed while it had the
// request. It returns true if the request must not be sent to another one.
func (f *forwarding) reportCrash(ctx context.Context, crashed upstream.Upstream, sentAt, crashedAt time.Time) bool {
	answer, err := f.control.Ask(context.WithoutCancel(ctx), func(t ident.Ticket) message.Message {
		return message.UpstreamCrashed{
			Ticket: t, Request: f.x.Request.ID, Upstream: crashed.ID, Incarnation: crashed.Incarnation, SentAt: sentAt, CrashedAt: crashedAt,
			Target: f.x.TargetFingerprint(), Contents: f.x.Fingerprint(),
		}
	})
	if err != nil {
		// The VM stops, so that no other attempt follows.
		return false
	}
	counted, ok := answer.(outcome.CrashCounted)
	return ok && counted.Quarantined
}
