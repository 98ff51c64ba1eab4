// Package pacer schedules the periodic work of controllers.
package pacer

import (
	"time"

	"github.com/sassafrasspur/sassafrasspur/internal/effect"
)

// Pacer holds the time of a controller's next run. The zero value has no run
// scheduled.
type Pacer struct {
	next time.Time
}

// Set schedules the next run and returns the request for a tick at that time.
func (p *Pacer) Set(at time.Time) effect.Effect {
	p.next = at
	return effect.WakeAt{Time: at}
}

// IsSet reports whether a run is scheduled.
func (p *Pacer) IsSet() bool { return !p.next.IsZero() }

// Tick reports whether the run is due; if so, it is no longer scheduled. The
// executor keeps only the earliest wake-up and discards it with the tick, so a run
// that is not due yet requests its tick again.
func (p *Pacer) Tick(now time.Time) (due bool, effects []effect.Effect) {
	switch {
	case p.next.IsZero():
		return false, nil
	case now.Before(p.next):
		return false, []effect.Effect{effect.WakeAt{Time: p.next}}
	}
	p.next = time.Time{}
	return true, nil
}
