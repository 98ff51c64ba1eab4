// Package refusalreporter reports callers that were refused, or whose connections were
// closed, for the limits on memory and connections.
package refusalreporter

import (
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/sassafrasspur/sassafrasspur/internal/connectionlimiter"
	"github.com/sassafrasspur/sassafrasspur/internal/timer"
)

// logInterval is the shortest time between two log lines of a reason. Callers outside the
// operators' control could otherwise fill the log.
const logInterval = time.Second

// Meter counts refusals.
type Meter interface{ CountRefusedCaller(reason string) }

// Refusalreporter logs and counts refusals. It is safe for concurrent use.
type Refusalreporter struct {
	log    zerolog.Logger
	meter  Meter
	timers *timer.Service

	mu      sync.Mutex
	reasons map[connectionlimiter.Reason]*refusals
}

// refusals are those of one reason that are not logged yet.
type refusals struct {
	count    int
	loggedAt time.Time
}

// New returns a Refusalreporter.
func New(log zerolog.Logger, meter Meter, timers *timer.Service) *Refusalreporter {
	return &Refusalreporter{log: log, meter: meter, timers: timers, reasons: map[connectionlimiter.Reason]*refusals{}}
}

// Report counts a refusal. It is logged at once, or with the first one that follows after
// the interval.
func (r *Refusalreporter) Report(reason connectionlimiter.Reason) {
	r.meter.CountRefusedCaller(string(reason))
	if count := r.due(reason); count > 0 {
		r.log.Warn().Str("reason", string(reason)).Int("callers", count).Msg("callers refused")
	}
}

// due counts a refusal and returns the number to log, 0 within the interval.
func (r *Refusalreporter) due(reason connectionlimiter.Reason) int {
	now := r.timers.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	waiting, ok := r.reasons[reason]
	if !ok {
		waiting = &refusals{}
		r.reasons[reason] = waiting
	}
	waiting.count++
	if now.Sub(waiting.loggedAt) < logInterval {
		return 0
	}
	count := waiting.count
	waiting.count, waiting.loggedAt = 0, now
	return count
}
