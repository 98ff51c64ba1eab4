package balancer

import (
	"time"

	"github.com/sassafrasspur/sassafrasspur/internal/message"
	"github.com/sassafrasspur/sassafrasspur/internal/upstream"
)

const (
	// refusalPause is how long an upstream is avoided that was full.
	refusalPause = 150 * time.Millisecond
	// failurePause is how long an upstream is avoided that failed, and doubles
	// with each failure in a row up to longestPause.
	failurePause = 250 * time.Millisecond
	longestPause = 2 * time.Second
	// smoothing is the weight of the newest time to the first byte.
	smoothing = 0.2
	// minFailureSilence and failureSilenceFactor, a multiple of the usual time to
	// the first byte, bound the silence in which a call may end without being a
	// failure of the upstream.
	minFailureSilence    = 300 * time.Millisecond
	failureSilenceFactor = 4
	// minSilenceLimit and silenceLimitFactor, a multiple of the usual time to the
	// first byte, say when a call that may run again is sent elsewhere. Callers of
	// the known deployments give up a stream after a silence of 2 s.
	minSilenceLimit    = 400 * time.Millisecond
	silenceLimitFactor = 6
	// suspicionLife is how long an upstream that failed gets no calls that must not
	// be repeated, if none that may be repeated is answered before. Upstreams of
	// the known deployments fail for some seconds.
	suspicionLife = 10 * time.Second
	// firstGuess stands for the time to the first byte of a route without answers.
	// Look-ups of the known deployments take 52 ms.
	firstGuess = 50 * time.Millisecond
	// slownessLife is how long an upstream counts as slower than others without
	// a further answer, so that it is tried again.
	slownessLife = 5 * time.Second
	// connectionLife is how long an idle connection to an upstream is kept that
	// did not say how long it keeps it.
	connectionLife = 4 * time.Second
)

// state is what the controller knows of one upstream.
type state struct {
	upstream.Upstream
	inFlight int
	// connections is the number of open connections of this VM, those of calls
	// under way included; idle ones count until idleUntil.
	connections int
	idleUntil   time.Time
	// slowness is the smoothed time to the first byte as a multiple of what is
	// usual on the routes of the calls, as of learnedAt.
	slowness  float64
	learnedAt time.Time
	// failures counts failed calls since the last answer, the newest at failedAt.
	failures int
	failedAt time.Time
	// avoidUntil is the time until which other upstreams are preferred.
	avoidUntil time.Time
}

// isConnected reports whether a call finds an idle connection.
func (s *state) isConnected(now time.Time) bool {
	return s.inFlight < s.connections && now.Before(s.idleUntil)
}

// begin notes a call that was sent to the upstream.
func (s *state) begin(now time.Time) {
	if !s.isConnected(now) {
		s.connections = s.inFlight + 1
	}
	s.inFlight++
}

// end notes how a call went whose route usually has a time to the first byte.
func (s *state) end(now time.Time, result message.UpstreamResult, usual time.Duration) {
	s.inFlight = max(s.inFlight-1, 0)
	switch r := result.(type) {
	case message.UpstreamAnswered:
		s.idleUntil = now.Add(connectionLife)
		s.failures = 0
		if usual > 0 {
			s.slowness = smooth(s.currentSlowness(now), float64(r.First)/float64(usual))
			s.learnedAt = now
		}
	case message.UpstreamRefused:
		s.idleUntil = now.Add(connectionLife)
		s.avoidUntil = now.Add(refusalPause)
		if r.Misdirected {
			s.avoidUntil = now.Add(longestPause)
		}
	case message.UpstreamErred:
		s.idleUntil = now.Add(connectionLife)
		s.fail(now)
	case message.UpstreamFailed:
		s.connections = max(s.connections-1, s.inFlight)
		s.fail(now)
		if !r.Connected {
			s.avoidUntil = now.Add(longestPause)
		}
	case message.UpstreamAbandoned:
		s.connections = max(s.connections-1, s.inFlight)
		if r.Silent > max(minFailureSilence, failureSilenceFactor*usual) {
			s.fail(now)
		}
	}
}

// fail notes a failure.
func (s *state) fail(now time.Time) {
	s.avoidUntil = now.Add(min(failurePause<<min(s.failures, 4), longestPause))
	s.failures++
	s.failedAt = now
}

// isSuspect reports whether the last call failed and no answer has come since.
func (s *state) isSuspect(now time.Time) bool {
	return s.failures > 0 && now.Sub(s.failedAt) < suspicionLife
}

// currentSlowness is the slowness while it is recent, else 1.
func (s *state) currentSlowness(now time.Time) float64 {
	if now.Sub(s.learnedAt) > slownessLife {
		return 1
	}
	return s.slowness
}

// smooth returns an exponentially weighted mean with one more value.
func smooth[T ~int64 | ~float64](mean, newest T) T {
	return mean + T(smoothing*float64(newest-mean))
}
