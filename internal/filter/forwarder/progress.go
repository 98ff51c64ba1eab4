package forwarder

import (
	"time"

	"github.com/sassafrasspur/sassafrasspur/internal/message"
)

// reportInterval is the shortest time between two reports of the progress of a stream.
// Each costs the control goroutine a message; a slow upstream is known within two.
const reportInterval = 250 * time.Millisecond

// progress measures the times between the events of one attempt. Only the time in which
// the VM waits for the upstream counts, so that a caller that reads slowly does not make
// its upstream look slow.
type progress struct {
	unreported message.Progress
	// total is the time between the first and the last event.
	total      time.Duration
	waitsSince time.Time
	reportedAt time.Time
}

// received records an event. It reports whether the progress is to be reported now:
// after the first event and then at most once in reportInterval.
func (p *progress) received(started, now time.Time) bool {
	if p.waitsSince.IsZero() {
		p.unreported.FirstEvent = now.Sub(started)
		return true
	}
	waited := now.Sub(p.waitsSince)
	p.unreported.Events++
	p.unreported.Took += waited
	p.total += waited
	return now.Sub(p.reportedAt) >= reportInterval
}

// begun reports whether an event was forwarded.
func (p *progress) begun() bool { return !p.waitsSince.IsZero() }

// forwarded records that the caller has the event and the next one is waited for.
func (p *progress) forwarded(now time.Time) { p.waitsSince = now }

// take returns the progress that has not been reported.
func (p *progress) take(now time.Time) message.Progress {
	unreported := p.unreported
	p.unreported, p.reportedAt = message.Progress{}, now
	return unreported
}

// answer returns the time between the first and the last event of a complete answer.
func (p *progress) answer(result message.UpstreamResult) time.Duration {
	if _, ok := result.(message.UpstreamAnswered); !ok {
		return 0
	}
	return p.total
}
