package upstreamrecorder

import (
	"time"

	"github.com/sassafrasspur/sassafrasspur/ident"
	"github.com/sassafrasspur/sassafrasspur/internal/message"
	"github.com/sassafrasspur/sassafrasspur/internal/speedestimator"
	"github.com/sassafrasspur/sassafrasspur/internal/upstream"
	"github.com/sassafrasspur/sassafrasspur/unit"
)

const (
	// smoothingFactor is the weight of the newest value in a mean.
	smoothingFactor = 0.2
	// relativeLatencyTTL is how long the relative latency of an upstream is used
	// without a further answer, so that a slow upstream is tried again.
	relativeLatencyTTL = 5 * time.Second
	// idleConnectionTTL is how long an upstream is assumed to keep an idle
	// connection open if it did not announce a time.
	idleConnectionTTL = 4 * time.Second
	// restartDelay is the time for which an upstream of unknown incarnation must be
	// missing from the list to count as a new process when it is listed again.
	// Entries that lapsed in an outage of the store are back within 2 s.
	restartDelay = 5 * time.Second
	// unlistedRetention is how long the record of an unlisted process is kept without
	// calls in flight, and maxUnlistedRetention how long with calls.
	unlistedRetention    = 30 * time.Second
	maxUnlistedRetention = 10 * time.Minute
)

// Work is the size of a call.
type Work struct {
	// Prompt is the length of the prompt, of which the upstream is estimated to have
	// all but Uncached tokens in its cache.
	Prompt   unit.Tokens
	Uncached unit.Tokens
	// Output is the maximum number of tokens to generate.
	Output unit.Tokens
}

// flight is a call in flight.
type flight struct {
	Work
	startedAt time.Time
	// answering is true from the first event.
	answering bool
}

// Recorder is the record of one process of an upstream.
type Recorder struct {
	upstream.Upstream
	// unlistedSince is when the list first lacked the process, zero if it has it.
	unlistedSince time.Time
	// FirstEvent and Interval are the time to the first event and between events,
	// relative to the pool.
	FirstEvent speedestimator.Estimator
	Interval   speedestimator.Estimator
	calls      map[ident.Ticket]*flight
	// waitingSince is the start of the oldest call without an event, zero if there is none.
	waitingSince time.Time
	// load is the sum of the sizes of the calls in flight.
	load Work
	// connections is the number of open connections of this VM, including those
	// of calls in flight. Idle connections count until idleUntil.
	connections int
	idleUntil   time.Time
	// relativeLatency is the smoothed time to the first byte, as a multiple of the
	// expected time on the routes of the calls, as of observedAt.
	relativeLatency float64
	observedAt      time.Time
	// failures counts the failed calls since the last answer; the last one failed
	// at failedAt.
	failures int
	failedAt time.Time
	// refusals counts the calls that the process refused.
	refusals int
	// avoidUntil is the time until which other upstreams are preferred.
	avoidUntil time.Time
}

// New returns the record of a process without calls.
func New(u upstream.Upstream) *Recorder {
	return &Recorder{Upstream: u, calls: map[ident.Ticket]*flight{}, relativeLatency: 1}
}

// IsProcess reports whether an entry of the list belongs to this process.
func (r *Recorder) IsProcess(now time.Time, u upstream.Upstream) bool {
	if r.Address != u.Address || r.Incarnation.Differs(u.Incarnation) {
		return false
	}
	known := r.Incarnation > 0 && r.Incarnation == u.Incarnation
	return known || r.unlistedSince.IsZero() || now.Sub(r.unlistedSince) <= restartDelay
}

// List updates the record with an entry of the list. An entry without an incarnation
// does not remove a known one.
func (r *Recorder) List(u upstream.Upstream) {
	u.Incarnation = max(u.Incarnation, r.Incarnation)
	r.Upstream, r.unlistedSince = u, time.Time{}
}

// Unlist records that the list lacks the process. It reports whether the record can be
// removed.
func (r *Recorder) Unlist(now time.Time) bool {
	if r.unlistedSince.IsZero() {
		r.unlistedSince = now
	}
	missing := now.Sub(r.unlistedSince)
	return missing > maxUnlistedRetention || missing > unlistedRetention && len(r.calls) == 0
}

// InFlight returns the number of calls that this VM has in flight at the process.
func (r *Recorder) InFlight() int { return len(r.calls) }

// Load returns the sum of the sizes of the calls in flight.
func (r *Recorder) Load() Work { return r.load }

// Refusals returns the number of calls that the process refused.
func (r *Recorder) Refusals() int { return r.refusals }

// HasIdleConnection reports whether an idle connection is open.
func (r *Recorder) HasIdleConnection(now time.Time) bool {
	return len(r.calls) < r.connections && now.Before(r.idleUntil)
}

// Start records a call that is sent to the process.
func (r *Recorder) Start(now time.Time, t ident.Ticket, w Work) {
	if !r.HasIdleConnection(now) {
		r.connections = len(r.calls) + 1
	}
	r.remove(t)
	r.calls[t] = &flight{Work: w, startedAt: now}
	if r.waitingSince.IsZero() {
		r.waitingSince = now
	}
	r.load = Work{r.load.Prompt + w.Prompt, r.load.Uncached + w.Uncached, r.load.Output + w.Output}
}

// remove ends a call in flight.
func (r *Recorder) remove(t ident.Ticket) {
	call, known := r.calls[t]
	if !known {
		return
	}
	delete(r.calls, t)
	r.updateWaiting()
	w := call.Work
	r.load = Work{r.load.Prompt - w.Prompt, r.load.Uncached - w.Uncached, r.load.Output - w.Output}
}

// FirstEventReceived records the first event of a call and returns the call's size.
func (r *Recorder) FirstEventReceived(t ident.Ticket) Work {
	call, known := r.calls[t]
	if !known {
		return Work{}
	}
	call.answering = true
	r.updateWaiting()
	return call.Work
}

// updateWaiting finds the oldest call without an event.
func (r *Recorder) updateWaiting() {
	r.waitingSince = time.Time{}
	for _, call := range r.calls {
		if !call.answering && (r.waitingSince.IsZero() || call.startedAt.Before(r.waitingSince)) {
			r.waitingSince = call.startedAt
		}
	}
}

// Waiting returns for how long the oldest call without an event has been in flight, 0 if
// there is none.
func (r *Recorder) Waiting(now time.Time) time.Duration {
	if r.waitingSince.IsZero() {
		return 0
	}
	return now.Sub(r.waitingSince)
}

// End records the result of a call. The expected time to the first byte is that of the
// call's route.
func (r *Recorder) End(now time.Time, t ident.Ticket, result message.UpstreamResult, expected time.Duration) {
	r.remove(t)
	switch m := result.(type) {
	case message.UpstreamAnswered:
		r.idleUntil = now.Add(idleConnectionTTL)
		r.failures = 0
		if expected > 0 {
			newest := float64(m.FirstByte) / float64(expected)
			mean := r.RelativeLatency(now)
			r.relativeLatency, r.observedAt = mean+smoothingFactor*(newest-mean), now
		}
	case message.UpstreamRefused:
		r.idleUntil = now.Add(idleConnectionTTL)
		r.recordRefusal(now, m)
	case message.UpstreamServerError:
		r.idleUntil = now.Add(idleConnectionTTL)
		r.recordFailure(now)
	case message.UpstreamFailed:
		r.connections = max(r.connections-1, len(r.calls))
		r.recordFailure(now)
		if !m.Connected {
			r.avoidUntil = now.Add(maxBackoff)
		}
	case message.UpstreamAbandoned:
		r.connections = max(r.connections-1, len(r.calls))
		if m.SilentFor > max(minFailureSilence, failureSilenceFactor*expected) {
			r.recordFailure(now)
		}
	}
}

// RelativeLatency returns the relative latency, or 1 if it has expired.
func (r *Recorder) RelativeLatency(now time.Time) float64 {
	if now.Sub(r.observedAt) > relativeLatencyTTL {
		return 1
	}
	return r.relativeLatency
}
