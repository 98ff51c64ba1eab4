package upstreamrecorder

import (
	"time"

	"github.com/sassafrasspur/sassafrasspur/internal/message"
)

const (
	// refusalBackoff is how long an upstream is avoided after it refused a call
	// because it was full.
	refusalBackoff = 150 * time.Millisecond
	// failureBackoff is how long an upstream is avoided after a failure. It
	// doubles with each consecutive failure, up to maxBackoff.
	failureBackoff = 250 * time.Millisecond
	maxBackoff     = 2 * time.Second
	// minFailureSilence and failureSilenceFactor, a multiple of the expected time
	// to the first byte, determine how long an upstream must have been silent for
	// an abandoned call to count as a failure of the upstream.
	minFailureSilence    = 300 * time.Millisecond
	failureSilenceFactor = 4
	// suspectTTL is how long after a failure an upstream gets no calls that must
	// not be repeated, unless it answers a repeatable call before. Upstreams of
	// the known deployments fail for some seconds.
	suspectTTL = 10 * time.Second
)

// recordRefusal starts the back-off after a refused call.
func (r *Recorder) recordRefusal(now time.Time, m message.UpstreamRefused) {
	r.refusals++
	r.avoidUntil = now.Add(refusalBackoff)
	if m.Misdirected {
		r.avoidUntil = now.Add(maxBackoff)
	}
}

// recordFailure starts the back-off after a failed call.
func (r *Recorder) recordFailure(now time.Time) {
	r.avoidUntil = now.Add(min(failureBackoff<<min(r.failures, 4), maxBackoff))
	r.failures++
	r.failedAt = now
}

// IsAvoided reports whether other upstreams are preferred after a failure or a refusal.
func (r *Recorder) IsAvoided(now time.Time) bool { return now.Before(r.avoidUntil) }

// IsSuspect reports whether the last call failed and no answer has come since.
func (r *Recorder) IsSuspect(now time.Time) bool {
	return r.failures > 0 && now.Sub(r.failedAt) < suspectTTL
}
